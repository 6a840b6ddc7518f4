#include "marigoldpitch/coordination/proxy/connection-choice.h"
#include "marigoldpitch/coordination/proxy/proxy-engine.h"

#include <algorithm>

// Whose statement it is, and which connections belong to whom.

namespace marigoldpitch {

namespace detail {

constexpr Duration kUnusedLinkTimeout = Millis(700);
// Many customers send a statement once in a few seconds.
constexpr Duration kCustomerLinkTimeout = Seconds(10);

} // namespace detail

/**
 * The customer for which a statement runs, by the newest configuration; empty:
 * nobody in particular. Unset if the key is unknown or has been withdrawn.
 */
std::optional<std::string>
ProxyEngine::CustomerOf(const KeyHash& aKey, const DatabaseRoute& aRoute) const
{
  if (!this->config.hasCustomers) {
    return std::string();
  }
  auto found = this->config.keys.find(aKey);
  if (found != this->config.keys.end()) {
    return found->second;
  }
  return aRoute.isOpen ? std::make_optional<std::string>() : std::nullopt;
}

/**
 * Whether a statement that another host judged to be the customer's may run
 * here by this host's own configuration, which may be older or newer.
 */
bool
ProxyEngine::KnowsCustomer(const std::string& aCustomer,
                           const DatabaseRoute& aRoute) const
{
  return aCustomer.empty() ? !this->config.hasCustomers || aRoute.isOpen
                           : this->config.customers.count(aCustomer) != 0;
}

/** Whether the session's open transaction may go on for its customer. */
bool
ProxyEngine::MayContinue(const CallerSession& aSession) const
{
  if (aSession.origin) {
    return this->KnowsCustomer(aSession.customer, aSession.route);
  }
  return this->CustomerOf(aSession.key, aSession.route) == aSession.customer;
}

void
ProxyEngine::LogRefusedKey(const CallerSession& aSession,
                           const std::string& aRequestId)
{
  this->AddDecision(
    LogEvent::KeyRefused,
    aRequestId,
    { { "key",
        aSession.origin ? std::string("judged by its host")
                        : Fingerprint(aSession.key) },
      { "customer", aSession.customer.empty() ? "unknown" : aSession.customer },
      { "database", aSession.database },
      { "version", std::to_string(this->config.version) } });
}

/** Refuses a statement that has not run; the session goes on. */
void
ProxyEngine::RefuseKey(CallerSession& aSession, const std::string& aRequestId)
{
  this->LogRefusedKey(aSession, aRequestId);
  this->AnswerFailure(
    aSession, FailureCode::Unauthorized, "the key is not known");
}

/**
 * Decides whose statement of the session has arrived. Refuses it and returns
 * false if it may run for nobody; an open transaction is then rolled back.
 */
bool
ProxyEngine::JudgeKey(CallerSession& aSession,
                      const DatabaseRoute& aRoute,
                      const std::string& aRequestId)
{
  if (aSession.state == SessionState::InTransaction) {
    if (!this->MayContinue(aSession)) {
      this->FailTransaction(aSession);
      this->RefuseKey(aSession, aRequestId);
      return false;
    }
    return true;
  }
  if (aSession.origin) {
    return true; // judged when it was taken on
  }
  auto customer = this->CustomerOf(aSession.key, aRoute);
  if (!customer) {
    this->RefuseKey(aSession, aRequestId);
    return false;
  }
  aSession.customer = *customer;
  return true;
}

/**
 * Judges the session's waiting statement, or its open transaction, by the
 * newest configuration. Returns false if it may not run any more.
 */
bool
ProxyEngine::MayStillRun(CallerSession& aSession)
{
  if (aSession.state == SessionState::InTransaction) {
    return this->MayContinue(aSession);
  }
  if (!aSession.pending) {
    return true;
  }
  PendingStatement& pending = *aSession.pending;
  if (aSession.origin) {
    return this->KnowsCustomer(pending.customer, pending.route);
  }
  auto customer = this->CustomerOf(aSession.key, pending.route);
  if (customer) {
    aSession.customer = *customer;
    pending.customer = *customer;
  }
  return customer.has_value();
}

/**
 * Judges waiting statements and idle transactions by a new configuration. What
 * runs at an upstream is answered; its session's next statement is judged when
 * it arrives.
 */
void
ProxyEngine::JudgeSessions()
{
  std::vector<CallerId> refused;
  for (auto& [id, session] : this->sessions) {
    bool isQueued =
      session.pending && session.pending->phase == StatementPhase::Queued;
    if (session.pending && !isQueued) {
      continue;
    }
    // The queue is ordered by customers, of which this may be another one.
    this->Dequeue(session);
    if (!this->MayStillRun(session)) {
      refused.push_back(id);
    } else if (isQueued) {
      this->Enqueue(session);
    }
  }
  for (CallerId id : refused) {
    this->WithdrawKey(this->sessions.at(id));
  }
}

/**
 * Rolls back the session's transaction, if one is open, and refuses the
 * statement that waits. Without one, the next statement gets `Aborted`.
 */
void
ProxyEngine::WithdrawKey(CallerSession& aSession)
{
  this->Dequeue(aSession);
  bool isOpen = aSession.state == SessionState::InTransaction;
  if (isOpen) {
    this->FailTransaction(aSession);
  }
  if (aSession.pending) {
    this->RefuseKey(aSession, aSession.pending->requestId);
    return;
  }
  this->LogRefusedKey(aSession, "");
  aSession.abortUnreported = isOpen;
}

/**
 * How many connections to an upstream this host may keep idle for long: with
 * those of all hosts at most half of what the upstream accepts, so that a fleet
 * that comes back finds room beside the lingering ones.
 */
uint32_t
ProxyEngine::KeptConnections(const ProxyService& aService) const
{
  if (!this->config.hasCustomers || this->hosts == 0) {
    return 0;
  }
  const ServingHosts& serving = aService.serving;
  return ServingShare(
    aService.config.connections, serving.total, serving.zones);
}

/**
 * The customer's part of what all may ask by their limits; 1 without a limit.
 */
double
ProxyEngine::ShareOf(const std::string& aCustomer) const
{
  auto found = this->config.customers.find(aCustomer);
  if (found == this->config.customers.end() || !found->second.IsLimited()) {
    return 1;
  }
  return found->second.operationsPerSecond / this->allCustomersRate;
}

void
ProxyEngine::SumCustomerRates()
{
  this->allCustomersRate = 0;
  for (const auto& [name, customer] : this->config.customers) {
    this->allCustomersRate += customer.operationsPerSecond;
  }
}

/**
 * When the connection was last of use. Reports do not count for that of a
 * customer: it would be kept, although the customer sends nothing.
 */
Time
ProxyEngine::LastUse(const ProxyLink& aLink)
{
  return aLink.customer.empty() ? aLink.lastAnswer : aLink.lastServed;
}

/** The connections to the upstream; with customers, the longest unused first.
 */
std::vector<ConnectionId>
ProxyEngine::LinksByUse(const ProxyService& aService,
                        UpstreamIndex aUpstream) const
{
  auto ids = aService.connections.ConnectionsOf(aUpstream);
  if (this->config.hasCustomers) {
    std::sort(
      ids.begin(), ids.end(), [&](ConnectionId aOne, ConnectionId aTwo) {
        Time one = LastUse(this->links.at(aOne));
        Time two = LastUse(this->links.at(aTwo));
        return one != two ? one < two : aOne < aTwo;
      });
  }
  return ids;
}

/** How long the connection stays open without use. */
Duration
ProxyEngine::UnusedTimeout(const ProxyLink& aLink, bool aIsWithinKept)
{
  return aIsWithinKept && !aLink.customer.empty() ? detail::kCustomerLinkTimeout
                                                  : detail::kUnusedLinkTimeout;
}

bool
ProxyEngine::IsOfRemovedCustomer(const ProxyLink& aLink) const
{
  return !aLink.customer.empty() &&
         this->config.customers.count(aLink.customer) == 0;
}

/** The idle connection that may make room for the session's statement. */
std::optional<ConnectionId>
ProxyEngine::FindReplaceable(const ProxyService& aService,
                             UpstreamIndex aUpstream,
                             const PendingStatement& aPending) const
{
  uint32_t opening = aService.connections.UsageOf(aUpstream).opening;
  bool mayReplace =
    this->config.hasCustomers &&
    aService.view.At(aUpstream).pace.MayReplace(opening, this->now);
  if (!mayReplace) {
    return std::nullopt;
  }
  std::vector<CustomerConnection> open;
  for (ConnectionId id : aService.connections.ConnectionsOf(aUpstream)) {
    const ProxyLink& link = this->links.at(id);
    bool isIdle = !link.isOpening && link.use == LinkUse::None;
    open.push_back({ id, link.customer, isIdle, LastUse(link) });
  }
  return ChooseReplaced(
    open, aPending.customer, this->now - aPending.arrived, this->now);
}

/**
 * Whether a connection is being opened for the statement, which then waits for
 * it. It adopts one whose own statement has been served or given up meanwhile.
 */
bool
ProxyEngine::AwaitsOpening(const ProxyService& aService,
                           UpstreamIndex aUpstream,
                           CallerSession& aSession)
{
  PendingStatement& pending = *aSession.pending;
  auto own = this->links.find(pending.opening);
  if (own != this->links.end() && own->second.isOpening) {
    return true;
  }
  for (ConnectionId id : aService.connections.ConnectionsOf(aUpstream)) {
    ProxyLink& link = this->links.at(id);
    if (!link.isOpening || link.customer != pending.customer) {
      continue;
    }
    auto waiting = this->sessions.find(link.openedFor);
    bool isAwaited = waiting != this->sessions.end() &&
                     waiting->second.pending &&
                     waiting->second.pending->phase == StatementPhase::Queued &&
                     waiting->second.pending->opening == id;
    if (!isAwaited) {
      link.openedFor = aSession.id;
      pending.opening = id;
      return true;
    }
  }
  return false;
}

/**
 * Opens a connection for the session's statement, in the place of another
 * customer's idle one if this host may have no more.
 */
void
ProxyEngine::OpenFor(ProxyService& aService,
                     UpstreamIndex aUpstream,
                     CallerSession& aSession)
{
  if (!this->config.hasCustomers) {
    this->Open(aService, aUpstream);
    return;
  }
  if (this->AwaitsOpening(aService, aUpstream, aSession)) {
    return;
  }
  PendingStatement& pending = *aSession.pending;
  if (!this->MayOpen(aService, aUpstream)) {
    auto replaced = this->FindReplaceable(aService, aUpstream, pending);
    if (!replaced) {
      return;
    }
    const ProxyLink& link = this->links.at(*replaced);
    const std::string& id = aService.view.At(aUpstream).registration.id;
    this->AddDecision(
      LogEvent::ConnectionReplaced,
      pending.requestId,
      { { "upstream", id },
        { "of", link.customer.empty() ? "nobody" : link.customer },
        { "for", pending.customer.empty() ? "nobody" : pending.customer },
        { "unused_ms", this->DescribeAge(LastUse(link)) } });
    this->Close(*replaced, false);
  }
  pending.opening = this->StartOpening(aService, aUpstream, pending.customer);
  if (pending.opening != 0) {
    this->links.at(pending.opening).openedFor = aSession.id;
  }
}

} // namespace marigoldpitch
