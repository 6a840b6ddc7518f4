#ifndef MARIGOLDPITCH_COORDINATION_SPREAD_H
#define MARIGOLDPITCH_COORDINATION_SPREAD_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/time.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** Spreading what the store holds among the daemons. */
namespace marigoldpitch {

enum class DocumentKind
{
  Configuration,
  Hosts,
  Upstreams, // as they registered themselves
  Groups,    // who belongs to which; read along with the hosts
};

constexpr NameTable<DocumentKind, 4> kDocumentKindNames{ {
  { DocumentKind::Configuration, "configuration" },
  { DocumentKind::Hosts, "hosts" },
  { DocumentKind::Upstreams, "upstreams" },
  { DocumentKind::Groups, "groups" },
} };

constexpr size_t kDocumentKinds = kDocumentKindNames.Size();

/** A document with the store's revision; its text is not looked into here. */
struct Document
{
  DocumentKind kind = DocumentKind::Configuration;
  uint64_t revision = 0;
  std::string text;
};

/** What a daemon has; also the heartbeat between neighbours. */
struct Digest
{
  std::array<uint64_t, kDocumentKinds> revisions{};

  /** How long ago the store, asked by whomever, had nothing newer. */
  std::array<std::optional<Duration>, kDocumentKinds> ages{};
};

// Events.

/** A valid document, from the store or from a peer. */
struct DocumentSeen
{
  Document document;
  std::string peer; // empty when it came from the store
};

struct DigestSeen
{
  std::string peer;
  Digest digest;
};

struct NeighbourLost
{
  std::string peer;
};

struct StoreAnswered
{
  DocumentKind kind = DocumentKind::Configuration;
  bool reached = false;
};

struct SpreadTick
{};

using SpreadEvent = std::
  variant<DocumentSeen, DigestSeen, NeighbourLost, StoreAnswered, SpreadTick>;

// Actions.

/** Waits at the store for a revision above `after`. */
struct WatchStore
{
  DocumentKind kind = DocumentKind::Configuration;
  uint64_t after = 0;
};

struct SendDocument
{
  std::string peer;
  Document document;
};

struct SendDigest
{
  std::string peer;
  Digest digest;
};

/** The document is in force in this daemon from now on. */
struct PutInForce
{
  Document document;
};

using SpreadAction =
  std::variant<WatchStore, SendDocument, SendDigest, PutInForce>;

using SpreadActions = std::vector<SpreadAction>;

/** Whom a daemon keeps links to. */
enum class Neighbourhood
{
  Random,       // a few of all; together a graph that is a few hops across
  ZoneWatchers, // those who ask the store for this zone
};

constexpr NameTable<Neighbourhood, 2> kNeighbourhoodNames{ {
  { Neighbourhood::Random, "random" },
  { Neighbourhood::ZoneWatchers, "zone-watchers" },
} };

struct SpreadOptions
{
  std::string peer; // this daemon: `host/role`
  std::string host;
  std::string zone;
  bool mayWatch = true; // entries leave it to owners once they know hosts
  std::vector<std::string> roles = { "owner", "entry" }; // on each host
  std::vector<DocumentKind> kinds = { DocumentKind::Configuration,
                                      DocumentKind::Hosts };
  // Read whole and often: the store has no revision of their own.
  std::vector<DocumentKind> polled;
  Duration pollInterval = Seconds(1);
  Neighbourhood neighbourhood = Neighbourhood::Random;
  Duration digestInterval = Seconds(1);
  Duration storeRetry = Millis(500);
  // A daemon that is no watcher asks the store when nobody has confirmed its
  // document for so long.
  Duration longestUnconfirmed = Seconds(60);
};

/**
 * A few watchers per availability zone hear of a change from the store, and
 * each daemon hands it on to its neighbours at once. A daemon only ever moves
 * to a higher revision. Watching costs the store no writes and no leases: the
 * watchers follow from the host list. Digests say how long ago the store was
 * asked, so a daemon whose watchers are gone or cut off notices.
 */
class Spread
{
public:
  explicit Spread(SpreadOptions aOptions)
    : options(std::move(aOptions))
  {
  }

  SpreadActions Handle(Time aNow, const SpreadEvent& aEvent);

  /** Takes the host list that is in force: it decides who watches. */
  void SetHosts(const HostList& aHosts);

  /** Peers that this daemon keeps a connection to. */
  const std::vector<std::string>& Neighbours() const
  {
    return this->neighbours;
  }

  bool IsWatcher() const { return this->watches; }
  uint64_t Revision(DocumentKind aKind) const
  {
    return this->Own(aKind).revision;
  }

  /** What this daemon has, and how old its word is. */
  Digest OwnDigest(Time aNow) const;

  const SpreadOptions& Options() const { return this->options; }

private:
  void On(const DocumentSeen& aEvent);
  void On(const DigestSeen& aEvent);
  void On(const NeighbourLost& aEvent);
  void On(const StoreAnswered& aEvent);
  void On(const SpreadTick& aEvent);
  void Watch(DocumentKind aKind);
  bool IsPolled(DocumentKind aKind) const;
  Duration PatienceOf(DocumentKind aKind) const;
  const Document& Own(DocumentKind aKind) const;

  struct StoreState
  {
    bool waiting = false;
    Time notBefore = kLongAgo;
    Time confirmed = kLongAgo; // when it had nothing newer
  };

  SpreadOptions options;
  std::array<Document, kDocumentKinds> documents;
  std::array<StoreState, kDocumentKinds> store;
  std::map<std::string, Digest> peers;
  std::vector<std::string> neighbours;
  bool watches = true; // until a host list says who does
  size_t rank = 0;     // among the watchers of the zone
  Time lastDigest = kLongAgo;
  Time now;
  SpreadActions actions;
};

} // namespace marigoldpitch

#endif
