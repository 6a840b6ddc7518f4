#ifndef MARIGOLDPITCH_TEST_SOAK_CHILDREN_H
#define MARIGOLDPITCH_TEST_SOAK_CHILDREN_H

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

/** Child processes of a soak run. */
namespace marigoldpitch::soak {

/** Starts processes, and kills those still running when destroyed. */
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

  /** Appends the output to the file `aName`.out in the directory. */
  void Start(const std::string& aName,
             const std::vector<std::string>& aArguments);
  void Signal(const std::string& aName, int aSignal);

  /** Whether the process is running; reaps it if it has ended. */
  bool IsRunning(const std::string& aName);

private:
  std::string directory;
  std::map<std::string, pid_t> pids;
};

} // namespace marigoldpitch::soak

#endif
