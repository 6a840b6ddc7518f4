#ifndef MARIGOLDPITCH_COORDINATION_COMMON_GOSSIP_H
#define MARIGOLDPITCH_COORDINATION_COMMON_GOSSIP_H

#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/store-position.h"
#include "marigoldpitch/state/time.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** Distributes the store's documents among the daemons by gossip. */
namespace marigoldpitch {

enum class DocumentKind
{
  Configuration,
  Hosts,
  Upstreams, // as they registered themselves
  Groups,    // each group's recorded members; read together with the hosts
};

constexpr NameTable<DocumentKind, 4> kDocumentKindNames{ {
  { DocumentKind::Configuration, "configuration" },
  { DocumentKind::Hosts, "hosts" },
  { DocumentKind::Upstreams, "upstreams" },
  { DocumentKind::Groups, "groups" },
} };

constexpr size_t kDocumentKinds = kDocumentKindNames.Size();

/**
 * Which of two documents of a kind is newer. The version that the document's
 * writer gave it comes first: it stays when the store comes back from an old
 * copy, so that what the copy shows does not replace what is newer.
 */
struct DocumentOrder
{
  uint64_t version = 0; // 0: documents of this kind have none of their own
  StorePosition position;

  bool operator<(const DocumentOrder& aOther) const
  {
    return std::tie(this->version, this->position) <
           std::tie(aOther.version, aOther.position);
  }
  bool operator==(const DocumentOrder& aOther) const
  {
    return this->version == aOther.version && this->position == aOther.position;
  }
};

/**
 * A document with its position in the store; the text is not interpreted here.
 * For a kind in `GossipOptions::polled`, which the store keeps as many entries,
 * the daemon that reads them derives one position from the store's.
 */
struct Document
{
  DocumentKind kind = DocumentKind::Configuration;
  StorePosition position;
  std::string text;
  uint64_t version = 0; // of the document itself; 0: it has none

  DocumentOrder Order() const { return { this->version, this->position }; }
};

/** The documents that a daemon has; also the heartbeat between neighbours. */
struct Digest
{
  std::array<DocumentOrder, kDocumentKinds> documents{};

  /** The latest era of the store in which one of the documents was read. */
  uint64_t Era() const;

