#include "marigoldpitch/coordination/proxy/former-holder.h"

namespace marigoldpitch {

namespace detail {

std::string
UnsettledPrefix()
{
  return kFormerHoldersNames.TextOf(FormerHolders::MayAct) + " ";
}

} // namespace detail

std::string
FormatLastHolder(FormerHolders aFormerHolders, const std::string& aRun)
{
  return aFormerHolders == FormerHolders::Ended
           ? aRun
           : detail::UnsettledPrefix() + aRun;
}

bool
HaveFormerHoldersEnded(const ProxyHosts& aHosts, const std::string& aSelf)
{
  // A holder that released the lease leaves an empty value.
  const std::string& last = aHosts.lastHolder;
  if (last.empty() || last == aSelf) {
    return true;
  }
  // Earlier holders may still act, even if the recorded run has ended.
  if (last.rfind(detail::UnsettledPrefix(), 0) == 0) {
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
