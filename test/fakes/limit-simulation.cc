#include "fakes/limit-simulation.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

constexpr Duration kTickInterval = Millis(20);
constexpr Duration kPatience = Millis(150);
constexpr int64_t kMaxLateMs = 300;

} // namespace

LimitSimulation::LimitSimulation(const LimitSimulationOptions& aOptions)
  : options(aOptions)
  , random(aOptions.seed)
  , hosts(aOptions.hosts)
{
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    this->hosts[host].known = this->ListedHosts();
    this->Start(host);
  }
  this->Tick();
}

std::vector<std::string>
LimitSimulation::ListedHosts() const
{
  std::vector<std::string> names;
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    names.push_back(NameOf(host));
  }
  return names;
}

std::vector<size_t>
LimitSimulation::AllHosts() const
{
  std::vector<size_t> all;
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    all.push_back(host);
  }
  return all;
}

bool
LimitSimulation::Happens(double aShare)
{
  return std::uniform_real_distribution<>(0, 1)(this->random) < aShare;
}

void
LimitSimulation::RunFor(Duration aSpan)
{
  this->queue.RunUntil(this->queue.Now() + aSpan);
}

/** Calls it once the host is not paused, unless its process has changed. */
void
LimitSimulation::After(size_t aHost,
                       Duration aSpan,
                       std::function<void()> aCall)
{
  uint64_t process = this->hosts[aHost].process;
  this->queue.After(aSpan, [this, aHost, process, aCall] {
    FakeHost& host = this->hosts[aHost];
    if (host.process != process || !host.limits) {
      return;
    }
    if (host.isPaused) {
      host.held.push_back(aCall);
      return;
    }
    aCall();
    this->Perform(aHost);
  });
}

void
LimitSimulation::Tick()
{
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    if (this->hosts[host].limits && !this->hosts[host].isPaused) {
      this->hosts[host].limits->OnTick(this->Now());
      this->Perform(host);
    }
  }
  this->queue.After(kTickInterval, [this] { this->Tick(); });
}

void
LimitSimulation::Start(size_t aHost)
{
  FakeHost& host = this->hosts[aHost];
  auto policy = this->options.makePolicy
                  ? this->options.makePolicy()
                  : MakeLimitPolicy(this->options.tolerance);
  host.limits = std::make_unique<CustomerLimits>(
    NameOf(aHost), this->options.tolerance, std::move(policy));
  host.process = ++this->lastProcess;
  host.isPaused = false;
  host.held.clear();
  host.limits->SetHosts(this->Now(), host.known);
  host.limits->SetCustomers(this->Now(), host.customers);
}

void
LimitSimulation::Kill(size_t aHost)
{
  this->hosts[aHost].limits.reset();
}

void
LimitSimulation::Pause(size_t aHost)
{
  this->hosts[aHost].isPaused = true;
}

void
LimitSimulation::Resume(size_t aHost)
{
  FakeHost& host = this->hosts[aHost];
  host.isPaused = false;
  for (const auto& call : std::exchange(host.held, {})) {
    if (host.limits) {
      call();
      this->Perform(aHost);
    }
  }
}

size_t
LimitSimulation::AddHost(Duration aSpread)
{
  size_t added = this->hosts.size();
  this->hosts.emplace_back();
  this->hosts[added].customers = this->hosts[0].customers;
  for (size_t host = 0; host <= added; ++host) {
    std::vector<std::string> listed = this->ListedHosts();
    Duration delay = Millis(
      std::uniform_int_distribution<int64_t>(0, aSpread.ms)(this->random));
    this->hosts[host].known = listed;
    this->After(host, delay, [this, host, listed] {
      this->hosts[host].limits->SetHosts(this->Now(), listed);
    });
  }
  this->Start(added);
  return added;
}

void
LimitSimulation::SetSide(size_t aHost, int aSide)
{
  this->hosts[aHost].side = aSide;
}

void
LimitSimulation::CutLink(size_t aFrom, size_t aTo)
{
  this->cutLinks.insert({ aFrom, aTo });
}

void
LimitSimulation::SetCustomer(const Customer& aCustomer, Duration aSpread)
{
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    this->hosts[host].customers[aCustomer.name] = aCustomer;
    auto customers = this->hosts[host].customers;
    Duration delay = Millis(
      std::uniform_int_distribution<int64_t>(0, aSpread.ms)(this->random));
    this->After(host, delay, [this, host, customers] {
      this->hosts[host].limits->SetCustomers(this->Now(), customers);
    });
  }
  this->RunFor(Millis(0));
}

