#include "marigoldpitch/transport/command-line.h"

#include <fmt/format.h>
#include <popt.h>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

namespace marigoldpitch {

namespace detail {

struct ContextDeleter
{
  void operator()(poptContext aContext) const { poptFreeContext(aContext); }
};

using Context = std::unique_ptr<poptContext_s, ContextDeleter>;

constexpr int kHelp = 1;
constexpr int kVersionOption = 2;
constexpr int kFirstProgramOption = 3;

poptOption
MakeOption(const CommandOption& aOption, int aValue)
{
  poptOption option{};
  option.longName = aOption.name.c_str();
  option.argInfo = aOption.argument.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
  option.val = aValue;
  option.descrip = aOption.help.c_str();
  option.argDescrip =
    aOption.argument.empty() ? nullptr : aOption.argument.c_str();
  return option;
}

} // namespace detail

std::string
CommandLine::Get(const std::string& aName, const std::string& aDefault) const
{
  auto found = this->options.find(aName);
  return found == this->options.end() ? aDefault : found->second;
}

Result<CommandLine>
ParseCommandLine(int aCount,
                 const char** aArguments,
                 const std::string& aUsage,
                 const std::vector<CommandOption>& aOptions)
{
  std::vector<CommandOption> all = aOptions;
  CommandOption help{ "help", "", "print this help and exit" };
  CommandOption version{ "version", "", "print the version and exit" };
  std::vector<poptOption> table;
  table.reserve(all.size() + 3);
  int value = detail::kFirstProgramOption;
  for (const CommandOption& option : all) {
    table.push_back(detail::MakeOption(option, value++));
  }
  table.push_back(detail::MakeOption(help, detail::kHelp));
  table.push_back(detail::MakeOption(version, detail::kVersionOption));
  table.push_back(poptOption{});
  detail::Context context(
    poptGetContext(nullptr, aCount, aArguments, table.data(), 0));
  poptSetOtherOptionHelp(context.get(), aUsage.c_str());

  CommandLine line;
  int found = 0;
  while ((found = poptGetNextOpt(context.get())) > 0) {
    if (found == detail::kHelp) {
      poptPrintHelp(context.get(), stdout, 0);
      line.isDone = true;
      return line;
    }
    if (found == detail::kVersionOption) {
      fmt::print("marigoldpitch {}\n", kVersion);
      line.isDone = true;
      return line;
    }
    std::unique_ptr<char, decltype(&std::free)> argument(
      poptGetOptArg(context.get()), &std::free);
    line.options[all[static_cast<size_t>(found - detail::kFirstProgramOption)]
                   .name] = argument ? argument.get() : "";
  }
  if (found < -1) {
    return Error{ ErrorCode::BadSettings,
                  poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                  poptStrerror(found) };
  }
  while (const char* word = poptGetArg(context.get())) {
    line.positionals.emplace_back(word);
  }
  return line;
}

ExitCode
FailWith(ExitCode aCode, const Error& aError)
{
  fmt::print(stderr, "{}\n", aError.ToString());
  return aCode;
}

Result<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return Error{ ErrorCode::Io, aPath, "cannot be read" };
  }
  return text.str();
}

} // namespace marigoldpitch
