#ifndef MARIGOLDPITCH_COORDINATION_GROUP_RECORDER_H
#define MARIGOLDPITCH_COORDINATION_GROUP_RECORDER_H

#include "marigoldpitch/coordination/service-view.h"

#include <optional>

/** Keeping the store's record of a group's members. */
namespace marigoldpitch {

/**
 * Works out the next record of one group, on the host that orders promotions.
 * The first one names all that are known, once a primary is proved among them
 * and no more of them register; after that one member is added or dropped at a
 * time.
 */
class GroupRecorder
{
public:
  /**
   * The record to be written now, if any. Marks upstreams whose word is needed
   * for the next one, so that they are asked.
   */
  std::optional<GroupRecord> Step(ServiceView& aView, Time aNow);

private:
  std::optional<GroupRecord> FirstRecord(const ServiceView& aView, Time aNow);
  static std::optional<UpstreamIndex> FindUnrecorded(const ServiceView& aView);
  static std::optional<UpstreamIndex> FindGone(ServiceView& aView, Time aNow);
  static bool IsHeldWithout(const ServiceView& aView, UpstreamIndex aUpstream);

  size_t knownUpstreams = 0;
  Time lastNewUpstream = kNever;
  Time nextWrite = kLongAgo;
};

} // namespace marigoldpitch

#endif
