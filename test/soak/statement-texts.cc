#include "soak/statement-texts.h"

#include <fmt/format.h>

#include <iterator>

namespace marigoldpitch::soak {

namespace {

constexpr const char* kNames[] = { "p", "s1", "WRITE" };

constexpr const char* kShapes[] = {
  "READ two words",
  "READ qf",
  "READ qf READ sgxl",
  "READ  x  y  ",
  "READ \ttab\t",
  "READ b\x01\xff",
  "READ PREPARE p READ EXEC p",
  "WRITE q15",
  "WRITE q15 ",
  "WRITE  q15",
  "WRITE qf",
  "WRITE q15 WRITE ij",
  "WRITE two  words",
  "WRITE COMMIT",
  "WRITE b\x01\xff\xff",
};

constexpr const char* kValues[] = {
  "one", "one ", " one", "one  two", "\tone\t", "one\x01\xff", "WRITE a b",
};

// What stands before and behind an item to make another one.
constexpr std::pair<const char*, const char*> kItemChanges[] = {
  { "", " " },        { "", "  x" }, { " ", "" },  { "READ ", "" },
  { "", "\x01\xff" }, { "#", " " },  { "", "\t" },
};

/** The text of a run as JSON, in which the stand-in replaces invalid UTF-8. */
std::string
FormatRun(const nlohmann::json& aRun)
{
  return aRun.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string
OddTexts::DrawName()
{
  return kNames[this->random() % std::size(kNames)];
}

std::string
OddTexts::DrawShape()
{
  return kShapes[this->random() % std::size(kShapes)];
}

std::string
OddTexts::DrawValue()
{
  return kValues[this->random() % std::size(kValues)];
}

std::string
OddTexts::ChangeItem(const std::string& aItem)
{
  const auto& [before, behind] =
    kItemChanges[this->random() % std::size(kItemChanges)];
  return before + aItem + behind;
}

void
SentStatements::Add(const std::string& aRequestId, const ExpectedRun& aRun)
{
  this->expected[aRequestId] = aRun;
}

void
SentStatements::CheckRuns(const nlohmann::json& aRuns)
{
  for (const auto& run : aRuns) {
    auto requestId = run.at("request").get<std::string>();
    auto found = this->expected.find(requestId);
    ++this->checkedRuns;
    if (found == this->expected.end()) {
      this->history.ReportViolation(
        Violation::ChangedStatement,
        fmt::format("nobody sent {}", FormatRun(run)));
      continue;
    }
    const ExpectedRun& sent = found->second;
    std::string expectedRun = FormatRun({ { "request", requestId },
                                          { "text", sent.text },
                                          { "prepared", sent.shape },
                                          { "settings", sent.settings } });
    if (FormatRun(run) != expectedRun) {
      this->history.ReportViolation(
        Violation::ChangedStatement,
        fmt::format("sent {}, ran {}", expectedRun, FormatRun(run)));
    }
  }
}

} // namespace marigoldpitch::soak
