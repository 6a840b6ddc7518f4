#ifndef MARIGOLDPITCH_PROTOCOL_SETTINGS_H
#define MARIGOLDPITCH_PROTOCOL_SETTINGS_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/error.h"
#include "marigoldpitch/state/sizes.h"

#include <optional>
#include <string>
#include <vector>

/** A daemon's settings file. */
namespace marigoldpitch {

struct SeedPeer
{
  std::string peer; // `host/owner` or `host/entry`
  Endpoint endpoint;
};

struct Limits
{
  size_t bodyBytes = kMebibyte;
  size_t frameBytes = 4 * kMebibyte;
  size_t connections = 20000;
  size_t requests = 50000; // unfinished requests of one daemon
  size_t sessions = 100000;
  size_t queue = 10000;
  Duration drain = Seconds(20);
};

struct Settings
{
  std::string host;
  std::string zone;
  std::optional<Endpoint> callers; // set for entry daemons only
  Endpoint peers;
  Endpoint operators;
  Endpoint store;
  std::string groupSet = "default";
  std::vector<SeedPeer> seeds;
  Limits limits;
};

enum class DaemonRole
{
  Entry,
  Owner,
};

constexpr NameTable<DaemonRole, 2> kDaemonRoleNames{ {
  { DaemonRole::Entry, "entry" },
  { DaemonRole::Owner, "owner" },
} };

/** A failure is one error that lists every finding in the text. */
Result<Settings>
ParseSettings(const std::string& aText,
              DaemonRole aRole,
              const std::string& aSource);

/** Whether the text is an IP address, as opposed to a host name. */
bool
IsIpAddress(const std::string& aText);

/** Parses an IP address and a port, such as `127.0.0.1:80`. */
Result<Endpoint>
ParseEndpoint(const std::string& aText);

/** `ADDRESS:PORT`. */
std::string
FormatEndpoint(const Endpoint& aEndpoint);

} // namespace marigoldpitch

#endif
