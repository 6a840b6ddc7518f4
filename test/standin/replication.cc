#include "replication.h"

#include "marigoldpitch/transport/clock.h"

#include <nlohmann/json.hpp>

namespace marigoldpitch::standin {

namespace {

using nlohmann::json;

constexpr size_t kMaxFrameBytes = 64 * 1024 * 1024;
constexpr Duration kTickInterval = Millis(5);
constexpr Duration kHeartbeatInterval = Millis(50);
constexpr Duration kReconnectDelay = Millis(100);

json
ToJson(const LogEntry& aEntry)
{
  json changes = json::array();
  for (const RowChange& change : aEntry.changes) {
    changes.push_back({ static_cast<int>(change.kind),
                        change.table,
                        change.key,
                        change.value });
  }
  return { { "term", aEntry.term }, { "ops", changes } };
}

LogEntry
FromJson(const json& aValue)
{
  LogEntry entry;
  entry.term = aValue["term"].get<Term>();
  for (const json& change : aValue["ops"]) {
    entry.changes.push_back({ static_cast<RowChangeKind>(change[0].get<int>()),
                              change[1].get<std::string>(),
                              change[2].get<std::string>(),
                              change[3].get<std::string>() });
  }
  return entry;
}

} // namespace

Result<std::unique_ptr<Replication>>
Replication::Create(Loop& aLoop,
                    Database& aDatabase,
                    const Endpoint& aSqlEndpoint)
{
  std::unique_ptr<Replication> replication(new Replication(aLoop, aDatabase));
  Endpoint endpoint{ aSqlEndpoint.address,
                     static_cast<uint16_t>(aSqlEndpoint.port +
                                           kReplicationPortOffset) };
  BOOST_OUTCOME_TRY(auto listener,
                    TcpListener::Create(aLoop, endpoint, *replication));
  replication->listener = std::move(listener);
  replication->Tick();
  return replication;
}

void
Replication::Tick()
{
  this->Update();
  this->loop.After(kTickInterval, [this] { this->Tick(); });
}

void
Replication::Update()
{
  Time now = ReadMonotonicClock();
  this->database.Replay(now);
  if (this->database.mustCloseReplication) {
    this->database.mustCloseReplication = false;
    this->followTarget.reset();
    if (this->primary) {
      this->primary->Close();
      this->primary.reset();
    }
    for (auto& [raw, follower] : this->followers) {
      follower.link->Close();
    }
    this->followers.clear();
  }
  if (this->database.newFollowTarget) {
    this->followTarget = this->database.newFollowTarget;
    this->database.newFollowTarget.reset();
    this->lastConnect = kInfinitePast;
    if (this->primary) {
      this->primary->Close();
      this->primary.reset();
    }
  }
  if (this->followTarget && !this->primary &&
      now - this->lastConnect >= kReconnectDelay) {
    this->ConnectToPrimary();
  }
  this->SendEntries();
}

void
Replication::ConnectToPrimary()
{
  this->lastConnect = ReadMonotonicClock();
  Endpoint endpoint{ this->followTarget->address,
                     static_cast<uint16_t>(this->followTarget->port +
                                           kReplicationPortOffset) };
  auto link = FrameLink::Connect(this->loop, endpoint, kMaxFrameBytes, *this);
  if (link) {
    this->primary = link.value();
  }
}

void
Replication::OnAccept(h2o_socket_t* aSocket)
{
  auto link = FrameLink::FromSocket(this->loop, aSocket, kMaxFrameBytes, *this);
  this->followers[link.get()].link = link;
}

void
Replication::OnLinkUp(FrameLink& aLink)
{
  json hello{ { "term", this->followTarget->term },
              { "from", this->database.Log().size() },
              { "last_term", this->database.LastTerm() } };
  aLink.Send(hello.dump());
}

void
Replication::OnFrameBytes(FrameLink& aLink, const std::string& aFrame)
{
  if (&aLink == this->primary.get()) {
    this->HandlePrimaryFrame(aFrame);
    return;
  }
  auto found = this->followers.find(&aLink);
  if (found != this->followers.end()) {
    this->HandleHello(found->second, aFrame);
  }
}

void
Replication::HandleHello(Follower& aFollower, const std::string& aFrame)
{
  json hello = json::parse(aFrame);
  bool isCurrentTerm =
    this->database.CurrentRole() == Role::Primary &&
    hello["term"].get<Term>() == this->database.CurrentTerm();
  if (!isCurrentTerm) {
    return;
  }
  Position from = hello["from"].get<Position>();
  bool isPrefix =
    this->database.HasPrefix(from, hello["last_term"].get<Term>());
  aFollower.accepted = true;
  aFollower.sent = isPrefix ? from : 0;
  json accept{ { "reset", !isPrefix },
               { "term", this->database.CurrentTerm() },
               { "term_start", this->database.TermStart() } };
  aFollower.link->Send(accept.dump());
  this->SendEntries();
}

void
Replication::HandlePrimaryFrame(const std::string& aFrame)
{
  Time now = ReadMonotonicClock();
  json frame = json::parse(aFrame);
  this->database.NotePrimaryContact(now);
  if (frame.contains("reset")) {
    if (frame["reset"].get<bool>()) {
      this->database.Reset();
    }
    this->database.BecomeReplica(frame["term"].get<Term>(),
                                 frame["term_start"].get<Position>());
  }
  if (frame.contains("entries")) {
    for (const json& entry : frame["entries"]) {
      this->database.Receive(FromJson(entry), now);
    }
  }
  this->database.Replay(now);
}

void
Replication::SendEntries()
{
  Time now = ReadMonotonicClock();
  Position size = this->database.Log().size();
  bool isHeartbeat = now - this->lastHeartbeat >= kHeartbeatInterval;
  if (isHeartbeat) {
    this->lastHeartbeat = now;
  }
  for (auto& [raw, follower] : this->followers) {
    if (!follower.accepted) {
      continue;
    }
    json entries = json::array();
    while (follower.sent < size) {
      entries.push_back(ToJson(this->database.Log()[follower.sent]));
      ++follower.sent;
    }
    if (!entries.empty() || isHeartbeat) {
      follower.link->Send(json{ { "entries", entries } }.dump());
    }
  }
}

void
Replication::OnLinkDown(FrameLink& aLink, const Error&)
{
  if (&aLink == this->primary.get()) {
    this->primary.reset();
  }
  this->followers.erase(&aLink);
}

} // namespace marigoldpitch::standin
