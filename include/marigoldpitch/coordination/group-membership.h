#ifndef MARIGOLDPITCH_COORDINATION_GROUP_MEMBERSHIP_H
#define MARIGOLDPITCH_COORDINATION_GROUP_MEMBERSHIP_H

#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/time.h"

#include <cstdint>
#include <vector>

/** Who may hold or confirm an acknowledged commit of a group. */
namespace marigoldpitch {

/**
 * How long one that is gone is counted on when neither a record nor a word of
 * the primary settles it.
 */
constexpr Duration kMayStillConfirm = Seconds(30);

/**
 * The members of one group: those that the store's record names, and those that
 * this process has seen registered.
 *
 * An entry that is missing from the registry says nothing of the group: a
 * member may have lost the store alone. A record drops one, or another upstream
 * at its address; one that no record has named yet is remembered for a while.
 */
class GroupMembership
{
public:
  /** One more upstream is known; it is neither listed nor recorded yet. */
  void Add() { this->standings.emplace_back(); }

  /** The registry has an entry of the upstream, or has none. */
  void SetListed(UpstreamIndex aUpstream, bool aIsListed, Time aNow);

  /** Another one was found at its address; the log is that one's now. */
  void SetSucceeded(UpstreamIndex aUpstream)
  {
    this->standings[aUpstream].isSucceeded = true;
  }
  bool IsSucceeded(UpstreamIndex aUpstream) const
  {
    return this->standings[aUpstream].isSucceeded;
  }

  /** Takes the record that the store has at the revision; never goes back. */
  void TakeRecord(uint64_t aRevision,
                  const std::vector<UpstreamIndex>& aMembers,
                  Time aNow);

  /** Whether the members of the group are known. */
  bool IsKnown() const { return this->revision != 0; }
  uint64_t Revision() const { return this->revision; }

  bool IsListed(UpstreamIndex aUpstream) const
  {
    return this->standings[aUpstream].isListed;
  }

  /** Whether this process has ever seen its entry. */
  bool WasListed(UpstreamIndex aUpstream) const
  {
    return this->standings[aUpstream].wasListed;
  }

  /** Since when this process knows the entry missing; `kNever` if it is not. */
  Time MissingSince(UpstreamIndex aUpstream) const
  {
    return this->standings[aUpstream].missingSince;
  }

  bool IsRecorded(UpstreamIndex aUpstream) const
  {
    return this->standings[aUpstream].isRecorded;
  }

  /** Whether the upstream may hold or confirm commits that others lack. */
  bool MayConfirm(UpstreamIndex aUpstream, Time aNow) const;

private:
  struct Standing
  {
    bool isListed = false;
    bool wasListed = false;
    bool isRecorded = false;
    bool wasRecorded = false; // at an earlier revision
    bool isSucceeded = false;
    Time missingSince = kNever;
  };

  std::vector<Standing> standings;
  uint64_t revision = 0; // of the record; 0: there is none
};

} // namespace marigoldpitch

#endif
