#include "marigoldpitch/transport/owner-daemon.h"

#include "marigoldpitch/coordination/common/ownership.h"
#include "marigoldpitch/protocol/documents.h"
#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/log.h"
#include "marigoldpitch/transport/random.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {
constexpr size_t kIncarnationBytes = 6;
constexpr Duration kReleaseInterval = Seconds(1);
} // namespace detail

Result<std::unique_ptr<OwnedGroup>>
OwnedGroup::Create(OwnerDaemon& aDaemon,
                   const GroupConfig& aConfig,
                   GroupOptions aOptions)
{
  BOOST_OUTCOME_TRY(auto engine,
                    GroupEngine::Create(aConfig,
                                        MakeDefaultPolicies(aConfig),
                                        std::move(aOptions)));
  std::unique_ptr<OwnedGroup> group(
    new OwnedGroup(aDaemon, aConfig, std::move(engine)));
  group->Tick();
  return group;
}

OwnedGroup::OwnedGroup(OwnerDaemon& aDaemon,
                       const GroupConfig& aConfig,
                       std::unique_ptr<GroupEngine> aEngine)
  : daemon(aDaemon)
  , engine(std::move(aEngine))
  , pool(aDaemon.GetLoop(), aConfig, *this)
  , reserver(aDaemon.Incarnation())
{
}

OwnedGroup::~OwnedGroup()
{
  *this->alive = false;
  this->daemon.GetLoop().Cancel(this->timer);
}

void
OwnedGroup::Tick()
{
  this->nextTick = kInfiniteFuture;
  this->OnGroupEvent(marigoldpitch::Tick{});
}

void
OwnedGroup::ArmTimer()
{
  // Moves the tick only to an earlier time: otherwise the events of a busy
  // group would keep postponing it.
  Time due = ReadMonotonicClock() + this->engine->TickInterval();
  if (due >= this->nextTick) {
    return;
  }
  this->daemon.GetLoop().Cancel(this->timer);
  this->nextTick = due;
  this->timer = this->daemon.GetLoop().After(this->engine->TickInterval(),
                                             [this] { this->Tick(); });
}

void
OwnedGroup::OnGroupEvent(const GroupEvent& aEvent)
{
  if (std::holds_alternative<ConnectionOpened>(aEvent)) {
    this->daemon.GetMetrics().Count(Counter::ConnectionsOpened);
  }
  GroupActions actions = this->engine->Handle(ReadMonotonicClock(), aEvent);
  for (const GroupAction& action : actions) {
    std::visit([this](const auto& aKind) { this->Perform(aKind); }, action);
  }
  this->ArmTimer();
}

void
OwnedGroup::Perform(const SendAnswer& aAction)
{
  this->daemon.DeliverAnswer(aAction.handle, aAction.answer);
}

void
OwnedGroup::Perform(const AddLogLine& aAction)
{
  Log(aAction.event, aAction.text);
  if (aAction.event == LogEvent::ConnectionLost) {
    this->daemon.GetMetrics().Count(Counter::ConnectionsLost);
  }
}

void
OwnedGroup::Perform(const Observe& aAction)
{
  Metrics& metrics = this->daemon.GetMetrics();
  switch (aAction.observation) {
    case Observation::ReplicaRead:
      metrics.Count(Counter::ReplicaReads);
      return;
    case Observation::PrimaryRead:
      metrics.Count(Counter::PrimaryReads);
      return;
    case Observation::FallbackRead:
      metrics.Count(Counter::FallbackReads);
      return;
    case Observation::Retry:
      metrics.Count(Counter::Retries);
      return;
    case Observation::Failover:
      metrics.Count(Counter::Failovers);
      metrics.Add(Measure::FailoverGap, aAction.span);
      return;
  }
}

void
OwnedGroup::Perform(const ReserveTerms& aAction)
{
  if (!this->reserver.IsRunning()) {
    this->HandleReserverAction(this->reserver.Start(aAction.above));
  }
}

