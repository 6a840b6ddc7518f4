#include "marigoldpitch/coordination/proxy/connection-choice.h"

#include <map>

namespace marigoldpitch {

namespace detail {

using Counts = std::map<std::string, size_t>;

/** How willingly a connection is given up; the lowest goes first. */
enum class ReplaceRank
{
  Nobodys,
  OverPart, // its customer has more than an even part
  Other,
};

constexpr NameTable<ReplaceRank, 3> kReplaceRankNames{ {
  { ReplaceRank::Nobodys, "nobodys" },
  { ReplaceRank::OverPart, "over-part" },
  { ReplaceRank::Other, "other" },
} };

Counts
CountByCustomer(const std::vector<CustomerConnection>& aOpen,
                const std::string& aCustomer)
{
  Counts counts;
  counts[aCustomer] = 0;
  for (const CustomerConnection& connection : aOpen) {
    ++counts[connection.customer];
  }
  return counts;
}

ReplaceRank
RankOf(const CustomerConnection& aConnection, size_t aOwned, size_t aPart)
{
  if (aConnection.customer.empty()) {
    return ReplaceRank::Nobodys;
  }
  return aOwned > aPart ? ReplaceRank::OverPart : ReplaceRank::Other;
}

} // namespace detail

std::optional<ConnectionId>
ChooseReplaced(const std::vector<CustomerConnection>& aOpen,
               const std::string& aCustomer,
               Duration aWaited,
               Time aNow)
{
  detail::Counts counts = detail::CountByCustomer(aOpen, aCustomer);
  size_t own = counts[aCustomer];
  if (own != 0 && aWaited < kOwnConnectionWait) {
    return std::nullopt;
  }
  // Rounded up, so that a customer without connections is always below it.
  size_t part = (aOpen.size() + counts.size() - 1) / counts.size();
  const CustomerConnection* best = nullptr;
  auto bestRank = detail::ReplaceRank::Other;
  for (const CustomerConnection& connection : aOpen) {
    if (!connection.isIdle || connection.customer == aCustomer) {
      continue;
    }
    size_t owned = counts[connection.customer];
    auto rank = detail::RankOf(connection, owned, part);
    bool mayReplace = own < part || rank == detail::ReplaceRank::Nobodys ||
                      owned >= own + 2 ||
                      aNow - connection.lastUse >= kRecentUse;
    bool isBetter = best == nullptr || rank < bestRank ||
                    (rank == bestRank && connection.lastUse < best->lastUse);
    if (mayReplace && isBetter) {
      best = &connection;
      bestRank = rank;
    }
  }
  return best == nullptr ? std::nullopt : std::make_optional(best->id);
}

} // namespace marigoldpitch