  /**
   * For each document, how long ago the store was last known to have no newer
   * one, whichever daemon asked it; unset if this is not known.
   */
  std::array<std::optional<Duration>, kDocumentKinds> ages{};
};

// Events.

/** A valid document, from the store or from a peer. */
struct DocumentSeen
{
  Document document;
  std::string peer; // empty when it came from the store
};

/** A digest from a peer. */
struct DigestSeen
{
  std::string peer;
  Digest digest;
};

/** The connection to the neighbour was lost. */
struct NeighbourLost
{
  std::string peer;
};

/** A `WatchStore` has ended; `hasAnswered` says whether the store answered. */
struct WatchStoreEnded
{
  DocumentKind kind = DocumentKind::Configuration;
  bool hasAnswered = false;
};

struct GossipTick
{};

using GossipEvent = std::
  variant<DocumentSeen, DigestSeen, NeighbourLost, WatchStoreEnded, GossipTick>;

// Actions.

/**
 * Asks the store to answer as soon as it has a document beyond `after`. For a
 * kind in `GossipOptions::polled`, reads the documents once instead.
 */
struct WatchStore
{
  DocumentKind kind = DocumentKind::Configuration;
  StorePosition after;
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

/** Applies the document in this daemon. */
struct ActivateDocument
{
  Document document;
  std::string peer; // empty when it came from the store
};

/** The store had no newer document than this daemon's at `asOf`. */
struct ConfirmDocument
{
  DocumentKind kind = DocumentKind::Configuration;
  Time asOf;
};

using GossipAction = std::variant<WatchStore,
                                  SendDocument,
                                  SendDigest,
                                  ActivateDocument,
                                  ConfirmDocument>;

using GossipActions = std::vector<GossipAction>;

/** Which peers a daemon keeps connections to. */
enum class NeighbourSelection
{
  // A few of all peers, chosen by hashing, so that a document reaches every
  // daemon in a few hops.
  HashedPeers,
  ZoneWatchers, // the watchers of this daemon's zone
};

constexpr NameTable<NeighbourSelection, 2> kNeighbourSelectionNames{ {
  { NeighbourSelection::HashedPeers, "random" },
  { NeighbourSelection::ZoneWatchers, "zone-watchers" },
} };

struct GossipOptions
{
  std::string peer; // this daemon's own name as a peer: `host/role`
  std::string host;
  std::string zone;
  // Whether this daemon may be a watcher once hosts are known. Daemons with the
  // role "entry" may not.
  bool mayWatch = true;
  // The roles of the daemons that run on each host.
  std::vector<std::string> roles = { "owner", "entry" };
  std::vector<DocumentKind> kinds = { DocumentKind::Configuration,
                                      DocumentKind::Hosts };
  // Polled as a whole, since the store keeps no single revision for these
  // documents.
  std::vector<DocumentKind> polled;
  Duration pollInterval = Seconds(1);
  NeighbourSelection neighbourSelection = NeighbourSelection::HashedPeers;
  Duration digestInterval = Seconds(1);
  Duration storeRetry = Millis(500);
  // A daemon that is not a watcher asks the store itself when its document has
  // not been confirmed as the newest for this long.
  Duration maxUnconfirmedAge = Seconds(60);
};

/**
 * A few watchers per availability zone watch the store, and each daemon sends a
 * new document to its neighbours at once. A daemon only ever moves to a newer
 * document, by `DocumentOrder`. The watchers are derived from the host list by
 * hashing, so choosing them takes no writes and no leases in the store. Digests
 * carry how long ago the store was asked, so a daemon notices when its watchers
 * are down or cut off.
 */
class Gossip
{
public:
  explicit Gossip(GossipOptions aOptions)
    : options(std::move(aOptions))
  {
  }

  GossipActions Handle(Time aNow, const GossipEvent& aEvent);

  /** Applies the host list, which determines the watchers and neighbours. */
  void SetHosts(const HostList& aHosts);

  /** Peers that this daemon keeps a connection to. */
  const std::vector<std::string>& Neighbours() const
  {
    return this->neighbours;
  }

  bool IsWatcher() const { return this->watches; }
  DocumentOrder Order(DocumentKind aKind) const
  {
    return this->OwnDocument(aKind).Order();
  }

  /** The digest that this daemon sends to its neighbours. */
  Digest OwnDigest(Time aNow) const;

  const GossipOptions& Options() const { return this->options; }

private:
  void On(const DocumentSeen& aEvent);
  void On(const DigestSeen& aEvent);
  void On(const NeighbourLost& aEvent);
  void On(const WatchStoreEnded& aEvent);
  void On(const GossipTick& aEvent);
  void Watch(DocumentKind aKind);
  bool IsPolled(DocumentKind aKind) const;
  void Confirm(DocumentKind aKind, Time aAsOf);
  Time FrameTime() const;
  Duration MaxConfirmationAge(DocumentKind aKind) const;
  const Document& OwnDocument(DocumentKind aKind) const;

  struct StoreState
  {
    bool waiting = false;       // a `WatchStore` is open
    Time asked = kInfinitePast; // when it was begun
    Time notBefore = kInfinitePast;
    Time confirmed = kInfinitePast; // when the store last had nothing newer
  };

  GossipOptions options;
  std::array<Document, kDocumentKinds> documents;
  std::array<StoreState, kDocumentKinds> store;
  std::map<std::string, Digest>
    neighbourDigests; // the connected neighbours' digests
  std::vector<std::string> neighbours;
  bool watches = true; // also as long as no host is known
  size_t rank = 0;     // among the watchers of the zone
  Time lastDigest = kInfinitePast;
  Time lastTick = kInfinitePast;
  // The last tick before the last pause of this process, and until when frames
  // are read that arrived during the pause.
  Time pausedAt = kInfinitePast;
  Time backlogUntil = kInfinitePast;
  Time now;
  GossipActions actions;
};

} // namespace marigoldpitch

#endif
