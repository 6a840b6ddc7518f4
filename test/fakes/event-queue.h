#ifndef MARIGOLDPITCH_TEST_FAKES_EVENT_QUEUE_H
#define MARIGOLDPITCH_TEST_FAKES_EVENT_QUEUE_H

#include "marigoldpitch/state/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

/** A fake clock and a queue of the calls scheduled on it. */
namespace marigoldpitch::fakes {

class EventQueue
{
public:
  Time Now() const { return this->now; }

  /** Schedules a call. Calls due at the same time run in order of insertion. */
  void After(Duration aSpan, std::function<void()> aCall)
  {
    this->events.push(
      { this->now + aSpan, ++this->lastOrder, std::move(aCall) });
  }

  /** Runs all calls due until `aEnd`, then sets the clock to it. */
  void RunUntil(Time aEnd)
  {
    while (!this->events.empty() && this->events.top().at <= aEnd) {
      Event event = this->events.top();
      this->events.pop();
      this->now = std::max(this->now, event.at);
      event.call();
    }
    this->now = aEnd;
  }

private:
  struct Event
  {
    Time at;
    uint64_t order;
    std::function<void()> call;
    bool operator<(const Event& aOther) const
    {
      return aOther.at < this->at ||
             (aOther.at == this->at && aOther.order < this->order);
    }
  };

  Time now{ 0 };
  uint64_t lastOrder = 0;
  std::priority_queue<Event> events;
};

} // namespace marigoldpitch::fakes

#endif
