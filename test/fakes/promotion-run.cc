#include "fakes/promotion-run.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

// Commits that wait keep their connections, so there are few of them.
constexpr Duration kWriteInterval = Millis(60);
constexpr Duration kAwaitLimit = Seconds(8);

} // namespace

ProxySimulationOptions
PromotionRun::Options(uint32_t aSeed)
{
  ProxySimulationOptions options;
  options.hosts = 3;
  options.seed = aSeed;
  options.jitter = Millis(4);
  options.connections = 120;
  options.stepsDownAfter = kStepsDownAfter;
  options.registryInterval = Millis(1000);
  options.refusesEnded = true;
  return options;
}

PromotionRun::PromotionRun(const ProxySimulationOptions& aOptions)
  : simulation(aOptions)
{
  this->simulation.SetPromoterLease(0, true);
  this->simulation.RunFor(Millis(1500));
  this->WriteFor(Millis(200));
}

const Promotion&
PromotionRun::PromotionOf(size_t aHost)
{
  return this->simulation.Host(aHost).Services().at("service").promotion;
}

void
PromotionRun::WriteFor(Duration aSpan)
{
  Time end = this->simulation.Now() + aSpan;
  while (this->simulation.Now() < end) {
    if (this->simulation.Now() >= this->nextWrite) {
      this->nextWrite = this->simulation.Now() + kWriteInterval;
      this->SubmitCalls();
    }
    this->simulation.RunFor(std::min(this->nextWrite, end) -
                            this->simulation.Now());
  }
}

void
PromotionRun::SubmitCalls()
{
  size_t host = this->writers[++this->writes % this->writers.size()];
  this->simulation.SubmitStatement(
    host,
    this->simulation.OpenSession(host),
    WriteStatement("a", "w" + std::to_string(this->writes)));
  for (size_t reader : this->readers) {
    this->simulation.SubmitStatement(
      reader, this->simulation.OpenSession(reader), ReadStatement("a"));
  }
}

bool
PromotionRun::AwaitPhase(PromotionPhase aPhase)
{
  Time limit = this->simulation.Now() + kAwaitLimit;
  while (this->PromotionOf(0).Phase() != aPhase &&
         this->simulation.Now() < limit) {
    this->WriteFor(Millis(1));
  }
  return this->PromotionOf(0).Phase() == aPhase;
}

bool
PromotionRun::AwaitPromotion()
{
  Time limit = this->simulation.Now() + kAwaitLimit;
  size_t before = this->simulation.Promotions();
  while (this->simulation.Promotions() == before &&
         this->simulation.Now() < limit) {
    this->WriteFor(Millis(5));
  }
  return this->simulation.Promotions() != before;
}

void
PromotionRun::StopReplication()
{
  for (size_t i = 1; i < this->simulation.Upstreams(); ++i) {
    this->simulation.SetReplicationBlocked(i, true);
  }
}

size_t
PromotionRun::StartUnlisted()
{
  size_t upstream = this->simulation.AddUpstream();
  this->simulation.Upstream(upstream).isListed = false;
  return upstream;
}

size_t
PromotionRun::StartUnlistedAt(size_t aEnded)
{
  size_t upstream = this->StartUnlisted();
  this->simulation.Upstream(upstream).entry.endpoint =
    this->simulation.Upstream(aEnded).entry.endpoint;
  return upstream;
}

void
PromotionRun::Resume(size_t aUpstream)
{
  this->simulation.Upstream(aUpstream).held = 0;
  this->simulation.SetReplicationBlocked(aUpstream, false);
}

std::string
PromotionRun::Violation() const
{
  std::string violations = this->simulation.Violations();
  size_t lost = violations.find("an acknowledged commit is lost");
  size_t start = lost == std::string::npos ? 0 : lost;
  return violations.substr(start, violations.find('\n', start) - start);
}

std::string
PromotionRun::ViolationAfterRecovery(const std::set<size_t>& aLost)
{
  for (size_t host = 0; host < this->simulation.Hosts(); ++host) {
    if (!ServiceRecovers(this->simulation, host, aLost)) {
      return "h" + std::to_string(host) + " completes no write and read";
    }
  }
  return this->Violation();
}

} // namespace marigoldpitch::fakes
