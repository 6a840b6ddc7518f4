#ifndef MARIGOLDPITCH_TEST_SOAK_CALLERS_H
#define MARIGOLDPITCH_TEST_SOAK_CALLERS_H

#include "soak/ledger.h"

#include "marigoldpitch/transport/line-link.h"

#include <functional>
#include <memory>
#include <random>
#include <vector>

/** Simulated callers: sessions that each use one connection at a time. */
namespace marigoldpitch::soak {

struct Tally
{
  uint64_t served = 0;
  uint64_t refused = 0; // operations that ended without effect
  uint64_t unsure = 0;  // writes that may or may not be applied
  uint64_t failed = 0;  // connections lost while a request was pending
};

/** The state of the hosts, as the load balancer before them sees it. */
class HostWatch
{
public:
  virtual ~HostWatch() = default;

  /** Whether no unplanned fault affects the host. */
  virtual bool IsCalm(size_t aHost) const = 0;

  /** Whether the load balancer sends new connections to the host. */
  virtual bool TakesCallers(size_t aHost) const = 0;
};

/** Runs random reads, writes and transactions, and checks the answers. */
class Callers : public LineLinkListener
{
public:
  Callers(Loop& aLoop,
          Ledger& aLedger,
          std::vector<Endpoint> aHosts,
          uint32_t aSeed,
          const HostWatch& aWatch);

  void Start(size_t aSessions);

  /** Each session ends after its current operation. */
  void Stop() { this->isStopping = true; }
  size_t Open() const;

  const Tally& Counts() const { return this->tally; }

  /** The number of writes that the host acknowledged since the last call. */
  uint64_t TakeServed(size_t aHost);

  void OnLinkUp(LineLink& aLink) override;
  void OnLine(LineLink& aLink, std::string_view aLine) override;
  void OnLinkDown(LineLink& aLink, const Error& aReason) override;

private:
  enum class Step
  {
    Connecting,
    Naming,      // SET who
    Resting,     // between two operations
    Beginning,   // BEGIN
    Running,     // a read, a write, or the first write of a transaction
    Second,      // the second write of a transaction
    Ending,      // COMMIT or ROLLBACK
    RollingBack, // ROLLBACK after a statement failed
  };

  enum class Kind
  {
    Read,
    Write,
    Transaction,
    RolledBack, // a transaction that the caller rolls back
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
    uint64_t ownNewest = 0; // newest write acknowledged on this connection
    std::string readItem;
    uint64_t readAtLeast = 0;
    std::string row;
    std::string done;
    std::string error;
    uint64_t questions = 0;
    std::string requestId;      // of the last request
    Time asked = kInfinitePast; // when the last request was sent
  };

  void Connect(size_t aSession);
  void Later(size_t aSession, Duration aPause, void (Callers::*aCall)(size_t));
  void Begin(size_t aSession);
  void Ask(size_t aSession, Step aStep, const std::string& aText);
  void WatchSilence(size_t aSession);
  void Answered(size_t aSession);
  void Refused(size_t aSession);
  void Acknowledge(Session& aSession);
  void Settle(Session& aSession, Fate aFate);
  void Dismissed(size_t aSession);
  void GiveUp(size_t aSession);
  void CheckRead(Session& aSession);
  bool IsWriting(const Session& aSession) const;

  Loop& loop;
  Ledger& ledger;
  std::vector<Endpoint> hosts;
  std::mt19937 random;
  const HostWatch& watch;
  std::vector<Session> sessions;
  std::vector<uint64_t> served; // by host
  Tally tally;
  bool isStopping = false;
};

} // namespace marigoldpitch::soak

#endif
