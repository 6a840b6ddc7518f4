#ifndef MARIGOLDPITCH_TRANSPORT_COMMAND_LINE_H
#define MARIGOLDPITCH_TRANSPORT_COMMAND_LINE_H

#include "marigoldpitch/state/error.h"

#include <map>
#include <string>
#include <vector>

/** Command-line parsing, shared by all programs. */
namespace marigoldpitch {

/** Exit codes of all programs. */
enum class ExitCode
{
  Ok = 0,
  Failed = 1,
  Usage = 2,
  BadInput = 3,
  Conflict = 4,
  Incomplete = 5,
};

constexpr NameTable<ExitCode, 6> kExitCodeNames{ {
  { ExitCode::Ok, "ok" },
  { ExitCode::Failed, "failed" },
  { ExitCode::Usage, "usage" },
  { ExitCode::BadInput, "bad-input" },
  { ExitCode::Conflict, "conflict" },
  { ExitCode::Incomplete, "incomplete" },
} };

struct CommandOption
{
  std::string name;     // without the leading dashes
  std::string argument; // placeholder in the help; empty for a flag
  std::string help;
};

struct CommandLine
{
  std::map<std::string, std::string> options;
  std::vector<std::string> positionals;
  bool isDone = false; // help or version was printed: exit without running

  bool Has(const std::string& aName) const
  {
    return this->options.count(aName) != 0;
  }
  std::string Get(const std::string& aName,
                  const std::string& aDefault = {}) const;
};

/** Parses the command line; adds and handles `--help` and `--version`. */
Result<CommandLine>
ParseCommandLine(int aCount,
                 const char** aArguments,
                 const std::string& aUsage,
                 const std::vector<CommandOption>& aOptions);

/** Prints the error to standard error and returns `aCode`. */
ExitCode
FailWith(ExitCode aCode, const Error& aError);

/** Reads a whole file; an error names the path. */
Result<std::string>
ReadFile(const std::string& aPath);

constexpr char kVersion[] = "0.1.0";

} // namespace marigoldpitch

#endif
