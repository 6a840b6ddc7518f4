#include "world.h"

#include <algorithm>

namespace marigoldpitch::fakes {

namespace {

void
SetCut(std::set<std::pair<size_t, size_t>>& aCuts,
       std::pair<size_t, size_t> aBetween,
       bool aCut)
{
  if (aCut) {
    aCuts.insert(aBetween);
  } else {
    aCuts.erase(aBetween);
  }
}

} // namespace

// Faults.

void
World::GoneUpstream(size_t aUpstream)
{
  for (size_t i = 0; i < this->owners.size(); ++i) {
    std::vector<ConnectionId> lost;
    for (const auto& [id, session] : this->owners[i].sessions) {
      if (session->upstream == aUpstream && session->open && !session->silent &&
          this->Reaches(i, aUpstream)) {
        lost.push_back(id);
      }
    }
    for (ConnectionId id : lost) {
      this->After(this->Latency(), [=] {
        this->StepOwner(i,
                        ConnectionLost{ id, SqlErrorClass::Other, "closed" });
      });
    }
  }
}

void
World::KillUpstream(size_t aUpstream)
{
  Upstream& upstream = this->upstreams[aUpstream];
  upstream.alive = false;
  ++upstream.incarnation;
  this->GoneUpstream(aUpstream);
}

void
World::RestartUpstream(size_t aUpstream)
{
  Upstream& upstream = this->upstreams[aUpstream];
  upstream.database = std::make_unique<standin::Database>(Role::Detached, 0);
  upstream.committedAt.clear();
  upstream.following.reset();
  upstream.linked = false;
  upstream.alive = true;
}

void
World::FreezeUpstream(size_t aUpstream, Duration aSpan)
{
  this->upstreams[aUpstream].frozenUntil = this->Now() + aSpan;
}

void
World::KillOwner(size_t aOwner)
{
  Owner& owner = this->owners[aOwner];
  owner.alive = false;
  ++owner.incarnation;
  std::vector<ConnectionId> ids;
  for (const auto& [id, session] : owner.sessions) {
    ids.push_back(id);
  }
  for (ConnectionId id : ids) {
    this->CloseConnectionFor(aOwner, id);
  }
  for (size_t i = 0; i < this->entries.size(); ++i) {
    this->After(this->Latency(), [=] { this->LinkDown(i, aOwner); });
  }
}

void
World::FreezeOwner(size_t aOwner, Duration aSpan)
{
  this->owners[aOwner].frozenUntil = this->Now() + aSpan;
}

void
World::CutOwnerUpstream(size_t aOwner, size_t aUpstream, bool aCut)
{
  SetCut(this->ownerCuts, { aOwner, aUpstream }, aCut);
  if (aCut) {
    // Connections that were open stay silent after the cut has ended.
    this->SilenceConnections(aOwner, aUpstream);
  }
}

void
World::CutUpstreams(size_t aLeft, size_t aRight, bool aCut)
{
  SetCut(this->upstreamCuts, std::minmax(aLeft, aRight), aCut);
}

void
World::CutEntryOwner(size_t aEntry, size_t aOwner, bool aCut)
{
  SetCut(this->entryCuts, { aEntry, aOwner }, aCut);
}

void
World::SilenceConnections(size_t aOwner, size_t aUpstream)
{
  for (auto& [id, session] : this->owners[aOwner].sessions) {
    if (session->upstream == aUpstream) {
      session->silent = true;
    }
  }
  auto& silent = this->owners[aOwner].adminSilent[aUpstream];
  if (silent) {
    *silent = true;
  }
}

void
World::SilenceLink(size_t aEntry, size_t aOwner)
{
  this->entries[aEntry].links[aOwner] = 0;
}

void
World::StallReplica(size_t aUpstream, Duration aLag)
{
  this->upstreams[aUpstream].database->knobs.replayLag = aLag;
}

void
World::ListLeaving(size_t aUpstream)
{
  for (size_t i = 0; i < this->owners.size(); ++i) {
    this->StepOwner(i, UpstreamListedLeaving{ aUpstream, true });
  }
}

void
World::SetLeavingItself(size_t aUpstream)
{
  this->upstreams[aUpstream].database->knobs.leaving = true;
}

void
World::DrainOwner(size_t aOwner)
{
  this->StepOwner(aOwner, DrainRequested{});
}

} // namespace marigoldpitch::fakes