void
OwnedGroup::HandleReserverAction(const ReserverAction& aAction)
{
  StoreClient& store = this->daemon.GetStore();
  std::string key = TermKey(this->engine->Config().name);
  if (std::holds_alternative<ReadTermRecord>(aAction)) {
    store.Get(key, [this, alive = this->alive](const auto& aValue) {
      if (*alive) {
        this->OnTermRecord(aValue);
      }
    });
  } else if (const auto* swap = std::get_if<SwapTermRecord>(&aAction)) {
    auto callback = [this, alive = this->alive](const auto& aValue) {
      if (!*alive) {
        return;
      }
      bool isConflict = !aValue && aValue.error().code == ErrorCode::Conflict;
      SwapOutcome outcome = aValue       ? SwapOutcome::Done
                            : isConflict ? SwapOutcome::Conflict
                                         : SwapOutcome::Lost;
      uint64_t era = aValue ? aValue.value().position.era : 0;
      this->HandleReserverAction(
        this->reserver.On(TermRecordSwapped{ outcome, era }));
    };
    store.Swap(
      key, swap->position.revision, FormatTermRecord(swap->record), callback);
  } else if (const auto* grant = std::get_if<GrantTerms>(&aAction)) {
    this->OnGroupEvent(TermsGranted{ grant->first, grant->last });
  }
}

void
OwnedGroup::OnTermRecord(const Result<StoreValue>& aValue)
{
  TermRecordRead read;
  read.reached = aValue.has_value();
  if (read.reached) {
    read.position = aValue.value().position;
  }
  if (!read.position.IsUnset()) {
    auto record = ParseTermRecord(aValue.value().text);
    // An unreadable record counts as unreachable: overwriting it could reserve
    // terms that are in use already.
    read.reached = record.has_value();
    if (record) {
      read.record = record.value();
    }
  }
  this->HandleReserverAction(this->reserver.On(read));
}

OwnerDaemon::OwnerDaemon(Loop& aLoop, Settings aSettings)
  : DaemonCore(aLoop, std::move(aSettings), DaemonRole::Owner)
  , incarnation(this->settings.host + "~" +
                RandomHexString(detail::kIncarnationBytes))
{
}

Result<void>
OwnerDaemon::OnStart()
{
  this->ReleaseUnusedGroups();
  return boost::outcome_v2::success();
}

size_t
OwnerDaemon::OwnRank(const std::string& aGroup) const
{
  return RankOf(this->settings.host, aGroup, this->hosts.hosts);
}

GroupOptions
OwnerDaemon::MakeGroupOptions(const GroupConfig& aConfig) const
{
  GroupOptions options;
  options.owner = this->incarnation;
  options.standby = this->OwnRank(aConfig.name) != 0;
  options.sessions = this->settings.limits.sessions;
  options.queueLimit = this->settings.limits.queue;
  options.answerBytes = this->settings.limits.frameBytes;
  return options;
}

OwnedGroup*
OwnerDaemon::FindOrCreateGroup(const std::string& aName)
{
  auto found = this->groups.find(aName);
  if (found != this->groups.end()) {
    return found->second.get();
  }
  const GroupConfig* group = this->config.FindGroup(aName);
  if (group == nullptr) {
    return nullptr;
  }
  auto created =
    OwnedGroup::Create(*this, *group, this->MakeGroupOptions(*group));
  if (!created) {
    return nullptr;
  }
  this->UpdateLeavingUpstreams(*created.value());
  return (this->groups[aName] = std::move(created.value())).get();
}

void
OwnerDaemon::OnConfiguration(const Config& aConfig)
{
  for (const GroupConfig& group : aConfig.groups) {
    this->ApplyGroupConfig(group);
  }
  for (auto it = this->groups.begin(); it != this->groups.end();) {
    if (aConfig.FindGroup(it->first) == nullptr) {
      it->second->OnGroupEvent(DrainRequested{});
      this->drainingGroups.push_back(std::move(it->second));
      it = this->groups.erase(it);
    } else {
      ++it;
    }
  }
}

