#include "overload.h"

#include "requests.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

constexpr int kCriticalPercent = 20;

class Overload
{
public:
  Overload(GroupSimulation& aSimulation, double aRequestsPerMs)
    : simulation(aSimulation)
    , perMs(aRequestsPerMs)
  {
  }

  OverloadResult Run()
  {
    Time end = this->simulation.Now() + kOverloadLength;
    this->GenerateArrivals(end);
    this->simulation.RunUntil(end);
    this->MeasureRecovery(end);
    this->simulation.RunFor(Seconds(1));
    this->result.batches = this->simulation.batches;
    return this->result;
  }

private:
  void GenerateArrivals(Time aEnd)
  {
    if (this->simulation.Now() >= aEnd) {
      return;
    }
    this->due += this->perMs;
    for (; this->due >= 1; this->due -= 1) {
      this->Send();
    }
    this->simulation.After(Millis(1), [=] { this->GenerateArrivals(aEnd); });
  }

  void Send()
  {
    bool isCritical =
      static_cast<int>(this->simulation.Random(100)) < kCriticalPercent;
    this->lastId += isCritical ? 1 : 0;
    std::string id = "w" + std::to_string(this->lastId);
    Request request =
      isCritical ? MakeWrite(id, id) : MakeRead("x", Seconds(2));
    request.priority = isCritical ? Priority::Critical : Priority::Tolerant;
    request.session = "s" + std::to_string(this->simulation.Random(1000));
    request.timeout = kOverloadTimeout;
    ++this->result.offered;
    this->result.criticalOffered += isCritical ? 1 : 0;
    Time asked = this->simulation.Now();
    this->simulation.SubmitToOwner(
      this->simulation.PreferredOwner(), request, [=](const Answer& aAnswer) {
        bool isGood = aAnswer.outcome == Outcome::Ok &&
                      this->simulation.Now() - asked <= kOverloadTimeout;
        this->result.good += isGood ? 1 : 0;
        this->result.criticalGood += isGood && isCritical ? 1 : 0;
        this->result.criticalRefused += !isGood && isCritical ? 1 : 0;
      });
  }

  void MeasureRecovery(Time aEnd)
  {
    // Sends one read at a time until one is answered within 15 ms.
    while (this->simulation.Now() - aEnd < Seconds(10)) {
      Time asked = this->simulation.Now();
      bool isQuick = false;
      Request request = MakeRead("x", Seconds(2));
      request.session = "probe";
      this->simulation.SubmitToOwner(
        this->simulation.PreferredOwner(), request, [&](const Answer& aAnswer) {
          isQuick = aAnswer.outcome == Outcome::Ok;
        });
      this->simulation.RunFor(Millis(15));
      if (isQuick) {
        this->result.recoveryMs = (asked - aEnd).ms;
        return;
      }
      this->simulation.RunFor(Seconds(3)); // until that read has ended
    }
  }

  GroupSimulation& simulation;
  double perMs;
  double due = 0;
  uint64_t lastId = 0;
  OverloadResult result;
};

} // namespace

OverloadResult
RunOverload(const Deployment& aDeployment, double aRequestsPerMs, bool aUseFifo)
{
  GroupSimulationOptions options = OptionsOf(aDeployment).simulation;
  options.longestLag = Millis(20);
  if (aUseFifo) {
    options.policies = PoliciesWith(
      [](Policies& aPolicies) { aPolicies.admission = MakeFifoAdmission(); });
  }
  GroupSimulation simulation(options);
  return Overload(simulation, aRequestsPerMs).Run();
}

double
FindCapacity(const Deployment& aDeployment)
{
  double capacity = 0;
  for (double rate = 0.2; rate < 4; rate += 0.1) {
    OverloadResult result = RunOverload(aDeployment, rate, false);
    capacity = std::max(capacity,
                        static_cast<double>(result.good) /
                          static_cast<double>(kOverloadLength.ms));
  }
  return capacity;
}

} // namespace marigoldpitch::fakes
