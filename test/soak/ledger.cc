#include "soak/ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

namespace marigoldpitch::soak {

std::string
Ledger::ValueOf(const std::string& aItem, uint64_t aNumber)
{
  return fmt::format("{}.{}", aItem, aNumber);
}

uint64_t
Ledger::Send(const std::string& aItem, bool aWithNext)
{
  auto& all = this->writes[aItem];
  if (all.empty()) {
    this->items.push_back(aItem);
  }
  all.emplace_back();
  all.back().withNext = aWithNext;
  return all.size();
}

void
Ledger::Settle(const std::string& aItem, uint64_t aNumber, Fate aFate, Time aAt)
{
  Write& write = this->writes.at(aItem).at(aNumber - 1);
  write.fate = aFate;
  write.settled = aAt;
}

uint64_t
Ledger::AcknowledgedBefore(const std::string& aItem, Time aTime) const
{
  auto found = this->writes.find(aItem);
  uint64_t newest = 0;
  if (found == this->writes.end()) {
    return newest;
  }
  for (size_t i = 0; i < found->second.size(); ++i) {
    const Write& write = found->second[i];
    bool counts = write.fate == Fate::Acknowledged && write.settled < aTime;
    newest = counts ? i + 1 : newest;
  }
  return newest;
}

void
Ledger::Report(Promise aPromise, const std::string& aWhat)
{
  this->wrongs.push_back(
    fmt::format("{}: {}", kPromiseNames.TextOf(aPromise), aWhat));
}

void
Ledger::CheckRead(const std::string& aItem,
                  const std::string& aShown,
                  uint64_t aAtLeast,
                  const std::string& aPlace)
{
  size_t dot = aShown.rfind('.');
  bool isNothing = aShown == "nothing";
  if (!isNothing && aShown.substr(0, dot) != aItem) {
    this->Report(Promise::Mixed,
                 fmt::format("{} of {} returned {}", aPlace, aItem, aShown));
    return;
  }
  uint64_t number =
    isNothing ? 0 : std::strtoull(aShown.c_str() + dot + 1, nullptr, 10);
  if (number < aAtLeast) {
    this->Report(Promise::Stale,
                 fmt::format("{} of {} returned {}, expected at least {}",
                             aPlace,
                             aItem,
                             aShown,
                             aAtLeast));
  }
}

void
Ledger::CheckLog(
  const std::vector<std::pair<std::string, std::string>>& aEntries)
{
  std::map<std::string, size_t> places;
  for (size_t i = 0; i < aEntries.size(); ++i) {
    const auto& [item, value] = aEntries[i];
    size_t dot = value.rfind('.');
    auto found = this->writes.find(item);
    uint64_t number = std::strtoull(value.c_str() + dot + 1, nullptr, 10);
    bool isKnown = value.substr(0, dot) == item &&
                   found != this->writes.end() && number >= 1 &&
                   number <= found->second.size();
    if (!isKnown) {
      this->Report(Promise::Unasked, fmt::format("{} = {}", item, value));
      continue;
    }
    if (!places.emplace(value, i).second) {
      this->Report(Promise::Twice, value);
    }
  }
  for (const auto& [item, all] : this->writes) {
    for (size_t i = 0; i < all.size(); ++i) {
      std::string value = ValueOf(item, i + 1);
      auto place = places.find(value);
      bool isKept = place != places.end();
      if (all[i].fate == Fate::Acknowledged && !isKept) {
        this->Report(Promise::Lost, value);
      }
      if (all[i].fate == Fate::Refused && isKept) {
        this->Report(Promise::Refused, value);
      }
      if (all[i].withNext) {
        auto next = places.find(ValueOf(item, i + 2));
        bool isWhole = isKept == (next != places.end()) &&
                       (!isKept || next->second == place->second + 1);
        if (!isWhole) {
          this->Report(Promise::Pinned,
                       "transaction applied in part, from " + value);
        }
      }
    }
  }
}

} // namespace marigoldpitch::soak
