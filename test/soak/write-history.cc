#include "soak/write-history.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

namespace marigoldpitch::soak {

std::string
WriteHistory::ValueOf(const std::string& aItem, uint64_t aNumber)
{
  return fmt::format("{}.{}", aItem, aNumber);
}

uint64_t
WriteHistory::Send(const std::string& aItem, bool aInTransactionWithNext)
{
  auto& itemWrites = this->writes[aItem];
  if (itemWrites.empty()) {
    this->items.push_back(aItem);
  }
  itemWrites.emplace_back();
  itemWrites.back().inTransactionWithNext = aInTransactionWithNext;
  return itemWrites.size();
}

void
WriteHistory::RecordOutcome(const std::string& aItem,
                            uint64_t aNumber,
                            WriteOutcome aOutcome,
                            Time aAt)
{
  Write& write = this->writes.at(aItem).at(aNumber - 1);
  write.outcome = aOutcome;
  write.recordedAt = aAt;
}

uint64_t
WriteHistory::AcknowledgedBefore(const std::string& aItem, Time aTime) const
{
  auto found = this->writes.find(aItem);
  uint64_t newest = 0;
  if (found == this->writes.end()) {
    return newest;
  }
  for (size_t i = 0; i < found->second.size(); ++i) {
    const Write& write = found->second[i];
    bool isAcknowledged =
      write.outcome == WriteOutcome::Acknowledged && write.recordedAt < aTime;
    newest = isAcknowledged ? i + 1 : newest;
  }
  return newest;
}

void
WriteHistory::ReportViolation(Violation aViolation, const std::string& aDetail)
{
  this->violations.push_back(
    fmt::format("{}: {}", kViolationNames.TextOf(aViolation), aDetail));
}

void
WriteHistory::CheckRead(const std::string& aItem,
                        const std::string& aValue,
                        uint64_t aMinNumber,
                        const std::string& aReadDescription)
{
  size_t dot = aValue.rfind('.');
  bool hasNoValue = aValue == "nothing";
  if (!hasNoValue && aValue.substr(0, dot) != aItem) {
    this->ReportViolation(
      Violation::WrongItem,
      fmt::format("{} of {} returned {}", aReadDescription, aItem, aValue));
    return;
  }
  uint64_t number =
    hasNoValue ? 0 : std::strtoull(aValue.c_str() + dot + 1, nullptr, 10);
  if (number < aMinNumber) {
    this->ReportViolation(
      Violation::StaleRead,
      fmt::format("{} of {} returned {}, expected at least {}",
                  aReadDescription,
                  aItem,
                  aValue,
                  aMinNumber));
  }
}

void
WriteHistory::CheckLog(
  const std::vector<std::pair<std::string, std::string>>& aEntries)
{
  std::map<std::string, size_t> positions;
  for (size_t i = 0; i < aEntries.size(); ++i) {
    const auto& [item, value] = aEntries[i];
    size_t dot = value.rfind('.');
    auto found = this->writes.find(item);
    uint64_t number = std::strtoull(value.c_str() + dot + 1, nullptr, 10);
    bool isKnown = value.substr(0, dot) == item &&
                   found != this->writes.end() && number >= 1 &&
                   number <= found->second.size();
    if (!isKnown) {
      this->ReportViolation(Violation::UnknownWrite,
                            fmt::format("{} = {}", item, value));
      continue;
    }
    if (!positions.emplace(value, i).second) {
      this->ReportViolation(Violation::DuplicateWrite, value);
    }
  }
  for (const auto& [item, itemWrites] : this->writes) {
    for (size_t i = 0; i < itemWrites.size(); ++i) {
      std::string value = ValueOf(item, i + 1);
      auto position = positions.find(value);
      bool isInLog = position != positions.end();
      if (itemWrites[i].outcome == WriteOutcome::Acknowledged && !isInLog) {
        this->ReportViolation(Violation::LostWrite, value);
      }
      if (itemWrites[i].outcome == WriteOutcome::Refused && isInLog) {
        this->ReportViolation(Violation::Refused, value);
      }
      if (itemWrites[i].inTransactionWithNext) {
        auto next = positions.find(ValueOf(item, i + 2));
        bool isAtomic = isInLog == (next != positions.end()) &&
                        (!isInLog || next->second == position->second + 1);
        if (!isAtomic) {
          this->ReportViolation(Violation::SessionNotPinned,
                                "transaction applied in part, from " + value);
        }
      }
    }
  }
}

} // namespace marigoldpitch::soak
