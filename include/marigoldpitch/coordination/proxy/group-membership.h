#ifndef MARIGOLDPITCH_COORDINATION_PROXY_GROUP_MEMBERSHIP_H
#define MARIGOLDPITCH_COORDINATION_PROXY_GROUP_MEMBERSHIP_H

#include "marigoldpitch/coordination/proxy/host-registration.h"
#include "marigoldpitch/state/connection-table.h"
#include "marigoldpitch/state/proxy-config.h"
#include "marigoldpitch/state/time.h"

#include <cstdint>
#include <vector>

/**
 * Which upstreams may contain or confirm acknowledged commits of a group that
 * others lack.
 */
namespace marigoldpitch {

/**
 * How long an unlisted upstream still counts as a member if neither the group's
 * record nor the primary's log end shows that it no longer matters.
 */
constexpr Duration kAbsentMemberTimeout = Seconds(30);

/**
 * Within this time after the store has come back from an old copy, upstreams
 * that run have registered again, and hosts have read it.
 */
constexpr Duration kRegistryRewriteTime = Millis(2500);

/**
 * The members of one group: the upstreams in the store's group record, and
 * those that this process has seen in the registry. An upstream is listed while
 * the registry has an entry of it, and recorded while the newest group record
 * contains it. It is a member while `MayConfirm` is true.
 *
 * A member that becomes unlisted stays a member, since it may have lost only
 * its connection to the store. The membership of an unlisted upstream ends when
 * a newer record leaves it out, or when another upstream registers at its
 * address. An upstream that was never recorded stays a member for
 * `kAbsentMemberTimeout` after it became unlisted.
 *
 * When the store comes back from an old copy, its record may be older than the
 * one that this process knows. The known one stays in use, and the holder of
 * the promoter lease writes it again. A process that knows no other one cannot
 * tell whether the copy's record lacks members; it waits until they are listed
 * again.
 */
class GroupMembership
{
public:
  /** Adds an upstream that is neither listed nor recorded yet. */
  void Add() { this->memberStates.emplace_back(); }

  /** Sets whether the registry has an entry of the upstream. */
  void SetListed(UpstreamIndex aUpstream, bool aIsListed, Time aNow);

  /** Sets the incarnation that the upstream's entry names. */
  void SetIncarnation(UpstreamIndex aUpstream,
                      uint64_t aIncarnation,
                      Time aNow);

  /** The upstream's log has become shorter within a term. */
  void NoteLostLog(UpstreamIndex aUpstream, Time aNow);

  /** The upstream's log contains every commit that it has confirmed. */
  void NoteCompleteLog(UpstreamIndex aUpstream);

  bool HasLostLog(UpstreamIndex aUpstream) const
  {
    return this->memberStates[aUpstream].hasLostLog;
  }

  /**
   * Whether the upstream has restarted, and it is not known whether its log
   * still contains every commit that it has confirmed. `NoteCompleteLog` ends
   * this, here or in the process that wrote the record. The restart of an
   * unlisted upstream shows only when it is listed again.
   */
  bool HasUnverifiedLog(UpstreamIndex aUpstream) const;

  /** Since when `HasUnverifiedLog`, as far as this process can tell. */
  Time UnverifiedSince(UpstreamIndex aUpstream) const
  {
    return this->memberStates[aUpstream].unverifiedSince;
  }

  /** The newest incarnation whose log is known to be complete; 0: none is. */
  uint64_t CompleteIncarnation(UpstreamIndex aUpstream) const;

  uint64_t RecordedIncarnation(UpstreamIndex aUpstream) const
  {
    return this->memberStates[aUpstream].recordedIncarnation;
  }

  /** Another upstream registered at its address and has taken over its log. */
  void SetReplaced(UpstreamIndex aUpstream)
  {
    this->memberStates[aUpstream].isReplaced = true;
  }
  bool IsReplaced(UpstreamIndex aUpstream) const
  {
    return this->memberStates[aUpstream].isReplaced;
  }

