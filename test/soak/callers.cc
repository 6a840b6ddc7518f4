#include "soak/callers.h"

#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>

#include <algorithm>

namespace marigoldpitch::soak {

namespace {

// The accepted age of the configured routes that read from replicas.
constexpr Duration kMaxAge = Millis(500);
constexpr Duration kReplyTimeout = Seconds(3);
constexpr Duration kReconnectDelay = Millis(60);
constexpr Duration kMaxPause = Millis(40);
// A request sent this shortly before the connection closed may not have been
// read by the host.
constexpr Duration kMaxTransitTime = Millis(200);

/** Whether the code says that the statement was not applied. */
bool
IsReportedNotApplied(const std::string& aCode)
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
                 WriteHistory& aHistory,
                 SentStatements& aSent,
                 std::vector<Endpoint> aHosts,
                 uint32_t aSeed,
                 const HostMonitor& aMonitor)
  : loop(aLoop)
  , history(aHistory)
  , hosts(std::move(aHosts))
  , sent(aSent)
  , random(aSeed)
  , texts(aSeed)
  , monitor(aMonitor)
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
Callers::OpenSessions() const
{
  return static_cast<size_t>(std::count_if(
    this->sessions.begin(), this->sessions.end(), [](const Session& aSession) {
      return aSession.link != nullptr;
    }));
}

uint64_t
Callers::TakeServedWrites(size_t aHost)
{
  return std::exchange(this->served[aHost], 0);
}

void
Callers::CallAfter(size_t aSession,
                   Duration aPause,
                   void (Callers::*aCall)(size_t))
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
  session.newestOwnWrite = 0;
  session.settings.clear();
  session.prepared.clear();
  session.row.clear();
  session.done.clear();
  session.error.clear();
  auto link =
    LineLink::Connect(this->loop, this->hosts[session.host], aSession, *this);
  if (!link) {
    this->CallAfter(aSession, kReconnectDelay, &Callers::Connect);
    return;
  }
  session.link = link.value();
  this->StartReplyTimeout(aSession);
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
Callers::StartReplyTimeout(size_t aSession)
{
  Session& session = this->sessions[aSession];
  uint64_t incarnation = session.incarnation;
  uint64_t requestNumber = session.requestCount;
  this->loop.After(kReplyTimeout, [=] {
    Session& now = this->sessions[aSession];
    bool isTimedOut = now.incarnation == incarnation && now.link != nullptr &&
                      now.requestCount == requestNumber &&
                      now.step != Step::Idle;
    if (isTimedOut) {
      now.link->Close();
      this->MoveToOtherHost(aSession);
    }
  });
}

void
Callers::SendQuery(size_t aSession, Step aStep, const std::string& aText)
{
  Session& session = this->sessions[aSession];
  session.step = aStep;
  ++session.requestCount;
  session.lastRequestAt = ReadBootClock();
  session.requestId = fmt::format("q{}x{}", aSession, session.requestCount);
  session.link->Send(fmt::format("QUERY {} {}\r\n", session.requestId, aText));
  this->StartReplyTimeout(aSession);
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
      this->history.ReportViolation(Violation::MissingDatabase,
                                    fmt::format("host {} refuses database {}",
                                                session.host,
                                                session.route.database));
    }
    if (session.step == Step::Idle) {
      session.link->Close(); // the host is shutting down
      this->MoveToOtherHost(index);
    }
  } else if (word == "READY") {
    this->HandleReply(index);
  }
}

void
Callers::StartOperation(size_t aSession)
{
  Session& session = this->sessions[aSession];
  if (this->isStopping) {
    session.link->Close();
    session.link.reset();
    ++session.incarnation;
    return;
  }
  constexpr uint32_t kOperationsPerSetup = 3;
  if (this->texts.OneIn(kOperationsPerSetup)) {
    this->SendSetup(aSession);
  } else {
    this->RunOperation(aSession);
  }
}

