#include "marigoldpitch/coordination/former-holder.h"

namespace marigoldpitch {

namespace detail {

std::string
UnsettledMark()
{
  return kSuccessionNames.TextOf(Succession::Unsettled) + " ";
}

} // namespace detail

std::string
FormatFormerHolder(Succession aSuccession, const std::string& aRun)
{
  return aSuccession == Succession::Settled ? aRun
                                            : detail::UnsettledMark() + aRun;
}

bool
HaveFormerHoldersEnded(const ProxyHosts& aHosts, const std::string& aSelf)
{
  // A holder that released the lease leaves an empty value.
  const std::string& last = aHosts.lastHolder;
  if (last.empty() || last == aSelf) {
    return true;
  }
  // Earlier holders may still act even if the unsettled run has ended.
  if (last.rfind(detail::UnsettledMark(), 0) == 0) {
    return false;
  }
  // A host registers a new run only after its previous run has ended.
  std::string lastHost = last.substr(0, last.find('/'));
  for (const ProxyHost& host : aHosts.hosts) {
    if (host.name == lastHost) {
      return host.run != last;
    }
  }
  return false;
}

} // namespace marigoldpitch
