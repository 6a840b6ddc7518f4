#include "soak/callers.h"

#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>

#include <algorithm>

namespace marigoldpitch::soak {

namespace {

// The accepted age of the configured routes that read from replicas.
constexpr Duration kMaxAge = Millis(500);
constexpr Duration kPatience = Seconds(3);
constexpr Duration kReconnect = Millis(60);
constexpr Duration kLongestRest = Millis(40);
// A request sent this shortly before the connection closed may not have been
// read by the host.
constexpr Duration kCrossing = Millis(200);

/** Whether the code says that the statement was not applied. */
bool
IsPromise(const std::string& aCode)
{
  for (const char* code :
       { "BUSY", "ABORTED", "BEHIND", "READONLY", "MISROUTED", "TOOMANY" }) {
    if (aCode == code) {
      return true;
    }
  }
  return false;
}

} // namespace

Callers::Callers(Loop& aLoop,
                 Ledger& aLedger,
                 std::vector<Endpoint> aHosts,
                 uint32_t aSeed,
                 const HostWatch& aWatch)
  : loop(aLoop)
  , ledger(aLedger)
  , hosts(std::move(aHosts))
  , random(aSeed)
  , watch(aWatch)
  , served(this->hosts.size())
{
}

void
Callers::Start(size_t aSessions)
{
  const DatabaseRoute routes[] = {
    { "ledger", "", Freshness::Newest, Millis(0) },
    { "stock", "", Freshness::Bounded, kMaxAge },
    { "visits", "", Freshness::Session, kMaxAge },
  };
  for (size_t i = 0; i < aSessions; ++i) {
    Session session;
    session.host = i % this->hosts.size();
    session.route = routes[(i / this->hosts.size()) % 3];
    session.item = fmt::format("s{}e0", i);
    this->sessions.push_back(session);
  }
  for (size_t i = 0; i < aSessions; ++i) {
    this->Connect(i);
  }
}

size_t
Callers::Open() const
{
  return static_cast<size_t>(std::count_if(
    this->sessions.begin(), this->sessions.end(), [](const Session& aSession) {
      return aSession.link != nullptr;
    }));
}

uint64_t
Callers::TakeServed(size_t aHost)
{
  return std::exchange(this->served[aHost], 0);
}

void
Callers::Later(size_t aSession, Duration aPause, void (Callers::*aCall)(size_t))
{
  uint64_t incarnation = this->sessions[aSession].incarnation;
  this->loop.After(aPause, [=] {
    if (this->sessions[aSession].incarnation == incarnation) {
      (this->*aCall)(aSession);
    }
  });
}

void
Callers::Connect(size_t aSession)
{
  Session& session = this->sessions[aSession];
  if (this->isStopping) {
    return;
  }
  ++session.incarnation;
  session.step = Step::Connecting;
  session.ownNewest = 0;
  session.row.clear();
  session.done.clear();
  session.error.clear();
  auto link =
    LineLink::Connect(this->loop, this->hosts[session.host], aSession, *this);
  if (!link) {
    this->Later(aSession, kReconnect, &Callers::Connect);
    return;
  }
  session.link = link.value();
  this->WatchSilence(aSession);
}

void
Callers::OnLinkUp(LineLink& aLink)
{
  Session& session = this->sessions[aLink.Tag()];
  aLink.Send(fmt::format("START {} soak\r\n", session.route.database));
}

/**
 * Moves the session to another host if the current request gets no answer in
 * time, since an open connection can stop carrying data for good.
 */
void
Callers::WatchSilence(size_t aSession)
{
  Session& session = this->sessions[aSession];
  uint64_t incarnation = session.incarnation;
  uint64_t question = session.questions;
  this->loop.After(kPatience, [=] {
    Session& now = this->sessions[aSession];
    bool isSame = now.incarnation == incarnation && now.link != nullptr &&
                  now.questions == question && now.step != Step::Resting;
    if (isSame) {
      now.link->Close();
      this->GiveUp(aSession);
    }
  });
}

void
Callers::Ask(size_t aSession, Step aStep, const std::string& aText)
{
  Session& session = this->sessions[aSession];
  session.step = aStep;
  ++session.questions;
  session.asked = ReadBootClock();
  session.requestId = fmt::format("q{}x{}", aSession, session.questions);
  session.link->Send(fmt::format("QUERY {} {}\r\n", session.requestId, aText));
  this->WatchSilence(aSession);
}

void
Callers::OnLine(LineLink& aLink, std::string_view aLine)
{
  size_t index = aLink.Tag();
  Session& session = this->sessions[index];
  std::string line(aLine);
  std::string word = line.substr(0, line.find(' '));
  std::string rest =
    word.size() < line.size() ? line.substr(word.size() + 1) : std::string();
  if (word == "ROW") {
    session.row = rest;
  } else if (word == "DONE") {
    session.done = rest;
  } else if (word == "ERR") {
    session.error = rest.substr(0, rest.find(' '));
    if (session.step == Step::Connecting && session.error == "NODB") {
      this->ledger.Report(Promise::Config,
                          fmt::format("host {} refuses database {}",
                                      session.host,
                                      session.route.database));
    }
    if (session.step == Step::Resting) {
      session.link->Close(); // the host is shutting down
      this->GiveUp(index);
    }
  } else if (word == "READY") {
    this->Answered(index);
  }
}

void
Callers::Begin(size_t aSession)
{
  Session& session = this->sessions[aSession];
  if (this->isStopping) {
    session.link->Close();
    session.link.reset();
    ++session.incarnation;
    return;
  }
  constexpr uint32_t kReadsOfTen = 5;
  constexpr uint32_t kWritesOfTen = 3;
  uint32_t dice = this->random() % 10;
  if (dice < kReadsOfTen && !this->ledger.Items().empty()) {
    const auto& items = this->ledger.Items();
    session.kind = Kind::Read;
    session.readItem = items[this->random() % items.size()];
    Time now = ReadBootClock();
    session.readAtLeast = this->ledger.AcknowledgedBefore(
      session.readItem, now - session.route.maxAge);
    bool isOwn = session.route.freshness == Freshness::Session &&
                 session.readItem == session.item;
    if (isOwn) {
      session.readAtLeast = std::max(session.readAtLeast, session.ownNewest);
    }
    this->Ask(aSession, Step::Running, "READ " + session.readItem);
    return;
  }
  if (dice < kReadsOfTen + kWritesOfTen) {
    session.kind = Kind::Write;
    session.number = this->ledger.Send(session.item, false);
    this->Ask(aSession,
              Step::Running,
              fmt::format("WRITE {} {}",
                          session.item,
                          Ledger::ValueOf(session.item, session.number)));
    return;
  }
  session.kind = dice == 9 ? Kind::RolledBack : Kind::Transaction;
  session.number = this->ledger.Send(session.item, true);
  this->ledger.Send(session.item, false);
  this->Ask(aSession, Step::Beginning, "BEGIN");
}

bool
Callers::IsWriting(const Session& aSession) const
{
  return aSession.kind != Kind::Read && aSession.step != Step::Resting &&
         aSession.step != Step::Connecting && aSession.step != Step::Naming;
}

void
Callers::Settle(Session& aSession, Fate aFate)
{
  Time now = ReadBootClock();
  this->ledger.Settle(aSession.item, aSession.number, aFate, now);
  bool isTransaction = aSession.kind != Kind::Write;
  if (isTransaction) {
    this->ledger.Settle(aSession.item, aSession.number + 1, aFate, now);
  }
  if (aFate == Fate::Unsure) {
    // The write may still be applied after later ones, so later writes go to
    // another item.
    size_t epoch = aSession.item.rfind('e');
    aSession.item =
      fmt::format("{}e{}", aSession.item.substr(0, epoch), ++aSession.epoch);
    aSession.ownNewest = 0;
    ++this->tally.unsure;
  } else if (aFate == Fate::Refused) {
    ++this->tally.refused;
  } else {
    aSession.ownNewest = aSession.number + (isTransaction ? 1 : 0);
    ++this->tally.served;
    ++this->served[aSession.host];
  }
}

void
Callers::Answered(size_t aSession)
{
  Session& session = this->sessions[aSession];
  if (!session.error.empty()) {
    this->Refused(aSession);
    return;
  }
  std::string who = fmt::format("who=w{}x{}", aSession, session.incarnation);
  bool isSigned = session.done.find(who) != std::string::npos;
  bool needsSignature =
    session.step == Step::Running || session.step == Step::Second ||
    (session.step == Step::Ending && session.kind == Kind::Transaction);
  if (needsSignature && !isSigned) {
    this->ledger.Report(
      Promise::Pinned,
      fmt::format("expected {} in the answer, got {}", who, session.done));
  }
  session.done.clear();
  std::string second = fmt::format(
    "WRITE {} {}",
    session.item,
    Ledger::ValueOf(session.item,
                    session.number + (session.step == Step::Running ? 1 : 0)));
  switch (session.step) {
    case Step::Connecting:
      this->Ask(aSession, Step::Naming, "SET who " + who.substr(4));
      return;
    case Step::Beginning:
      this->Ask(aSession, Step::Running, second);
      return;
    case Step::Running:
      if (session.kind == Kind::Read) {
        this->CheckRead(session);
      } else if (session.kind == Kind::Write) {
        this->Settle(session, Fate::Acknowledged);
      } else {
        this->Ask(aSession, Step::Second, second);
        return;
      }
      break;
    case Step::Second:
      this->Ask(aSession,
                Step::Ending,
                session.kind == Kind::RolledBack ? "ROLLBACK" : "COMMIT");
      return;
    case Step::Ending:
      this->Settle(session,
                   session.kind == Kind::RolledBack ? Fate::Refused
                                                    : Fate::Acknowledged);
      break;
    default:
      break;
  }
  session.step = Step::Resting;
  this->Later(aSession,
              Millis(static_cast<int64_t>(this->random() % kLongestRest.ms)),
              &Callers::Begin);
}

void
Callers::CheckRead(Session& aSession)
{
  std::string place =
    fmt::format("{}: a {} read at host {}",
                aSession.requestId,
                kFreshnessNames.TextOf(aSession.route.freshness),
                aSession.host);
  this->ledger.CheckRead(
    aSession.readItem, aSession.row, aSession.readAtLeast, place);
  ++this->tally.served;
}

void
Callers::Refused(size_t aSession)
{
  Session& session = this->sessions[aSession];
  std::string error = std::exchange(session.error, {});
  session.done.clear();
  if (session.step == Step::RollingBack) {
    session.link->Close();
    this->GiveUp(aSession);
    return;
  }
  if (session.kind == Kind::Read) {
    ++this->tally.refused;
  } else if (this->IsWriting(session)) {
    // A transaction can't be applied before its COMMIT was sent.
    bool mayBeKept =
      session.kind == Kind::Write || session.step == Step::Ending;
    bool isKnown = IsPromise(error) || !mayBeKept;
    this->Settle(session, isKnown ? Fate::Refused : Fate::Unsure);
  }
  bool isOpen = session.kind != Kind::Read && session.kind != Kind::Write &&
                session.step != Step::Ending;
  if (isOpen) {
    this->Ask(aSession, Step::RollingBack, "ROLLBACK");
    return;
  }
  session.step = Step::Resting;
  this->Later(aSession, kReconnect, &Callers::Begin);
}

/** Handles a connection that the host closed after an error line. */
void
Callers::Dismissed(size_t aSession)
{
  Session& session = this->sessions[aSession];
  bool isPromise = IsPromise(session.error);
  if (isPromise && this->IsWriting(session) &&
      session.step != Step::RollingBack) {
    this->Settle(session, Fate::Refused);
    session.step = Step::Resting;
  }
  this->GiveUp(aSession);
}

/** Drops the connection and connects to another host after a delay. */
void
Callers::GiveUp(size_t aSession)
{
  Session& session = this->sessions[aSession];
  session.link.reset();
  bool isAsking =
    session.step != Step::Resting && session.step != Step::Connecting;
  this->tally.failed += isAsking ? 1 : 0;
  if (this->IsWriting(session) && session.step != Step::RollingBack) {
    bool mayBeKept =
      session.kind == Kind::Write || session.step == Step::Ending;
    bool isRolledBack = session.kind == Kind::RolledBack;
    this->Settle(session,
                 mayBeKept && !isRolledBack ? Fate::Unsure : Fate::Refused);
  }
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    session.host = this->random() % this->hosts.size();
    if (this->watch.TakesCallers(session.host)) {
      break;
    }
  }
  session.step = Step::Connecting;
  ++session.incarnation;
  this->Later(aSession, kReconnect, &Callers::Connect);
}

void
Callers::OnLinkDown(LineLink& aLink, const Error&)
{
  size_t index = aLink.Tag();
  Session& session = this->sessions[index];
  if (session.link.get() != &aLink) {
    return;
  }
  bool isAsking =
    session.step != Step::Resting && session.step != Step::Connecting;
  if (isAsking && !session.error.empty()) {
    // The host announced its shutdown while the request was in transit.
    this->Dismissed(index);
    return;
  }
  bool mayCross = ReadBootClock() - session.asked <= kCrossing;
  if (isAsking && !mayCross && this->watch.IsCalm(session.host)) {
    this->ledger.Report(
      Promise::Drain,
      fmt::format("host {} closed session {} with a request pending",
                  session.host,
                  index));
  }
  this->GiveUp(index);
}

} // namespace marigoldpitch::soak