void
Callers::SendSetup(size_t aSession)
{
  constexpr uint32_t kSetupsPerSet = 3;
  constexpr uint32_t kSetupsPerForget = 8;
  SetupStatement& setup = this->sessions[aSession].setup;
  if (this->texts.OneIn(kSetupsPerSet)) {
    setup = { StatementKind::SetValue, "note", this->texts.DrawValue() };
    this->SendQuery(aSession, Step::SettingUp, "SET note " + setup.value);
  } else if (this->texts.OneIn(kSetupsPerForget)) {
    setup = { StatementKind::Forget, this->texts.DrawName(), "" };
    this->SendQuery(aSession, Step::SettingUp, "FORGET " + setup.name);
  } else {
    setup = { StatementKind::Prepare,
              this->texts.DrawName(),
              this->texts.DrawShape() };
    this->SendQuery(aSession,
                    Step::SettingUp,
                    fmt::format("PREPARE {} {}", setup.name, setup.value));
  }
}

void
Callers::ApplySetup(Session& aSession)
{
  const SetupStatement& setup = aSession.setup;
  if (setup.kind == StatementKind::SetValue) {
    aSession.settings[setup.name] = setup.value;
  } else if (setup.kind == StatementKind::Prepare) {
    aSession.prepared[setup.name] = setup.value;
  } else {
    aSession.prepared.erase(setup.name);
  }
}

void
Callers::RunOperation(size_t aSession)
{
  Session& session = this->sessions[aSession];
  constexpr uint32_t kReadsOfTen = 5;
  constexpr uint32_t kWritesOfTen = 3;
  uint32_t randomNumber = this->random() % 10;
  if (randomNumber < kReadsOfTen && !this->history.Items().empty()) {
    session.kind = Kind::Read;
    this->SendRead(aSession);
    return;
  }
  if (randomNumber < kReadsOfTen + kWritesOfTen) {
    session.kind = Kind::Write;
    session.number = this->history.Send(session.item, false);
    this->SendWrite(aSession, Step::Running, session.number);
    return;
  }
  session.kind = randomNumber == 9 ? Kind::RolledBack : Kind::Transaction;
  session.number = this->history.Send(session.item, true);
  this->history.Send(session.item, false);
  this->SendQuery(aSession, Step::Beginning, "BEGIN");
}

void
Callers::SendRead(size_t aSession)
{
  constexpr uint32_t kReadsPerOddItem = 6;
  Session& session = this->sessions[aSession];
  const auto& items = this->history.Items();
  session.readItem = items[this->random() % items.size()];
  if (this->texts.OneIn(kReadsPerOddItem)) {
    session.readItem = this->texts.ChangeItem(session.readItem);
  }
  Time now = ReadBootClock();
  session.minReadNumber = this->history.AcknowledgedBefore(
    session.readItem, now - session.route.maxAge);
  bool isOwnItem = session.route.freshness == Freshness::Session &&
                   session.readItem == session.item;
  if (isOwnItem) {
    session.minReadNumber =
      std::max(session.minReadNumber, session.newestOwnWrite);
  }
  this->SendStatement(aSession, Step::Running, "READ", session.readItem);
}

void
Callers::SendWrite(size_t aSession, Step aStep, uint64_t aNumber)
{
  const std::string& item = this->sessions[aSession].item;
  this->SendStatement(aSession,
                      aStep,
                      "WRITE",
                      item + " " + WriteHistory::ValueOf(item, aNumber));
}

/** Sends a read or a write, or executes a prepared statement that is one. */
void
Callers::SendStatement(size_t aSession,
                       Step aStep,
                       const std::string& aVerb,
                       const std::string& aFields)
{
  Session& session = this->sessions[aSession];
  ExpectedRun run{ aVerb + " " + aFields, "", session.settings };
  std::string text = run.text;
  auto prepared = session.prepared.find(this->texts.DrawName());
  bool isPrepared = prepared != session.prepared.end() &&
                    prepared->second.rfind(aVerb + " ", 0) == 0;
  if (isPrepared) {
    run.text = "EXEC " + aFields;
    run.shape = prepared->second;
    text = fmt::format("EXEC {} {}", prepared->first, aFields);
  }
  this->SendQuery(aSession, aStep, text);
  this->sent.Add(session.requestId, run);
}