  /** A member in the store's record. */
  struct RecordedMember
  {
    UpstreamIndex upstream = 0;
    uint64_t incarnation = 0;
  };

  /**
   * Applies the store's record. Ignores one that is not at a newer position;
   * of one that knows less than the applied one, it notes the position only.
   */
  void ApplyRecord(const StorePosition& aPosition,
                   const RecordOrder& aOrder,
                   const std::vector<RecordedMember>& aMembers,
                   Time aNow);

  /** The store has no record of the group in this era. */
  void NoteMissingRecord(uint64_t aEra);

  /** Whether the store was read, and has never had a record of the group. */
  bool HasNoRecord() const { return this->isRecordMissing && !this->hasRecord; }

  /**
   * Whether a record of the group has been read that is sure to name all
   * members which nothing else shows.
   */
  bool IsKnown(Time aNow) const
  {
    return this->hasRecord && aNow >= this->completeFrom;
  }

  /**
   * Whether all hosts have read that the group has a record. Until then new
   * ones take it that nobody can promote.
   */
  bool IsRecordSpread(Time aNow) const
  {
    return aNow - this->firstRecordedAt >= kRegistrationSpread;
  }

  /** Of the store's record; unset: there is none. */
  const StorePosition& Position() const { return this->position; }

  /** Whether the store's record has to be replaced by what is known. */
  bool NeedsRewrite() const
  {
    return this->hasRecord &&
           (this->isStoredOutdated || this->order.era < this->position.era);
  }

  /** The order of a record that is written now. */
  RecordOrder NextOrder() const
  {
    return { this->position.era, this->order.number + 1 };
  }

  bool IsListed(UpstreamIndex aUpstream) const
  {
    return this->memberStates[aUpstream].isListed;
  }

  /** Whether this process has ever seen its registration. */
  bool WasListed(UpstreamIndex aUpstream) const
  {
    return this->memberStates[aUpstream].wasListed;
  }

  /** Since when the upstream is unlisted; `kInfiniteFuture` if it is listed. */
  Time UnlistedSince(UpstreamIndex aUpstream) const
  {
    return this->memberStates[aUpstream].unlistedSince;
  }

  bool IsRecorded(UpstreamIndex aUpstream) const
  {
    return this->memberStates[aUpstream].isRecorded;
  }

  /**
   * Whether the upstream is a member: it may contain or confirm commits that
   * others lack. True if it is listed or recorded, or was listed less than
   * `kAbsentMemberTimeout` ago and never recorded, or was left out that long
   * ago by a record of another era of the store; false once another upstream
   * has registered at its address.
   */
  bool MayConfirm(UpstreamIndex aUpstream, Time aNow) const;

private:
  struct MemberState
  {
    bool isListed = false;
    bool wasListed = false;
    bool isRecorded = false;
    bool wasRecorded = false; // in an earlier record
    bool isReplaced = false;
    Time unlistedSince = kInfiniteFuture;
    // A record of another era of the store left it out; it counts until then.
    Time carriedUntil = kInfinitePast;
    uint64_t incarnation = 0;      // as listed; 0: not listed yet
    uint64_t firstIncarnation = 0; // the first that this process saw listed
    uint64_t recordedIncarnation = 0;
    uint64_t completeIncarnation = 0; // as found by this process
    bool hasLostLog = false;
    Time unverifiedSince = kInfinitePast;
  };

  std::vector<MemberState> memberStates;
  StorePosition position;        // of the store's record
  RecordOrder order;             // of the applied record
  bool hasRecord = false;        // whether a record was applied
  bool isRecordMissing = false;  // from a read of the store
  bool isStoredOutdated = false; // the store's record knows less than this
  Time completeFrom = kInfinitePast;
  // When the first record was read; `kInfinitePast`: before this process began.
  Time firstRecordedAt = kInfinitePast;
};

} // namespace marigoldpitch

#endif
