#include "overload.h"

#include "requests.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

constexpr int kUrgentPercent = 20;

class Overload
{
public:
  Overload(World& aWorld, double aPerMs)
    : world(aWorld)
    , perMs(aPerMs)
  {
  }

  OverloadResult Run()
  {
    Time end = this->world.Now() + kOverloadLength;
    this->Arrive(end);
    this->world.RunUntil(end);
    this->MeasureRecovery(end);
    this->world.RunFor(Seconds(1));
    this->result.batches = this->world.batches;
    return this->result;
  }

private:
  void Arrive(Time aEnd)
  {
    if (this->world.Now() >= aEnd) {
      return;
    }
    this->due += this->perMs;
    for (; this->due >= 1; this->due -= 1) {
      this->Send();
    }
    this->world.After(Millis(1), [=] { this->Arrive(aEnd); });
  }

  void Send()
  {
    bool isUrgent = static_cast<int>(this->world.Random(100)) < kUrgentPercent;
    this->lastId += isUrgent ? 1 : 0;
    std::string id = "w" + std::to_string(this->lastId);
    Request request = isUrgent ? MakeWrite(id, id) : MakeRead("x", Seconds(2));
    request.priority = isUrgent ? Priority::Critical : Priority::Tolerant;
    request.session = "s" + std::to_string(this->world.Random(1000));
    request.timeout = kOverloadTimeout;
    ++this->result.offered;
    this->result.urgentOffered += isUrgent ? 1 : 0;
    Time asked = this->world.Now();
    this->world.AskOwner(
      this->world.FirstOwner(), request, [=](const Answer& aAnswer) {
        bool isGood = aAnswer.outcome == Outcome::Ok &&
                      this->world.Now() - asked <= kOverloadTimeout;
        this->result.good += isGood ? 1 : 0;
        this->result.urgentGood += isGood && isUrgent ? 1 : 0;
        this->result.urgentRefused += !isGood && isUrgent ? 1 : 0;
      });
  }

  void MeasureRecovery(Time aEnd)
  {
    // Sends one read at a time until one is answered within 15 ms.
    while (this->world.Now() - aEnd < Seconds(10)) {
      Time asked = this->world.Now();
      bool isQuick = false;
      Request request = MakeRead("x", Seconds(2));
      request.session = "probe";
      this->world.AskOwner(
        this->world.FirstOwner(), request, [&](const Answer& aAnswer) {
          isQuick = aAnswer.outcome == Outcome::Ok;
        });
      this->world.RunFor(Millis(15));
      if (isQuick) {
        this->result.recoveryMs = (asked - aEnd).ms;
        return;
      }
      this->world.RunFor(Seconds(3)); // until that read has ended
    }
  }

  World& world;
  double perMs;
  double due = 0;
  uint64_t lastId = 0;
  OverloadResult result;
};

} // namespace

OverloadResult
RunOverload(const Deployment& aDeployment, double aPerMs, bool aFifo)
{
  WorldOptions options = OptionsOf(aDeployment).world;
  options.longestLag = Millis(20);
  if (aFifo) {
    options.policies = PoliciesWith(
      [](Policies& aPolicies) { aPolicies.admission = MakeFifoAdmission(); });
  }
  World world(options);
  return Overload(world, aPerMs).Run();
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
