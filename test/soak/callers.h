#ifndef MARIGOLDPITCH_TEST_SOAK_CALLERS_H
#define MARIGOLDPITCH_TEST_SOAK_CALLERS_H

#include "soak/ledger.h"

#include "marigoldpitch/transport/line-link.h"

#include <functional>
#include <memory>
#include <random>
#include <vector>

/** Callers' sessions, each on one connection until it ends. */
namespace marigoldpitch::soak {

struct Tally
{
  uint64_t served = 0;
  uint64_t refused = 0; // with the promise that nothing is kept
  uint64_t unsure = 0;
  uint64_t failed = 0; // connections that ended under a question
};

/** What callers, and the balancer before them, know of the hosts. */
class HostWatch
{
public:
  virtual ~HostWatch() = default;

  /** Whether nothing but a planned shutdown is wrong at the host. */
  virtual bool IsCalm(size_t aHost) const = 0;

  /** Whether the balancer sends new callers there. */
  virtual bool TakesCallers(size_t aHost) const = 0;
};

class Callers : public LineLinkListener
{
public:
  Callers(Loop& aLoop,
          Ledger& aLedger,
          std::vector<Endpoint> aHosts,
          uint32_t aSeed,
          const HostWatch& aWatch);

  void Start(size_t aSessions);

  /** Sessions end after what they have open. */
  void Stop() { this->isStopping = true; }
  size_t Open() const;

  const Tally& Counts() const { return this->tally; }

  /** Writes that the host has served since the last call. */
  uint64_t TakeServed(size_t aHost);

  void OnLinkUp(LineLink& aLink) override;
  void OnLine(LineLink& aLink, std::string_view aLine) override;
  void OnLinkDown(LineLink& aLink, const Error& aReason) override;

private:
  enum class Step
  {
    Connecting,
    Naming, // SET who
    Resting,
    Beginning,
    Running, // a read, a write, the first write of a transaction
    Second,  // its second write
    Ending,  // its end
    RollingBack,
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
    uint64_t incarnation = 0; // of its connection
    Step step = Step::Connecting;
    Kind kind = Kind::Read;
    std::string item; // that it writes
    uint32_t epoch = 0;
    uint64_t number = 0;    // of the write under way; the first of two
    uint64_t ownNewest = 0; // acknowledged on this connection
    std::string readItem;
    uint64_t readAtLeast = 0;
    std::string row;
    std::string done;
    std::string error;
    uint64_t questions = 0;
    std::string requestId;      // of the newest one
    Time asked = kInfinitePast; // the newest one
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
