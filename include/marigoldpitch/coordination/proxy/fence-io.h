#ifndef MARIGOLDPITCH_COORDINATION_PROXY_FENCE_IO_H
#define MARIGOLDPITCH_COORDINATION_PROXY_FENCE_IO_H

#include "marigoldpitch/state/freshness.h"
#include "marigoldpitch/state/names.h"

#include <cstdint>
#include <string>

/** What a promoter and the other hosts send each other to fence a term. */
namespace marigoldpitch {

enum class FenceCommand
{
  Close,     // commits of lower terms are not acknowledged to callers any more
  Reopen,    // no promotion was ordered: they are again
  TermBegan, // the promotion has taken effect
};

constexpr NameTable<FenceCommand, 3> kFenceCommandNames{ {
  { FenceCommand::Close, "close" },
  { FenceCommand::Reopen, "reopen" },
  { FenceCommand::TermBegan, "term-began" },
} };

/**
 * A promoter's request to a host about the terms of a service below `term`. A
 * promoter numbers its rounds; a request of an earlier round than the last one
 * that the host got from this promoter has no effect.
 */
struct FenceRequest
{
  std::string service;
  uint64_t round = 0;
  Term term = 0;
  FenceCommand command = FenceCommand::Close;
  // The host replies only once its open commits are answered, or have waited
  // for `kOpenCommitGrace`; their acknowledgements are passed on until then.
  bool awaitsOpenCommits = false;
  // With `TermBegan`: every host was fenced, so none uses the old primary.
  bool areAllFenced = false;
};

/** The host has carried out the request with these values. */
struct FenceReply
{
  std::string service;
  uint64_t round = 0;
  Term term = 0;
  FenceCommand command = FenceCommand::Close;
  // The highest log point of a commit that the host has acknowledged to a
  // caller; unset if it has acknowledged none.
  LogPoint highestAcknowledged;
};

} // namespace marigoldpitch

#endif
