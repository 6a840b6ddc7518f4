#include "soak/children.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace marigoldpitch::soak {

namespace {

constexpr int kExecFailedStatus = 127;

} // namespace

Children::~Children()
{
  for (const auto& [name, pid] : this->pids) {
    kill(pid, SIGKILL); // also ends a process stopped by SIGSTOP
    waitpid(pid, nullptr, 0);
  }
}

void
Children::Start(const std::string& aName,
                const std::vector<std::string>& aArguments)
{
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  std::string path = this->directory + "/" + aName + ".out";
  pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); // the process ends with the soak run
    constexpr int kFileMode = 0644;
    int file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, kFileMode);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(kExecFailedStatus);
  }
  this->pids[aName] = pid;
}

void
Children::Signal(const std::string& aName, int aSignal)
{
  auto found = this->pids.find(aName);
  if (found != this->pids.end()) {
    kill(found->second, aSignal);
  }
}

bool
Children::IsRunning(const std::string& aName)
{
  auto found = this->pids.find(aName);
  if (found == this->pids.end()) {
    return false;
  }
  if (waitpid(found->second, nullptr, WNOHANG) == 0) {
    return true;
  }
  this->pids.erase(found);
  return false;
}

} // namespace marigoldpitch::soak
