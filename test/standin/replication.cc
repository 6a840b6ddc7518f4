#include "replication.h"

#include "marigoldpitch/transport/clock.h"

#include <nlohmann/json.hpp>

namespace marigoldpitch::standin {

namespace {

using nlohmann::json;

constexpr size_t kMaxFrameBytes = 64 * 1024 * 1024;
constexpr Duration kTick = Millis(5);
constexpr Duration kBeat = Millis(50);
constexpr Duration kReconnect = Millis(100);

json
ToJson(const LogEntry& aEntry)
{
  json ops = json::array();
  for (const Op& op : aEntry.ops) {
    ops.push_back({ static_cast<int>(op.kind), op.table, op.key, op.value });
  }
  return { { "term", aEntry.term }, { "ops", ops } };
}

LogEntry
FromJson(const json& aValue)
{
  LogEntry entry;
  entry.term = aValue["term"].get<Term>();
  for (const json& op : aValue["ops"]) {
    entry.ops.push_back({ static_cast<OpKind>(op[0].get<int>()),
                          op[1].get<std::string>(),
                          op[2].get<std::string>(),
                          op[3].get<std::string>() });
  }
  return entry;
}

} // namespace

Result<std::unique_ptr<Replication>>
Replication::Create(Loop& aLoop, Database& aDatabase, const Endpoint& aOwn)
{
  std::unique_ptr<Replication> replication(new Replication(aLoop, aDatabase));
  Endpoint endpoint{
    aOwn.address, static_cast<uint16_t>(aOwn.port + kReplicationPortOffset)
  };
  BOOST_OUTCOME_TRY(auto listener,
                    TcpListener::Create(aLoop, endpoint, *replication));
  replication->listener = std::move(listener);
  replication->Tick();
  return replication;
}

void
Replication::Tick()
{
  this->Step();
  this->loop.After(kTick, [this] { this->Tick(); });
}

void
Replication::Step()
{
  Time now = ReadMonotonicClock();
  this->database.Replay(now);
  if (this->database.leftPrimary) {
    this->database.leftPrimary = false;
    this->order.reset();
    if (this->primary) {
      this->primary->Close();
      this->primary.reset();
    }
    for (auto& [raw, follower] : this->followers) {
      follower.link->Close();
    }
    this->followers.clear();
  }
  if (this->database.followOrder) {
    this->order = this->database.followOrder;
    this->database.followOrder.reset();
    this->lastConnect = kInfinitePast;
    if (this->primary) {
      this->primary->Close();
      this->primary.reset();
    }
  }
  if (this->order && !this->primary && now - this->lastConnect >= kReconnect) {
    this->ConnectToPrimary();
  }
  this->SendDue();
}

void
Replication::ConnectToPrimary()
{
  this->lastConnect = ReadMonotonicClock();
  Endpoint endpoint{ this->order->address,
                     static_cast<uint16_t>(this->order->port +
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
  json hello{ { "term", this->order->term },
              { "from", this->database.Log().size() },
              { "last_term", this->database.LastTerm() } };
  aLink.Send(hello.dump());
}

void
Replication::OnFrameBytes(FrameLink& aLink, const std::string& aFrame)
{
  if (&aLink == this->primary.get()) {
    this->TakeFromPrimary(aFrame);
    return;
  }
  auto found = this->followers.find(&aLink);
  if (found != this->followers.end()) {
    this->TakeHello(found->second, aFrame);
  }
}

void
Replication::TakeHello(Follower& aFollower, const std::string& aFrame)
{
  json hello = json::parse(aFrame);
  bool isOurs = this->database.CurrentRole() == Role::Primary &&
                hello["term"].get<Term>() == this->database.CurrentTerm();
  if (!isOurs) {
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
  this->SendDue();
}

void
Replication::TakeFromPrimary(const std::string& aFrame)
{
  Time now = ReadMonotonicClock();
  json frame = json::parse(aFrame);
  this->database.Heard(now);
  if (frame.contains("reset")) {
    if (frame["reset"].get<bool>()) {
      this->database.Reset();
    }
    this->database.Followed(frame["term"].get<Term>(),
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
Replication::SendDue()
{
  Time now = ReadMonotonicClock();
  Position size = this->database.Log().size();
  bool isBeat = now - this->lastBeat >= kBeat;
  if (isBeat) {
    this->lastBeat = now;
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
    if (!entries.empty() || isBeat) {
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
