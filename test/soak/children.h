#ifndef MARIGOLDPITCH_TEST_SOAK_CHILDREN_H
#define MARIGOLDPITCH_TEST_SOAK_CHILDREN_H

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

/** The processes of a run. */
namespace marigoldpitch::soak {

/** Starts processes and ends just those, by their ids. */
class Children
{
public:
  explicit Children(std::string aDirectory)
    : directory(std::move(aDirectory))
  {
  }
  ~Children();
  Children(const Children&) = delete;
  Children& operator=(const Children&) = delete;

  /** Output goes to a file of that name; a second start appends. */
  void Start(const std::string& aName, const std::vector<std::string>& aWords);
  void Signal(const std::string& aName, int aSignal);

  /** Whether the process still runs; collects it when it does not. */
  bool IsRunning(const std::string& aName);

private:
  std::string directory;
  std::map<std::string, pid_t> pids;
};

} // namespace marigoldpitch::soak

#endif
