#include "marigoldpitch/state/session-table.h"

namespace marigoldpitch {

void
SessionTable::Advance(const std::string& aSession, const LogPoint& aPoint)
{
  auto found = this->points.find(aSession);
  if (found != this->points.end()) {
    auto entry = found->second;
    if (entry->point.IsBehind(aPoint)) {
      entry->point = aPoint;
    }
    this->order.splice(this->order.begin(), this->order, entry);
    return;
  }
  this->order.push_front({ aSession, aPoint });
  this->points[aSession] = this->order.begin();
  if (this->points.size() > this->capacity) {
    this->points.erase(this->order.back().session);
    this->order.pop_back();
  }
}

LogPoint
SessionTable::Newest(const std::string& aSession, const LogPoint& aToken) const
{
  auto found = this->points.find(aSession);
  if (found == this->points.end()) {
    return aToken;
  }
  const LogPoint& known = found->second->point;
  return aToken.IsBehind(known) ? known : aToken;
}

bool
SessionTable::Knows(const std::string& aSession) const
{
  return this->points.count(aSession) != 0;
}

} // namespace marigoldpitch
