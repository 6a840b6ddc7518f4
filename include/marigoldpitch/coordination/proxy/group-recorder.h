#ifndef MARIGOLDPITCH_COORDINATION_PROXY_GROUP_RECORDER_H
#define MARIGOLDPITCH_COORDINATION_PROXY_GROUP_RECORDER_H

#include "marigoldpitch/coordination/proxy/service-view.h"

#include <optional>

/** Maintains the store's record of a group's members. */
namespace marigoldpitch {

/**
 * Decides the next record of one group, on the host that may order promotions.
 * The first record lists all known members, once the primary among them is
 * proved (see `ServiceView`) and no new upstream has registered for a while.
 * Each later record adds or drops one member, or repeats what is known if the
 * store has come back from an old copy.
 */
class GroupRecorder
{
public:
  /**
   * Returns the record to write now, if any. Marks the upstreams whose reports
   * the next record needs, so that they are requested.
   */
  std::optional<GroupRecord> Update(ServiceView& aView, Time aNow);

private:
  std::optional<GroupRecord> InitialRecord(const ServiceView& aView, Time aNow);
  static std::optional<UpstreamIndex> FindUnrecorded(const ServiceView& aView);
  static bool HasNewIncarnation(ServiceView& aView);
  static std::optional<UpstreamIndex> FindRemovable(ServiceView& aView,
                                                    Time aNow);
  static bool MayDoWithout(const ServiceView& aView,
                           UpstreamIndex aUpstream,
                           size_t aRecorded,
                           Time aNow);
  static bool AreCommitsContainedWithout(const ServiceView& aView,
                                         UpstreamIndex aUpstream,
                                         Time aNow);

  size_t knownUpstreams = 0; // as of `lastNewUpstream`
  Time lastNewUpstream = kInfiniteFuture;
  Time nextWrite = kInfinitePast;
};

} // namespace marigoldpitch

#endif
