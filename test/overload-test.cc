#include "fakes/overload.h"

#include <criterion/criterion.h>

// Goodput under more load than the capacity, on the fake clock.

using namespace marigoldpitch;
using namespace marigoldpitch::fakes;

namespace {

constexpr double kGoodputTarget = 0.95; // of the peak

void
CheckGoodput(const Deployment& aDeployment)
{
  double capacity = FindCapacity(aDeployment);
  double maxGood = capacity * static_cast<double>(kOverloadLength.ms);
  for (double load : { 2.0, 4.0 }) {
    auto defaultResult = RunOverload(aDeployment, capacity * load, false);
    auto fifoResult = RunOverload(aDeployment, capacity * load, true);
    double share = static_cast<double>(defaultResult.good) / maxGood;
    cr_assert_geq(share, kGoodputTarget, "%s at %g", aDeployment.name, load);
    cr_assert_lt(static_cast<double>(fifoResult.good) / maxGood,
                 kGoodputTarget,
                 "the check must fail for a queue without admission control");
  }
}

} // namespace

Test(overload, goodput_holds_in_addis_ababa)
{
  CheckGoodput(kAddisAbaba);
}

Test(overload, goodput_holds_in_brittany)
{
  CheckGoodput(kBrittany);
}
