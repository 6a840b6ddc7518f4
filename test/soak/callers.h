#ifndef MARIGOLDPITCH_TEST_SOAK_CALLERS_H
#define MARIGOLDPITCH_TEST_SOAK_CALLERS_H

#include "soak/statement-texts.h"

#include "marigoldpitch/coordination/proxy/statement.h"
#include "marigoldpitch/transport/line-link.h"

#include <functional>
#include <memory>
#include <random>
#include <vector>

/** Simulated callers: sessions that each use one connection at a time. */
namespace marigoldpitch::soak {

struct CallerStats
{
  uint64_t served = 0;
  uint64_t refused = 0;         // operations that ended without effect
  uint64_t unsure = 0;          // writes that may or may not be applied
  uint64_t connectionsLost = 0; // connections lost while a request was pending
};

/** The state of the hosts, as the load balancer before them sees it. */
class HostMonitor
{
public:
  virtual ~HostMonitor() = default;

  /** Whether no fault affects the host; maintenance events do not count. */
  virtual bool IsUndisturbed(size_t aHost) const = 0;

  /** Whether the load balancer sends new connections to the host. */
  virtual bool AcceptsCallers(size_t aHost) const = 0;
};

/** Runs random reads, writes and transactions, and checks the answers. */
class Callers : public LineLinkListener
{
public:
  Callers(Loop& aLoop,
          WriteHistory& aHistory,
          SentStatements& aSent,
          std::vector<Endpoint> aHosts,
          uint32_t aSeed,
          const HostMonitor& aMonitor);

  void Start(size_t aSessions);

  /** Each session ends after its current operation. */
  void Stop() { this->isStopping = true; }
  size_t OpenSessions() const;

  const CallerStats& Counts() const { return this->stats; }

  /** The number of writes that the host acknowledged since the last call. */
  uint64_t TakeServedWrites(size_t aHost);

  void OnLinkUp(LineLink& aLink) override;
  void OnLine(LineLink& aLink, std::string_view aLine) override;
  void OnLinkDown(LineLink& aLink, const Error& aReason) override;

private:
  enum class Step
  {
    Connecting,
    SettingName,       // SET who
    SettingUp,         // another SET, PREPARE or FORGET before an operation
    Idle,              // between two operations
    Beginning,         // BEGIN
    Running,           // a read, a write, or the first write of a transaction
    SecondWrite,       // the second write of a transaction
    EndingTransaction, // COMMIT or ROLLBACK
    RollingBack,       // ROLLBACK after a statement failed
  };

  enum class Kind
  {
    Read,
    Write,
    Transaction,
    RolledBack, // a transaction that the caller rolls back
  };

  /** A SET, PREPARE or FORGET. */
  struct SetupStatement
  {
    StatementKind kind = StatementKind::SetValue;
    std::string name;
    std::string value; // of a setting, or the shape
  };

  struct Session
  {
    size_t host = 0;
    DatabaseRoute route;
    std::shared_ptr<LineLink> link;
    uint64_t incarnation = 0; // number of the connection
    Step step = Step::Connecting;
    Kind kind = Kind::Read;
    std::string item;    // the item that this session writes
    uint32_t epoch = 0;  // number in the name of `item`
    uint64_t number = 0; // of the current write; of the first of a transaction
    uint64_t newestOwnWrite = 0; // newest write acknowledged on this connection
    std::string readItem;
    uint64_t minReadNumber = 0;
    std::string row;
    std::string done;
    std::string error;
    uint64_t requestCount = 0;
    std::string requestId; // of the last request
    // Acknowledged on this connection, by name.
    std::map<std::string, std::string> settings;
    std::map<std::string, std::string> prepared; // READ or WRITE and the text
    SetupStatement setup;                        // of `Step::SettingUp`
    Time lastRequestAt = kInfinitePast; // when the last request was sent
  };

  void Connect(size_t aSession);
  void CallAfter(size_t aSession,
                 Duration aPause,
                 void (Callers::*aCall)(size_t));
  void StartOperation(size_t aSession);
  void SendSetup(size_t aSession);
  static void ApplySetup(Session& aSession);
  void RunOperation(size_t aSession);
  void SendRead(size_t aSession);
  void SendWrite(size_t aSession, Step aStep, uint64_t aNumber);
  void SendStatement(size_t aSession,
                     Step aStep,
                     const std::string& aVerb,
                     const std::string& aFields);
  void SendQuery(size_t aSession, Step aStep, const std::string& aText);
  void StartReplyTimeout(size_t aSession);
  void HandleReply(size_t aSession);
  void Refused(size_t aSession);
  void CheckRefusal(const Session& aSession, const std::string& aError);
  void Acknowledge(Session& aSession);
  void RecordOutcome(Session& aSession, WriteOutcome aOutcome);
  void HandleCloseAfterRefusal(size_t aSession);
  void MoveToOtherHost(size_t aSession);
  void CheckRead(Session& aSession);
  bool IsWriting(const Session& aSession) const;

  Loop& loop;
  WriteHistory& history;
  std::vector<Endpoint> hosts;
  SentStatements& sent;
  std::mt19937 random;
  OddTexts texts;
  const HostMonitor& monitor;
  std::vector<Session> sessions;
  std::vector<uint64_t> served; // by host
  CallerStats stats;
  bool isStopping = false;
};

} // namespace marigoldpitch::soak

#endif
