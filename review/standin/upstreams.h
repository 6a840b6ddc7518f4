#ifndef MARIGOLDPITCH_REVIEW_UPSTREAMS_H
#define MARIGOLDPITCH_REVIEW_UPSTREAMS_H

#include "record.h"

#include "marigoldpitch/transport/line-link.h"
#include "marigoldpitch/transport/tcp-listener.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/**
 * Stand-in for one database service of three backends, each with its own port
 * and its own copy of the log. Replication takes one network hop each way.
 */
namespace marigoldpitch::review {

struct LogEntry
{
  uint64_t term = 0;
  std::string request; // id of the write or of the COMMIT
  std::string item;
  std::string value;
};

struct UpstreamOptions
{
  std::string service = "svc";
  uint16_t firstPort = 0;
  Duration workTime = Millis(5);      // of a read, write or commit
  size_t slots = 8;                   // how many of them run at a time
  Duration hop = Millis(1);           // one way, between two backends
  Duration promoteTime = Millis(600); // from the call until it takes effect
  size_t rowBytes = 16;               // size of each row of a read
  size_t rows = 1;                    // number of rows of a read
};

/** One backend. */
struct Upstream
{
  std::string id;
  std::string zone;
  uint16_t port = 0;
  bool isRunning = false;
  bool isPrimary = false;
  uint64_t term = 1;
  uint64_t held = 0; // receives nothing of lower terms; 0: not held
  uint64_t born = 0; // milliseconds since the epoch
  std::vector<LogEntry> log;
  std::optional<Time> demoteAt; // set once it reached a newer primary
  std::set<std::string> cutHosts;
  size_t running = 0; // statements that have a slot
  std::deque<std::function<void()>> waiting;
};

class Upstreams : public LineLinkListener
{
public:
  static constexpr size_t kCount = 3;

  Upstreams(Loop& aLoop, Record& aRecord, const UpstreamOptions& aOptions);

  /** Starts all backends; the first one is the primary. */
  bool Start();

  const Upstream& At(size_t aIndex) const { return this->upstreams[aIndex]; }
  size_t CurrentPrimary() const;

  /** Called when what a backend registers of itself has changed. */
  void SetChangeListener(std::function<void()> aListener)
  {
    this->onChange = std::move(aListener);
  }

  /** Called when a backend is held that was not; takes its index. */
  void SetHoldListener(std::function<void(size_t)> aListener)
  {
    this->onHold = std::move(aListener);
  }

  /** `POST /promote`; false if the backend is not running. */
  bool Promote(const std::string& aId);

  /** The process of a backend ends: its connections are closed. */
  void Kill(size_t aIndex);
  /** It starts again under the same id, with its log, and is not held. */
  void Restart(size_t aIndex);

  /** Between this host and the backend nothing gets through any more. */
  void Cut(size_t aIndex, const std::string& aHost);
  void Heal(size_t aIndex);

  /**
   * The log of each backend that was promoted, at the time when the promotion
   * took effect.
   */
  const std::vector<std::vector<LogEntry>>& PromotedLogs() const
  {
    return this->promotedLogs;
  }

  /** Whether a backend has begun to run the caller's request. */
  bool HasReached(const std::string& aRequest) const
  {
    return this->reached.count(aRequest) != 0;
  }

  void OnLinkUp(LineLink&) override {}
  void OnLine(LineLink& aLink, std::string_view aLine) override;
  void OnLinkDown(LineLink& aLink, const Error& aReason) override;

private:
  struct Port : public AcceptHandler
  {
    Upstreams* parent = nullptr;
    size_t index = 0;
    std::unique_ptr<TcpListener> listener;
    void OnAccept(h2o_socket_t* aSocket) override;
  };

  struct Session
  {
    size_t upstream = 0;
    std::shared_ptr<LineLink> link;
    std::string host;
    bool hasStarted = false;
    bool isCut = false;
    char state = 'I';
    std::map<std::string, std::string> prepared; // name to READ or WRITE
    std::vector<LogEntry> uncommitted;
  };

  /** A commit that waits until a replica has received it. */
  struct WaitingCommit
  {
    uint64_t session = 0;
    size_t upstream = 0;
    uint64_t term = 0;
    size_t logSize = 0;
    std::string request;
  };

  using Words = std::vector<std::string>;

  void HandleStart(uint64_t aSession, const Words& aWords);
  void HandleQuery(uint64_t aSession, Words aWords);
  void TakeSlot(size_t aIndex, std::function<void()> aWork);
  void FreeSlot(size_t aIndex);
  void Run(uint64_t aSession, const std::string& aRequest, const Words& aWords);
  void RunWrite(uint64_t aSession,
                const std::string& aRequest,
                const std::string& aItem,
                const std::string& aValue);
  void Commit(uint64_t aSession,
              const std::string& aRequest,
              std::vector<LogEntry> aEntries);
  void Command(uint64_t aSession, const Words& aWords);
  std::string Rows(const Upstream& aUpstream, const std::string& aItem) const;
  static std::string Position(const Upstream& aUpstream);
  void Reply(uint64_t aSession, const std::string& aLines);
  void Fail(uint64_t aSession, const std::string& aCode);
  void ReplicateOften();
  void Replicate(size_t aPrimary);
  void Receive(size_t aReplica, size_t aPrimary, uint64_t aTerm, size_t aSize);
  void Confirm(size_t aPrimary, uint64_t aTerm, size_t aSize);
  void TakeLead(size_t aIndex);
  void Changed() const;

  Loop& loop;
  Record& record;
  UpstreamOptions options;
  std::vector<Upstream> upstreams;
  std::vector<Port> ports;
  std::map<uint64_t, Session> sessions;
  std::vector<WaitingCommit> waitingCommits;
  std::vector<std::vector<LogEntry>> promotedLogs;
  std::set<std::string> reached;
  std::function<void()> onChange;
  std::function<void(size_t)> onHold;
  uint64_t lastSession = 0;
};

} // namespace marigoldpitch::review

#endif