size_t
LimitSimulation::CounterOf(const std::string& aCustomer)
{
  CounterRanks ranks;
  ranks.SetHosts(this->ListedHosts());
  return IndexOf(ranks.Of(aCustomer).front());
}

void
LimitSimulation::Submit(size_t aHost, const std::string& aCustomer)
{
  size_t index = this->operations.size();
  FakeOperation operation;
  operation.customer = aCustomer;
  operation.host = aHost;
  operation.sent = this->Now();
  this->operations.push_back(operation);
  this->After(aHost, Millis(0), [this, aHost, aCustomer, index] {
    bool isTaken =
      this->hosts[aHost].limits->Take(this->Now(), aCustomer, index, kPatience);
    if (isTaken) {
      this->operations[index].result = PermitResult::Granted;
      this->operations[index].answered = this->Now();
    }
  });
}

void
LimitSimulation::Use(const std::string& aCustomer,
                     double aPerSecond,
                     const std::vector<size_t>& aHosts,
                     Duration aSpan)
{
  auto total = static_cast<int64_t>(aPerSecond * aSpan.ms / 1000);
  for (int64_t i = 0; i < total; ++i) {
    size_t host = aHosts[this->random() % aHosts.size()];
    this->queue.After(
      Millis(static_cast<int64_t>(i * 1000 / aPerSecond)),
      [this, host, aCustomer] { this->Submit(host, aCustomer); });
  }
}

void
LimitSimulation::Perform(size_t aHost)
{
  LimitActions actions;
  this->hosts[aHost].limits->MoveActions(actions);
  for (const PermitOutcome& outcome : actions.outcomes) {
    FakeOperation& operation = this->operations[outcome.caller];
    operation.result = outcome.result;
    operation.answered = this->Now();
  }
  for (const SentLimitRequest& sent : actions.requests) {
    this->Deliver(aHost, sent.host, sent.request);
  }
  for (const AddressedReply& addressed : actions.replies) {
    this->Deliver(aHost, addressed.host, addressed.reply);
  }
}

template<typename Message>
void
LimitSimulation::Deliver(size_t aFrom,
                         const std::string& aTo,
                         const Message& aMessage)
{
  ++this->datagrams;
  size_t to = IndexOf(aTo);
  bool isCut = this->hosts[aFrom].side != this->hosts[to].side ||
               this->cutLinks.count({ aFrom, to }) != 0;
  if (isCut || this->Happens(this->options.lossShare)) {
    return;
  }
  int copies = this->Happens(this->options.repeatShare) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    int64_t most = this->Happens(this->options.lateShare)
                     ? kMaxLateMs
                     : this->options.maxDelay.ms;
    Duration delay =
      Millis(std::uniform_int_distribution<int64_t>(1, most)(this->random));
    this->After(to, delay, [this, aFrom, to, aMessage] {
      CustomerLimits& limits = *this->hosts[to].limits;
      if constexpr (std::is_same_v<Message, LimitRequest>) {
        limits.OnRequest(this->Now(), NameOf(aFrom), aMessage);
      } else {
        limits.OnReply(this->Now(), NameOf(aFrom), aMessage);
      }
    });
  }
}

size_t
LimitSimulation::MostInWindow(const std::string& aCustomer, Time aFrom) const
{
  std::vector<int64_t> times;
  for (const FakeOperation& operation : this->operations) {
    bool isCounted = operation.customer == aCustomer &&
                     operation.result == PermitResult::Granted &&
                     operation.answered >= aFrom;
    if (isCounted) {
      times.push_back(operation.answered.ms);
    }
  }
  std::sort(times.begin(), times.end());
  size_t most = 0;
  size_t first = 0;
  for (size_t i = 0; i < times.size(); ++i) {
    while (times[i] - times[first] > this->options.tolerance.window.ms) {
      ++first;
    }
    most = std::max(most, i + 1 - first);
  }
  return most;
}

size_t
LimitSimulation::Count(const std::string& aCustomer,
                       PermitResult aResult,
                       Time aFrom) const
{
  return static_cast<size_t>(std::count_if(this->operations.begin(),
                                           this->operations.end(),
                                           [&](const FakeOperation& aOne) {
                                             return aOne.customer ==
                                                      aCustomer &&
                                                    aOne.result == aResult &&
                                                    aOne.sent >= aFrom;
                                           }));
}

size_t
LimitSimulation::Sent(const std::string& aCustomer, Time aFrom) const
{
  return static_cast<size_t>(
    std::count_if(this->operations.begin(),
                  this->operations.end(),
                  [&](const FakeOperation& aOne) {
                    return aOne.customer == aCustomer && aOne.sent >= aFrom;
                  }));
}

} // namespace marigoldpitch::fakes