bool
Callers::IsWriting(const Session& aSession) const
{
  return aSession.kind != Kind::Read && aSession.step != Step::Idle &&
         aSession.step != Step::Connecting &&
         aSession.step != Step::SettingName && aSession.step != Step::SettingUp;
}

void
Callers::RecordOutcome(Session& aSession, WriteOutcome aOutcome)
{
  Time now = ReadBootClock();
  this->history.RecordOutcome(aSession.item, aSession.number, aOutcome, now);
  bool isTransaction = aSession.kind != Kind::Write;
  if (isTransaction) {
    this->history.RecordOutcome(
      aSession.item, aSession.number + 1, aOutcome, now);
  }
  if (aOutcome == WriteOutcome::Unsure) {
    // The write may still be applied after later ones, so later writes go to
    // another item.
    size_t epoch = aSession.item.rfind('e');
    aSession.item =
      fmt::format("{}e{}", aSession.item.substr(0, epoch), ++aSession.epoch);
    aSession.newestOwnWrite = 0;
    ++this->stats.unsure;
  } else if (aOutcome == WriteOutcome::Refused) {
    ++this->stats.refused;
  } else {
    aSession.newestOwnWrite = aSession.number + (isTransaction ? 1 : 0);
    ++this->stats.served;
    ++this->served[aSession.host];
  }
}

void
Callers::HandleReply(size_t aSession)
{
  Session& session = this->sessions[aSession];
  if (!session.error.empty()) {
    this->Refused(aSession);
    return;
  }
  std::string who = fmt::format("who=w{}x{}", aSession, session.incarnation);
  bool isSigned = session.done.find(who) != std::string::npos;
  bool needsSignature = session.step == Step::Running ||
                        session.step == Step::SecondWrite ||
                        (session.step == Step::EndingTransaction &&
                         session.kind == Kind::Transaction);
  if (needsSignature && !isSigned) {
    this->history.ReportViolation(
      Violation::SessionNotPinned,
      fmt::format("expected {} in the answer, got {}", who, session.done));
  }
  session.done.clear();
  switch (session.step) {
    case Step::Connecting:
      this->SendQuery(aSession, Step::SettingName, "SET who " + who.substr(4));
      return;
    case Step::SettingName:
      session.settings["who"] = who.substr(4);
      break;
    case Step::SettingUp:
      ApplySetup(session);
      this->RunOperation(aSession);
      return;
    case Step::Beginning:
      this->SendWrite(aSession, Step::Running, session.number);
      return;
    case Step::Running:
      if (session.kind == Kind::Read) {
        this->CheckRead(session);
      } else if (session.kind == Kind::Write) {
        this->RecordOutcome(session, WriteOutcome::Acknowledged);
      } else {
        this->SendWrite(aSession, Step::SecondWrite, session.number + 1);
        return;
      }
      break;
    case Step::SecondWrite:
      this->SendQuery(aSession,
                      Step::EndingTransaction,
                      session.kind == Kind::RolledBack ? "ROLLBACK" : "COMMIT");
      return;
    case Step::EndingTransaction:
      this->RecordOutcome(session,
                          session.kind == Kind::RolledBack
                            ? WriteOutcome::Refused
                            : WriteOutcome::Acknowledged);
      break;
    default:
      break;
  }
  session.step = Step::Idle;
  this->CallAfter(aSession,
                  Millis(static_cast<int64_t>(this->random() % kMaxPause.ms)),
                  &Callers::StartOperation);
}

void
Callers::CheckRead(Session& aSession)
{
  std::string description =
    fmt::format("{}: a {} read at host {}",
                aSession.requestId,
                kFreshnessNames.TextOf(aSession.route.freshness),
                aSession.host);
  this->history.CheckRead(
    aSession.readItem, aSession.row, aSession.minReadNumber, description);
  ++this->stats.served;
}

