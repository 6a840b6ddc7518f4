#ifndef MARIGOLDPITCH_TEST_FAKES_LIMIT_SIMULATION_H
#define MARIGOLDPITCH_TEST_FAKES_LIMIT_SIMULATION_H

#include "fakes/event-queue.h"

#include "marigoldpitch/coordination/proxy/customer-limits.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/** Hosts that keep customers' limits together, on a fake clock. */
namespace marigoldpitch::fakes {

struct LimitSimulationOptions
{
  uint32_t seed = 1;
  size_t hosts = 7;
  LimitTolerance tolerance;
  std::function<std::unique_ptr<LimitPolicy>()> makePolicy; // unset: the real
  Duration maxDelay = Millis(4);                            // of a datagram
  double lossShare = 0;
  double repeatShare = 0; // datagrams that arrive twice
  double lateShare = 0;   // datagrams that arrive up to 300 ms late
};

struct FakeOperation
{
  std::string customer;
  size_t host = 0;
  Time sent;
  Time answered = kInfiniteFuture;
  std::optional<PermitResult> result;
};

class LimitSimulation
{
public:
  explicit LimitSimulation(const LimitSimulationOptions& aOptions);

  void RunFor(Duration aSpan);
  Time Now() const { return this->queue.Now(); }
  size_t Hosts() const { return this->hosts.size(); }
  const std::vector<FakeOperation>& Operations() const
  {
    return this->operations;
  }

  /** Gives the configuration to all hosts, each within `aSpread`. */
  void SetCustomer(const Customer& aCustomer, Duration aSpread = Millis(0));

  /** A caller at the host runs one operation. */
  void Submit(size_t aHost, const std::string& aCustomer);

  /** Runs so many operations a second, spread over the hosts given. */
  void Use(const std::string& aCustomer,
           double aPerSecond,
           const std::vector<size_t>& aHosts,
           Duration aSpan);

  /** The process is lost; a listed host may be started again. */
  void Kill(size_t aHost);
  void Start(size_t aHost);
  void Pause(size_t aHost);
  void Resume(size_t aHost);

  /** Adds a host, of which each other one learns within `aSpread`. */
  size_t AddHost(Duration aSpread);

  /** Only hosts of the same side exchange datagrams; all begin at side 0. */
  void SetSide(size_t aHost, int aSide);
  void CutLink(size_t aFrom, size_t aTo);
  void HealLinks() { this->cutLinks.clear(); }

  /** The host that counts for the customer while all are there. */
  size_t CounterOf(const std::string& aCustomer);
  std::vector<size_t> AllHosts() const;
  uint64_t Datagrams() const { return this->datagrams; }

  /** The most operations in any span of the window that begins from then on. */
  size_t MostInWindow(const std::string& aCustomer,
                      Time aFrom = kInfinitePast) const;
  size_t Count(const std::string& aCustomer,
               PermitResult aResult,
               Time aFrom = kInfinitePast) const;
  size_t Sent(const std::string& aCustomer, Time aFrom = kInfinitePast) const;

private:
  struct FakeHost
  {
    std::unique_ptr<CustomerLimits> limits; // null: it is down
    std::vector<std::string> known;
    std::map<std::string, Customer> customers;
    bool isPaused = false;
    std::vector<std::function<void()>> held; // while it is paused
    int side = 0;
    uint64_t process = 0;
  };

  static std::string NameOf(size_t aHost)
  {
    return "h" + std::to_string(aHost);
  }
  static size_t IndexOf(const std::string& aName)
  {
    return std::stoul(aName.substr(1));
  }
  std::vector<std::string> ListedHosts() const;
  void After(size_t aHost, Duration aSpan, std::function<void()> aCall);
  void Tick();
  void Perform(size_t aHost);
  template<typename Message>
  void Deliver(size_t aFrom, const std::string& aTo, const Message& aMessage);
  bool Happens(double aShare);

  LimitSimulationOptions options;
  std::mt19937 random;
  EventQueue queue;
  std::vector<FakeHost> hosts;
  std::set<std::pair<size_t, size_t>> cutLinks;
  std::vector<FakeOperation> operations;
  uint64_t datagrams = 0;
  uint64_t lastProcess = 0;
};

} // namespace marigoldpitch::fakes

#endif
