#include "marigoldpitch/coordination/proxy/proxy-engine.h"

#include <algorithm>
#include <cmath>

// What each upstream takes well: the observations behind `ConcurrencyLimits`,
// and what waits for each.

namespace marigoldpitch {

namespace detail {

// An upstream at its limit is waited for only if it has answered since.
constexpr Duration kAwaitedAnswerAge = Millis(60);

/** With one decimal, for log lines. */
std::string
FormatTenths(double aValue)
{
  auto tenths = static_cast<int64_t>(std::lround(aValue * 10));
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

} // namespace detail

WorkClass
ProxyEngine::WorkOf(const CallerSession& aSession)
{
  const PendingStatement& pending = *aSession.pending;
  bool inTransaction = aSession.state == SessionState::InTransaction;
  WorkKind kind = WorkKind::Read;
  if (pending.statement.kind == StatementKind::Commit) {
    kind = WorkKind::Commit;
  } else if (pending.writes) {
    kind = inTransaction ? WorkKind::TransactionWrite : WorkKind::Write;
  }
  return { pending.route.database, kind };
}

void
ProxyEngine::AddUpstreams(ProxyService& aService, size_t aAdded)
{
  aService.connections.AddUpstreams(aAdded);
  aService.limits->Resize(aService.view.Size());
  aService.limitChanges.resize(aService.view.Size());
}

std::vector<uint64_t>
ProxyEngine::IncarnationsOf(const ProxyService& aService)
{
  std::vector<uint64_t> incarnations;
  for (UpstreamIndex i = 0; i < aService.view.Size(); ++i) {
    incarnations.push_back(aService.view.At(i).registration.incarnation);
  }
  return incarnations;
}

/** A new process may have other slots and has a cold cache. */
void
ProxyEngine::ResetRestarted(ProxyService& aService,
                            const std::vector<uint64_t>& aIncarnationsBefore)
{
  for (UpstreamIndex i = 0; i < aIncarnationsBefore.size(); ++i) {
    uint64_t before = aIncarnationsBefore[i];
    uint64_t after = aService.view.At(i).registration.incarnation;
    if (before != after && before != 0 && after != 0) {
      aService.limits->Reset(i);
    }
  }
}

void
ProxyEngine::NoteTiming(ProxyService& aService,
                        UpstreamIndex aUpstream,
                        const CallerSession& aSession)
{
  const PendingStatement& pending = *aSession.pending;
  StatementTiming timing;
  timing.upstream = aUpstream;
  timing.work = WorkOf(aSession);
  timing.elapsedMs = static_cast<double>((this->now - pending.sent).ms);
  timing.inFlight = std::max(pending.inFlight, 1u);
  timing.mostInFlight = this->ConnectionLimit(aService, aUpstream);
  aService.limits->NoteAnswer(timing, this->now);
}

void
ProxyEngine::NoteError(ProxyService& aService, UpstreamIndex aUpstream)
{
  aService.limits->NoteError(aUpstream, this->now);
}

/**
 * A report counts the statements of all hosts, and itself; this host's own, of
 * which it is one, are known here.
 */
void
ProxyEngine::NoteLoad(ProxyService& aService, const ProxyLink& aLink)
{
  const ProxyUpstream& upstream = aService.view.At(aLink.upstream);
  uint32_t own = aService.connections.UsageOf(aLink.upstream).busy;
  uint32_t all = upstream.report->runningStatements;
  aService.limits->NoteLoad(
    aLink.upstream,
    { all - std::min(all, own), upstream.registration.slots, aLink.asked });
}

void
ProxyEngine::LogLimitChanges(ProxyService& aService)
{
  for (UpstreamIndex i = 0; i < aService.limitChanges.size(); ++i) {
    LearnedUpstream learned = aService.limits->Learned(i);
    auto change = aService.limitChanges[i].Take(learned.limit, this->now);
    if (!change) {
      continue;
    }
    this->AddDecision(
      LogEvent::UpstreamLimitChanged,
      "",
      { { "service", aService.name },
        { "upstream", aService.view.At(i).registration.id },
        { "before", detail::FormatTenths(change->before) },
        { "after", detail::FormatTenths(change->after) },
        { "slowness", detail::FormatTenths(learned.slowness) },
        { "unloaded", detail::FormatTenths(learned.unloadedSlowness) },
        { "errors", detail::FormatTenths(learned.errorShare) } });
  }
}

/** Whether the caller has a statement in the queue that may be sent now. */
bool
ProxyEngine::IsDue(CallerId aCaller) const
{
  auto found = this->sessions.find(aCaller);
  return found != this->sessions.end() && found->second.pending &&
         found->second.pending->phase == StatementPhase::Queued &&
         found->second.pending->notBefore <= this->now;
}

/** Counts what waits for the primary only; reads leave it room for that. */
void
ProxyEngine::CountWaiting(ProxyService& aService,
                          const std::vector<CallerId>& aHead) const
{
  aService.awaiting.assign(aService.view.Size(), 0);
  aService.primaryOnlyQueued = 0;
  for (CallerId caller : aHead) {
    bool isPrimaryOnly =
      this->IsDue(caller) && this->sessions.at(caller).pending->needsPrimary;
    aService.primaryOnlyQueued += isPrimaryOnly ? 1 : 0;
  }
}

double
ProxyEngine::WindowOf(const ProxyService& aService,
                      UpstreamIndex aUpstream) const
{
  return aService.limits->LimitOf(aUpstream, aService.share, this->now);
}

/**
 * Whether an upstream that takes no statement now is likely to take one soon:
 * it answers, and an answer frees a connection or brings it below its limit.
 */
bool
ProxyEngine::MayAwait(const ProxyService& aService,
                      UpstreamIndex aUpstream) const
{
  const ProxyUpstream& upstream = aService.view.At(aUpstream);
  if (upstream.busyUntil > this->now ||
      this->now - upstream.lastAnswer > detail::kAwaitedAnswerAge) {
    return false;
  }
  for (ConnectionId id : aService.connections.ConnectionsOf(aUpstream)) {
    const Connection* connection = aService.connections.Find(id);
    if (connection->state == ConnectionState::Busy &&
        connection->transaction.empty()) {
      return true;
    }
  }
  return false;
}

} // namespace marigoldpitch
