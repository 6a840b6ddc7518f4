#include "marigoldpitch/coordination/departures.h"

#include <algorithm>

namespace marigoldpitch {

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
    departure = isNewIncarnation ? Departure{} : departure;
    state = aRegistration->leaving ? DepartureState::Announced
                                   : DepartureState::Serving;
  }
  if (state == DepartureState::Serving) {
    departure = {};
    entry.wasServing = true;
    return false;
  }
  if (state == departure.state) {
    return false;
  }
  // An announcement may be older than the loss of the entry that it follows.
  bool wasServing = departure.state == DepartureState::Serving;
  departure.state = state;
  departure.learned = aNow;
  if (wasServing) {
    departure.lastServing = entry.wasServing ? this->confirmed : kInfinitePast;
  }
  return true;
}

} // namespace marigoldpitch
