#include "marigoldpitch/coordination/proxy/departures.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

// After an outage of the store, the entry of a running upstream may be missing
// for two seconds; half a second is left for a host to read it.
constexpr Duration kUnlistedGrace = Millis(2500);
// A statement that is placed now may reach the upstream this much later: after
// the setup of its connection, the start of its transaction and the way there.
constexpr Duration kDrainMargin = Millis(1000);

} // namespace detail

void
Departures::Confirm(Time aAsOf)
{
  this->confirmed = std::max(this->confirmed, aAsOf);
}

bool
Departures::Apply(UpstreamIndex aUpstream,
                  const RegisteredUpstream* aRegistration,
                  Time aNow)
{
  Entry& entry = this->entries[aUpstream];
  Departure& departure = entry.departure;
  bool isNewIncarnation =
    aRegistration != nullptr && aRegistration->incarnation != entry.incarnation;
  bool hasAnnounced = departure.state == DepartureState::Announced;
  if (hasAnnounced && !isNewIncarnation) {
    return false;
  }
  DepartureState state = DepartureState::Unlisted;
  if (aRegistration != nullptr) {
    entry.incarnation = aRegistration->incarnation;
    state = aRegistration->leaving ? DepartureState::Announced
                                   : DepartureState::Serving;
  }
  bool isKnown = departure.learned != kInfinitePast;
  if (state == departure.state && !isNewIncarnation && isKnown) {
    return false;
  }
  if (departure.IsServing()) {
    departure.lastServing = this->confirmed;
  } else if (isNewIncarnation) {
    departure.lastServing = kInfinitePast;
  }
  departure.state = state;
  departure.learned = aNow;
  return !departure.IsServing();
}

bool
Departures::IsGone(UpstreamIndex aUpstream) const
{
  const Departure& departure = this->Of(aUpstream);
  return departure.state == DepartureState::Unlisted &&
         departure.learned != kInfinitePast &&
         this->confirmed >= departure.learned + detail::kUnlistedGrace;
}

bool
Departures::MayTakeNewWork(UpstreamIndex aUpstream, Role aRole, Time aNow) const
{
  const Departure& departure = this->Of(aUpstream);
  if (departure.IsServing()) {
    return true;
  }
  bool isWithinGrace = departure.state == DepartureState::Unlisted &&
                       aNow - departure.learned < detail::kUnlistedGrace;
  bool isWithinDrainTime =
    aNow - departure.lastServing < this->drainTime - detail::kDrainMargin;
  return departure.WasSeenServing() &&
         (isWithinGrace || (aRole == Role::Primary && isWithinDrainTime));
}

} // namespace marigoldpitch