void
Callers::Refused(size_t aSession)
{
  Session& session = this->sessions[aSession];
  std::string error = std::exchange(session.error, {});
  session.done.clear();
  this->CheckRefusal(session, error);
  if (session.step == Step::RollingBack || session.step == Step::SettingUp) {
    session.link->Close();
    this->MoveToOtherHost(aSession);
    return;
  }
  if (session.kind == Kind::Read) {
    ++this->stats.refused;
  } else if (this->IsWriting(session)) {
    // A transaction can't be applied before its COMMIT was sent.
    bool mayBeApplied =
      session.kind == Kind::Write || session.step == Step::EndingTransaction;
    bool isNotApplied = IsReportedNotApplied(error) || !mayBeApplied;
    this->RecordOutcome(
      session, isNotApplied ? WriteOutcome::Refused : WriteOutcome::Unsure);
  }
  bool isTransactionOpen = session.kind != Kind::Read &&
                           session.kind != Kind::Write &&
                           session.step != Step::EndingTransaction;
  if (isTransactionOpen) {
    this->SendQuery(aSession, Step::RollingBack, "ROLLBACK");
    return;
  }
  session.step = Step::Idle;
  this->CallAfter(aSession, kReconnectDelay, &Callers::StartOperation);
}

/** Callers send valid texts and execute what they have prepared. */
void
Callers::CheckRefusal(const Session& aSession, const std::string& aError)
{
  bool isSingle = aSession.step == Step::Running &&
                  (aSession.kind == Kind::Read || aSession.kind == Kind::Write);
  bool isInvalid = aError == "BAD" || aError == "NOSTMT";
  if (isInvalid && (isSingle || aSession.step == Step::SettingUp)) {
    this->history.ReportViolation(
      Violation::ChangedStatement,
      fmt::format("{} was refused with {}", aSession.requestId, aError));
  }
}

/** Handles a connection that the host closed after an error line. */
void
Callers::HandleCloseAfterRefusal(size_t aSession)
{
  Session& session = this->sessions[aSession];
  bool isReportedNotApplied = IsReportedNotApplied(session.error);
  if (isReportedNotApplied && this->IsWriting(session) &&
      session.step != Step::RollingBack) {
    this->RecordOutcome(session, WriteOutcome::Refused);
    session.step = Step::Idle;
  }
  this->MoveToOtherHost(aSession);
}

/** Drops the connection and connects to another host after a delay. */
void
Callers::MoveToOtherHost(size_t aSession)
{
  Session& session = this->sessions[aSession];
  session.link.reset();
  bool isRequestPending =
    session.step != Step::Idle && session.step != Step::Connecting;
  this->stats.connectionsLost += isRequestPending ? 1 : 0;
  if (this->IsWriting(session) && session.step != Step::RollingBack) {
    bool mayBeApplied =
      session.kind == Kind::Write || session.step == Step::EndingTransaction;
    bool isRolledBack = session.kind == Kind::RolledBack;
    this->RecordOutcome(session,
                        mayBeApplied && !isRolledBack ? WriteOutcome::Unsure
                                                      : WriteOutcome::Refused);
  }
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    session.host = this->random() % this->hosts.size();
    if (this->monitor.AcceptsCallers(session.host)) {
      break;
    }
  }
  session.step = Step::Connecting;
  ++session.incarnation;
  this->CallAfter(aSession, kReconnectDelay, &Callers::Connect);
}

void
Callers::OnLinkDown(LineLink& aLink, const Error&)
{
  size_t index = aLink.Tag();
  Session& session = this->sessions[index];
  if (session.link.get() != &aLink) {
    return;
  }
  bool isRequestPending =
    session.step != Step::Idle && session.step != Step::Connecting;
  if (isRequestPending && !session.error.empty()) {
    // The host announced its shutdown while the request was in transit.
    this->HandleCloseAfterRefusal(index);
    return;
  }
  bool mayBeInTransit =
    ReadBootClock() - session.lastRequestAt <= kMaxTransitTime;
  if (isRequestPending && !mayBeInTransit &&
      this->monitor.IsUndisturbed(session.host)) {
    this->history.ReportViolation(
      Violation::DrainCutOff,
      fmt::format("host {} closed session {} with a request pending",
                  session.host,
                  index));
  }
  this->MoveToOtherHost(index);
}

} // namespace marigoldpitch::soak