void
OwnerDaemon::ApplyGroupConfig(const GroupConfig& aConfig)
{
  // The owner and the next host in the ranking always keep the group open.
  bool isOwnerOrNext = this->OwnRank(aConfig.name) < 2;
  auto found = this->groups.find(aConfig.name);
  if (found == this->groups.end()) {
    if (isOwnerOrNext) {
      this->FindOrCreateGroup(aConfig.name);
    }
    return;
  }
  GroupEngine& engine = found->second->Engine();
  engine.SetStandby(this->OwnRank(aConfig.name) != 0);
  if (!engine.Reconfigure(aConfig)) {
    found->second->OnGroupEvent(DrainRequested{});
    this->drainingGroups.push_back(std::move(found->second));
    this->groups.erase(found);
    this->FindOrCreateGroup(aConfig.name);
  }
}

void
OwnerDaemon::OnHosts(const HostList&)
{
  for (const GroupConfig& group : this->config.groups) {
    this->ApplyGroupConfig(group);
  }
  for (auto& [name, group] : this->groups) {
    this->UpdateLeavingUpstreams(*group);
  }
}

void
OwnerDaemon::UpdateLeavingUpstreams(OwnedGroup& aGroup)
{
  const GroupConfig& group = aGroup.Engine().Config();
  const auto& leaving = this->hosts.leavingUpstreams;
  for (UpstreamIndex i = 0; i < group.upstreams.size(); ++i) {
    std::string name = group.name + "/" + group.upstreams[i].name;
    bool isLeaving =
      std::find(leaving.begin(), leaving.end(), name) != leaving.end();
    aGroup.OnGroupEvent(UpstreamListedLeaving{ i, isLeaving });
  }
}

void
OwnerDaemon::ReleaseUnusedGroups()
{
  auto isIdle = [](const std::unique_ptr<OwnedGroup>& aGroup) {
    const GroupEngine& engine = aGroup->Engine();
    return engine.Unfinished() == 0 && engine.OpenTransactions() == 0;
  };
  this->drainingGroups.erase(std::remove_if(this->drainingGroups.begin(),
                                            this->drainingGroups.end(),
                                            isIdle),
                             this->drainingGroups.end());
  for (auto it = this->groups.begin(); it != this->groups.end();) {
    bool isUnneeded =
      this->OwnRank(it->first) >= 2 && !this->hosts.hosts.empty();
    it =
      isUnneeded && isIdle(it->second) ? this->groups.erase(it) : std::next(it);
  }
  this->loop.After(detail::kReleaseInterval,
                   [this] { this->ReleaseUnusedGroups(); });
}

void
OwnerDaemon::OnLinkUp(LinkId, const std::string&, bool)
{
}

void
OwnerDaemon::OnLinkFrame(LinkId aLink, const std::string&, const Frame& aFrame)
{
  if (const auto* request = std::get_if<RequestFrame>(&aFrame)) {
    this->OnRequest(aLink, *request);
  } else if (const auto* cancel = std::get_if<CancelFrame>(&aFrame)) {
    this->OnCancel(aLink, cancel->number);
  }
}

void
OwnerDaemon::OnLinkDown(LinkId aLink, const std::string&, bool)
{
  std::vector<uint64_t> numbers;
  for (auto it = this->handleByNumber.lower_bound({ aLink, 0 });
       it != this->handleByNumber.end() && it->first.first == aLink;
       ++it) {
    numbers.push_back(it->first.second);
  }
  for (uint64_t number : numbers) {
    this->OnCancel(aLink, number);
  }
}

void
OwnerDaemon::OnRequest(LinkId aLink, const RequestFrame& aFrame)
{
  OwnedGroup* group = this->FindOrCreateGroup(aFrame.request.group);
  if (group == nullptr) {
    // The entry may have a newer configuration than this owner.
    Answer answer =
      MakeAnswer(Outcome::NotRun, "this owner does not know the group");
    answer.tryNext = true;
    this->network->Send(aLink, AnswerFrame{ aFrame.number, answer });
    return;
  }
  RequestHandle handle = ++this->lastHandle;
  this->forwardedRequests[handle] = {
    aLink, aFrame.number, aFrame.request.group, ReadMonotonicClock()
  };
  this->handleByNumber[{ aLink, aFrame.number }] = handle;
  group->OnGroupEvent(RequestArrived{ handle, aFrame.request });
}

