#include "marigoldpitch/coordination/proxy/promoter-records.h"

#include <charconv>

namespace marigoldpitch {

namespace detail {

constexpr char kReleased[] = "-";

/** Takes the text up to the next blank off `aRest`. */
std::string
TakeWord(std::string& aRest)
{
  size_t end = std::min(aRest.find(' '), aRest.size());
  std::string word = aRest.substr(0, end);
  aRest.erase(0, end + 1);
  return word;
}

/** Takes an era off `aRest`; leaves it as it is if it begins with none. */
std::optional<uint64_t>
TakeEra(std::string& aRest)
{
  uint64_t era = 0;
  const char* begin = aRest.data();
  const char* end = begin + aRest.size();
  auto [last, error] = std::from_chars(begin, end, era);
  if (error != std::errc() || last == end || *last != ' ') {
    return std::nullopt;
  }
  TakeWord(aRest);
  return era;
}

/** A record of a build that writes no era: `run`, or `unsettled run`. */
LastHolder
ParseHolderWithoutEra(const std::string& aText)
{
  std::string rest = aText;
  bool isUnsettled =
    TakeWord(rest) == kFormerHoldersNames.TextOf(FormerHolders::MayAct);
  return { 0,
           isUnsettled ? FormerHolders::MayAct : FormerHolders::Ended,
           isUnsettled ? rest : aText };
}

} // namespace detail

std::string
FormatPromoterKey(const PromoterKey& aKey)
{
  return std::to_string(aKey.era) + " " + aKey.run;
}

std::optional<PromoterKey>
ParsePromoterKey(const std::string& aText)
{
  std::string rest = aText;
  auto era = detail::TakeEra(rest);
  return era ? std::make_optional(PromoterKey{ *era, rest }) : std::nullopt;
}

bool
IsPromoterKeyHeld(const std::string& aValue, uint64_t aEra)
{
  auto key = ParsePromoterKey(aValue);
  return !key || key->era >= aEra;
}

// A build that writes no era takes the text before the first "/" for the name
// of a host. It finds no such host, and waits for the longest time.
std::string
FormatLastHolder(const LastHolder& aHolder)
{
  return std::to_string(aHolder.era) + " " +
         kFormerHoldersNames.TextOf(aHolder.formerHolders) + " " +
         (aHolder.run.empty() ? detail::kReleased : aHolder.run);
}

LastHolder
ParseLastHolder(const std::string& aText)
{
  std::string rest = aText;
  auto era = detail::TakeEra(rest);
  auto former = kFormerHoldersNames.ValueOf(detail::TakeWord(rest));
  if (!era || !former) {
    return detail::ParseHolderWithoutEra(aText);
  }
  return { *era, *former, rest == detail::kReleased ? "" : rest };
}

bool
HaveFormerHoldersEnded(const ProxyHosts& aHosts, const std::string& aSelf)
{
  LastHolder last = ParseLastHolder(aHosts.lastHolder);
  // Earlier holders may still act, even if the recorded run has ended.
  if (last.formerHolders == FormerHolders::MayAct) {
    return false;
  }
  if (last.run.empty() || last.run == aSelf) {
    return true;
  }
  // A host registers a new run only after its previous run has ended.
  std::string lastHost = last.run.substr(0, last.run.find('/'));
  for (const ProxyHost& host : aHosts.hosts) {
    if (host.name == lastHost) {
      return host.run != last.run;
    }
  }
  return false;
}

bool
HaveEarlierErasEnded(const std::string& aLastHolder, uint64_t aEra)
{
  LastHolder last = ParseLastHolder(aLastHolder);
  return last.era == aEra && last.formerHolders == FormerHolders::Ended;
}

} // namespace marigoldpitch
