#ifndef MARIGOLDPITCH_STATE_SESSION_TABLE_H
#define MARIGOLDPITCH_STATE_SESSION_TABLE_H

#include "marigoldpitch/state/position.h"

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

/** The newest log point of each session, as known to one owner. */
namespace marigoldpitch {

/**
 * Lets a session read its own writes even if the answer that carried its token
 * was lost. When the table is full, the least recently used session is evicted;
 * the token that it sends still gives the guarantee.
 */
class SessionTable
{
public:
  explicit SessionTable(size_t aCapacity)
    : capacity(aCapacity)
  {
  }

  /** Raises the session's point; a lower point changes nothing. */
  void Advance(const std::string& aSession, const LogPoint& aPoint);

  /** The higher of the session's point and the token it sent. */
  LogPoint Newest(const std::string& aSession, const LogPoint& aToken) const;

  bool Contains(const std::string& aSession) const;
  size_t Size() const { return this->entryBySession.size(); }

private:
  struct Entry
  {
    std::string session;
    LogPoint point;
  };

  size_t capacity;
  std::list<Entry> lruList; // most recently used first
  std::unordered_map<std::string, std::list<Entry>::iterator> entryBySession;
};

} // namespace marigoldpitch

#endif
