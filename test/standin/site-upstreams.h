#ifndef MARIGOLDPITCH_TEST_STANDIN_SITE_UPSTREAMS_H
#define MARIGOLDPITCH_TEST_STANDIN_SITE_UPSTREAMS_H

#include "standin/upstream-line.h"

#include "marigoldpitch/coordination/proxy/proxy-session.h"
#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/time.h"
#include "marigoldpitch/transport/line-link.h"
#include "marigoldpitch/transport/tcp-listener.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/** Three upstreams of one service in one process, with a line protocol. */
namespace marigoldpitch::standin {

/** Members of the group, counted from the current primary. */
enum class Member
{
  Primary,
  FirstReplica,
  SecondReplica,
};

constexpr NameTable<Member, 3> kMemberNames{ {
  { Member::Primary, "primary" },
  { Member::FirstReplica, "first-replica" },
  { Member::SecondReplica, "second-replica" },
} };

struct Upstream
{
  std::string id;
  Endpoint endpoint;   // where it listens
  Endpoint advertised; // address in the registry
  bool isPrimary = false;
  uint64_t term = 1;
  uint64_t holdTerm = 0; // term of the HOLD in force; 0 for none
  bool isRunning = true;
  bool isLeaving = false;
  Time leftAt = kInfiniteFuture;     // when the registry first said so
  uint64_t incarnation = 1;          // how often it was started
  bool isReplicationBlocked = false; // does not receive log entries
  bool isUnregistered = false;       // not in the registry, but still serves
  std::vector<std::pair<std::string, std::string>> log; // item and value
  size_t visibleEntries = 0; // number of log entries that reads see
};

/** A statement that arrived after the drain time of its upstream. */
struct LateStatement
{
  std::string host;
  std::string upstream;
  Duration sinceLeft;
};

/** A statement of a caller that an upstream has run. */
struct StatementRun
{
  std::string requestId;
  SessionStatement statement; // of an execution: with what was prepared
  std::map<std::string, std::string> settings;
};

class Upstreams : public LineLinkListener
{
public:
  explicit Upstreams(Loop& aLoop);

  Result<void> Listen(size_t aUpstream,
                      const Endpoint& aEndpoint,
                      const Endpoint& aAdvertised);
  std::array<Upstream, 3>& All() { return this->upstreams; }

  /** The running primary with the highest term; null for none. */
  Upstream* CurrentPrimary();

  /** Index of the upstream that is `aMember` now; empty without a primary. */
  std::optional<size_t> IndexOf(Member aMember);

  /** Promotes an upstream 200 ms later. Returns false if it is not running. */
  bool Promote(const std::string& aId);
  void Kill(size_t aUpstream);

  /** Restarts it with its log, as a replica if there is another primary. */
  void Restart(size_t aUpstream);

  /**
   * The upstream announces that it is leaving. It ends some time after the
   * drain time, and later starts again with its log.
   */
  void Leave(size_t aUpstream);

  /** The registry has said since now that the upstream is leaving. */
  void NoteLeft(Upstream& aUpstream);

  /**
   * Single statements, and first ones of a transaction, that arrived late since
   * the last call.
   */
  std::vector<LateStatement> TakeLateStatements()
  {
    return std::exchange(this->lateStatements, {});
  }

  /** What callers' statements have run since the last call, the oldest first.
   */
  std::deque<StatementRun> TakeRuns() { return std::exchange(this->runs, {}); }
  void SetReplicationBlocked(size_t aUpstream, bool aIsBlocked);
  void SetReplayLag(Duration aLag) { this->replayLag = aLag; }
  void SetExecutionTime(Duration aExecutionTime)
  {
    this->executionTime = aExecutionTime;
  }

  /** Drops every `aCount`-th answer after its statement ran; 0 for none. */
  void SetAnswerLossInterval(uint64_t aCount)
  {
    this->answerLossInterval = aCount;
  }
  uint64_t UnexpectedLines() const { return this->unexpectedLines; }

  void OnLinkUp(LineLink&) override {}
  void OnLine(LineLink& aLink, std::string_view aLine) override;
  void OnLinkDown(LineLink& aLink, const Error& aReason) override;

private:
  struct Port : public AcceptHandler
  {
    Upstreams* parent = nullptr;
    size_t upstream = 0;
    std::unique_ptr<TcpListener> listener;
    void OnAccept(h2o_socket_t* aSocket) override;
  };

  struct Session
  {
    size_t upstream = 0;
    std::shared_ptr<LineLink> link;
    bool hasStarted = false;
    std::string host; // which has opened the connection
    char state = 'I';
    bool hasRun = false; // a statement of the open transaction has run
    std::map<std::string, PreparedStatement> prepared;
    // `who` is part of each signature.
    std::map<std::string, std::string> settings;
    std::vector<std::pair<std::string, std::string>> pendingWrites;
  };

  void RunStatement(uint64_t aSession, const std::string& aLine);
  void CheckDeparture(Session& aSession, const std::string& aRequestId);
  void StartSession(Session& aSession, const std::string& aLine);
  std::string Answer(Session& aSession, const UpstreamLine& aLine);
  std::string AnswerCommand(Upstream& aUpstream,
                            const SessionStatement& aStatement);
  std::string RunCallersStatement(Session& aSession, const UpstreamLine& aLine);
  std::string Read(Session& aSession, const std::string& aItem);
  std::string CommitEntries(
    Session& aSession,
    std::vector<std::pair<std::string, std::string>> aEntries);
  std::string StatusReply(Upstream& aUpstream);
  void CatchUp(Upstream& aReplica);
  void Receive(Upstream& aReplica,
               const std::vector<std::pair<std::string, std::string>>& aLog);
  static std::string DoneWithSignature(const Session& aSession,
                                       const char* aKind);

  Loop& loop;
  std::array<Upstream, 3> upstreams;
  std::array<Port, 3> ports;
  std::map<uint64_t, Session> sessions;
  uint64_t lastSession = 0;
  Duration replayLag = Millis(0);     // until reads see a received entry
  Duration executionTime = Millis(0); // delay before each statement runs
  uint64_t answerLossInterval = 0;
  uint64_t answerCount = 0;
  std::vector<LateStatement> lateStatements;
  std::deque<StatementRun> runs;
  uint64_t unexpectedLines = 0; // received lines that violate the protocol
};

} // namespace marigoldpitch::standin

#endif
