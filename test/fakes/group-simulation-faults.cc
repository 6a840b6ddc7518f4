#include "group-simulation.h"

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
GroupSimulation::ReportLostConnections(size_t aUpstream)
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
        this->HandleOwnerEvent(
          i, ConnectionLost{ id, SqlErrorClass::Other, "closed" });
      });
    }
  }
}

void
GroupSimulation::KillUpstream(size_t aUpstream)
{
  Upstream& upstream = this->upstreams[aUpstream];
  upstream.alive = false;
  ++upstream.incarnation;
  this->ReportLostConnections(aUpstream);
}

void
GroupSimulation::RestartUpstream(size_t aUpstream)
{
  Upstream& upstream = this->upstreams[aUpstream];
  upstream.database = std::make_unique<standin::Database>(Role::Detached, 0);
  upstream.committedAt.clear();
  upstream.following.reset();
  upstream.isReplicating = false;
  upstream.alive = true;
}

void
GroupSimulation::FreezeUpstream(size_t aUpstream, Duration aSpan)
{
  this->upstreams[aUpstream].frozenUntil = this->Now() + aSpan;
}

void
GroupSimulation::KillOwner(size_t aOwner)
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
    this->After(this->Latency(), [=] { this->DropLink(i, aOwner); });
  }
}

void
GroupSimulation::FreezeOwner(size_t aOwner, Duration aSpan)
{
  this->owners[aOwner].frozenUntil = this->Now() + aSpan;
}

void
GroupSimulation::CutOwnerUpstream(size_t aOwner, size_t aUpstream, bool aCut)
{
  SetCut(this->ownerCuts, { aOwner, aUpstream }, aCut);
  if (aCut) {
    // Connections that were open stay silent after the cut has ended.
    this->SilenceConnections(aOwner, aUpstream);
  }
}

void
GroupSimulation::CutUpstreams(size_t aLeft, size_t aRight, bool aCut)
{
  SetCut(this->upstreamCuts, std::minmax(aLeft, aRight), aCut);
}

void
GroupSimulation::CutEntryOwner(size_t aEntry, size_t aOwner, bool aCut)
{
  SetCut(this->entryCuts, { aEntry, aOwner }, aCut);
}

void
GroupSimulation::SilenceConnections(size_t aOwner, size_t aUpstream)
{
  for (auto& [id, session] : this->owners[aOwner].sessions) {
    if (session->upstream == aUpstream) {
      session->silent = true;
    }
  }
  auto& silent = this->owners[aOwner].silentAdminConnections[aUpstream];
  if (silent) {
    *silent = true;
  }
}

void
GroupSimulation::SilenceLink(size_t aEntry, size_t aOwner)
{
  this->entries[aEntry].links[aOwner] = 0;
}

void
GroupSimulation::StallReplica(size_t aUpstream, Duration aLag)
{
  this->upstreams[aUpstream].database->testSettings.replayLag = aLag;
}

void
GroupSimulation::ListLeaving(size_t aUpstream)
{
  for (size_t i = 0; i < this->owners.size(); ++i) {
    this->HandleOwnerEvent(i, UpstreamListedLeaving{ aUpstream, true });
  }
}

void
GroupSimulation::SetReportsLeaving(size_t aUpstream)
{
  this->upstreams[aUpstream].database->testSettings.leaving = true;
}

void
GroupSimulation::DrainOwner(size_t aOwner)
{
  this->HandleOwnerEvent(aOwner, DrainRequested{});
}

} // namespace marigoldpitch::fakes
