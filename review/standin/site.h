#ifndef MARIGOLDPITCH_REVIEW_SITE_H
#define MARIGOLDPITCH_REVIEW_SITE_H

#include "store.h"

#include <sys/types.h>

/**
 * A small deployment on loopback addresses: the platform's stand-in, three
 * backends, and proxies that run as processes of their own.
 */
namespace marigoldpitch::review {

struct SiteOptions
{
  std::string program = "target/marigoldpitch-proxy";
  std::string directory; // for settings and logs of the proxies
  size_t hosts = 3;
  uint32_t connections = 32; // that a backend accepts
  int64_t timeoutMs = 1000;  // of a statement
  int64_t targetLatencyMs = 400;
  UpstreamOptions upstreams;
};

/** Exit codes of a case. */
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/** Whether the case runs with its disruption: `TROUBLE` is not 0. */
bool
HasTrouble();

class Site
{
public:
  Site(Loop& aLoop, Record& aRecord, SiteOptions aOptions);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  /** Starts everything; false if something cannot be started. */
  bool Start();

  Upstreams& Database() { return *this->upstreams; }
  const Upstreams& Database() const { return *this->upstreams; }
  const Store& Platform() const { return *this->store; }

  /** The callers' port of a proxy, which is named host-1, host-2 and so on. */
  uint16_t CallersPort(size_t aHost) const;
  std::string HostName(size_t aHost) const;
  /** Sends a signal to the proxy's process. */
  void Signal(size_t aHost, int aSignal);
  bool HasEnded(size_t aHost);

private:
  bool FindPorts();
  bool StartHost(size_t aHost);
  std::string Settings(size_t aHost) const;

  Loop& loop;
  Record& record;
  SiteOptions options;
  uint16_t basePort = 0;
  std::unique_ptr<Upstreams> upstreams;
  std::unique_ptr<Store> store;
  std::vector<pid_t> processes;
};

} // namespace marigoldpitch::review

#endif
