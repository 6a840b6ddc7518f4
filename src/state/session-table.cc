#include "marigoldpitch/state/session-table.h"

namespace marigoldpitch {

void
SessionTable::Advance(const std::string& aSession, const LogPoint& aPoint)
{
  auto found = this->entryBySession.find(aSession);
  if (found != this->entryBySession.end()) {
    auto entry = found->second;
    if (entry->point.IsBehind(aPoint)) {
      entry->point = aPoint;
    }
    this->lruList.splice(this->lruList.begin(), this->lruList, entry);
    return;
  }
  this->lruList.push_front({ aSession, aPoint });
  this->entryBySession[aSession] = this->lruList.begin();
  if (this->entryBySession.size() > this->capacity) {
    this->entryBySession.erase(this->lruList.back().session);
    this->lruList.pop_back();
  }
}

LogPoint
SessionTable::Newest(const std::string& aSession, const LogPoint& aToken) const
{
  auto found = this->entryBySession.find(aSession);
  if (found == this->entryBySession.end()) {
    return aToken;
  }
  const LogPoint& known = found->second->point;
  return aToken.IsBehind(known) ? known : aToken;
}

bool
SessionTable::Contains(const std::string& aSession) const
{
  return this->entryBySession.count(aSession) != 0;
}

} // namespace marigoldpitch
