#ifndef MARIGOLDPITCH_TRANSPORT_UNIQUE_FD_H
#define MARIGOLDPITCH_TRANSPORT_UNIQUE_FD_H

#include <unistd.h>
#include <utility>

/** Ownership of a file descriptor. */
namespace marigoldpitch {

class UniqueFd
{
public:
  explicit UniqueFd(int aFd = -1)
    : fd(aFd)
  {
  }
  UniqueFd(UniqueFd&& aOther) noexcept
    : fd(std::exchange(aOther.fd, -1))
  {
  }
  UniqueFd& operator=(UniqueFd&& aOther) noexcept
  {
    std::swap(this->fd, aOther.fd);
    return *this;
  }
  UniqueFd(const UniqueFd&) = delete;
  UniqueFd& operator=(const UniqueFd&) = delete;
  ~UniqueFd()
  {
    if (this->fd >= 0) {
      close(this->fd);
    }
  }

  int Get() const { return this->fd; }
  int Release() { return std::exchange(this->fd, -1); }

private:
  int fd;
};

} // namespace marigoldpitch

#endif