void
OwnerDaemon::OnCancel(LinkId aLink, uint64_t aNumber)
{
  auto found = this->handleByNumber.find({ aLink, aNumber });
  if (found == this->handleByNumber.end()) {
    return;
  }
  RequestHandle handle = found->second;
  std::string group = this->forwardedRequests[handle].group;
  this->forwardedRequests.erase(handle);
  this->handleByNumber.erase(found);
  auto owned = this->groups.find(group);
  if (owned != this->groups.end()) {
    owned->second->OnGroupEvent(RequestCancelled{ handle });
  }
}

void
OwnerDaemon::DeliverAnswer(RequestHandle aHandle, const Answer& aAnswer)
{
  auto found = this->forwardedRequests.find(aHandle);
  if (found == this->forwardedRequests.end()) {
    return;
  }
  ForwardedRequest forwarded = found->second;
  this->forwardedRequests.erase(found);
  this->handleByNumber.erase({ forwarded.link, forwarded.number });
  this->metrics.CountOutcome(aAnswer.outcome);
  this->metrics.Add(Measure::Latency, ReadMonotonicClock() - forwarded.arrived);
  if (aAnswer.source == Source::Replica && aAnswer.age) {
    this->metrics.Add(Measure::ReadAge, *aAnswer.age);
  }
  this->network->Send(forwarded.link, AnswerFrame{ forwarded.number, aAnswer });
}

void
OwnerDaemon::FillStatus(v1::StatusResponse& aStatus) const
{
  Time now = ReadMonotonicClock();
  for (const auto& [name, group] : this->groups) {
    const GroupEngine& engine = group->Engine();
    const GroupView& view = engine.View();
    v1::GroupState* state = aStatus.add_groups();
    state->set_group(name);
    state->set_term(view.CurrentTerm());
    if (view.Primary()) {
      state->set_primary(engine.Config().upstreams[*view.Primary()].name);
    }
    state->set_standby(this->OwnRank(name) != 0);
    state->set_unfinished(static_cast<uint32_t>(engine.Unfinished()));
    state->set_transactions(static_cast<uint32_t>(engine.OpenTransactions()));
    state->set_sessions(static_cast<uint32_t>(engine.Sessions()));
    state->set_failover(
      kFailoverPhaseNames.TextOf(engine.CurrentFailover().Phase()));
    for (UpstreamIndex i = 0; i < view.Size(); ++i) {
      const UpstreamView& upstream = view.At(i);
      v1::UpstreamState* upstreamState = state->add_upstreams();
      upstreamState->set_name(engine.Config().upstreams[i].name);
      upstreamState->set_leaving(upstream.Leaving());
      upstreamState->set_failures(upstream.failures);
      upstreamState->set_connections(engine.Connections().UsageOf(i).open);
      upstreamState->set_busy(engine.Connections().UsageOf(i).busy);
      if (upstream.status) {
        upstreamState->set_role(kRoleNames.TextOf(upstream.status->role));
        upstreamState->set_term(upstream.status->term);
        upstreamState->set_received(upstream.status->received);
        upstreamState->set_replayed(upstream.status->replayed);
      }
      if (auto age = view.AgeOf(i, now)) {
        upstreamState->set_age_ms(static_cast<uint32_t>(age->ms));
      }
    }
  }
}

void
OwnerDaemon::OnDrain()
{
  for (auto& [name, group] : this->groups) {
    group->OnGroupEvent(DrainRequested{});
  }
}

size_t
OwnerDaemon::Unfinished() const
{
  size_t open = 0;
  for (const auto& [name, group] : this->groups) {
    open += group->Engine().Unfinished() + group->Engine().OpenTransactions();
  }
  for (const auto& group : this->drainingGroups) {
    open += group->Engine().Unfinished() + group->Engine().OpenTransactions();
  }
  return open;
}

bool
OwnerDaemon::IsReady() const
{
  return this->config.revision != 0 && this->hosts.revision != 0;
}

} // namespace marigoldpitch
