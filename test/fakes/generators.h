#ifndef MARIGOLDPITCH_TEST_FAKES_GENERATORS_H
#define MARIGOLDPITCH_TEST_FAKES_GENERATORS_H

#include "plan.h"

#include <rapidcheck.h>

/** RapidCheck generators of random fault plans. */
namespace marigoldpitch::fakes {

inline rc::Gen<Fault>
GenFault(std::vector<FaultKind> aKinds)
{
  return rc::gen::build<Fault>(
    rc::gen::set(&Fault::kind, rc::gen::elementOf(aKinds)),
    rc::gen::set(&Fault::atMs, rc::gen::inRange<int64_t>(100, 2500)),
    rc::gen::set(&Fault::spanMs, rc::gen::inRange<int64_t>(50, 2500)),
    rc::gen::set(&Fault::targetIndex, rc::gen::inRange<size_t>(0, 3)));
}

/** Generates plans of `aCount` faults of the given kinds at random times. */
inline rc::Gen<Plan>
GenPlan(std::vector<FaultKind> aKinds, size_t aCount)
{
  return rc::gen::build<Plan>(
    rc::gen::set(&Plan::seed, rc::gen::inRange<uint32_t>(1, 100000)),
    rc::gen::set(&Plan::faults,
                 rc::gen::container<std::vector<Fault>>(
                   aCount, GenFault(std::move(aKinds)))));
}

} // namespace marigoldpitch::fakes

#endif
