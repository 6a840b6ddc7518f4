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

/** Spreading the configuration and the host list among the daemons. */
namespace marigoldpitch {

enum class DocumentKind
{
  Configuration,
  Hosts,
};

constexpr NameTable<DocumentKind, 2> kDocumentKindNames{ {
  { DocumentKind::Configuration, "configuration" },
  { DocumentKind::Hosts, "hosts" },
} };

constexpr size_t kDocumentKinds = kDocumentKindNames.Size();

/** A document with the store's revision; its text is not looked into here. */
struct Document
{
  DocumentKind kind = DocumentKind::Configuration;
  uint64_t revision = 0;
  std::string text;
};

/** The revisions a daemon has; also the heartbeat between neighbours. */
struct Digest
{
  std::array<uint64_t, kDocumentKinds> revisions{};
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

struct SpreadOptions
{
  std::string peer; // this daemon: `host/owner` or `host/entry`
  std::string host;
  std::string zone;
  bool mayWatch = true; // entries leave it to owners once they know hosts
};

/**
 * A few watchers per availability zone hear of a change from the store, and
 * each daemon hands it on to its neighbours at once. A daemon only ever moves
 * to a higher revision. Watching costs the store no writes and no leases: the
 * watchers follow from the host list.
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

private:
  void On(const DocumentSeen& aEvent);
  void On(const DigestSeen& aEvent);
  void On(const NeighbourLost& aEvent);
  void On(const StoreAnswered& aEvent);
  void On(const SpreadTick& aEvent);
  void Watch(DocumentKind aKind);
  Digest OwnDigest() const;
  const Document& Own(DocumentKind aKind) const;

  struct StoreState
  {
    bool waiting = false;
    Time notBefore = kLongAgo;
  };

  SpreadOptions options;
  std::array<Document, kDocumentKinds> documents;
  std::array<StoreState, kDocumentKinds> store;
  std::map<std::string, Digest> peers;
  std::vector<std::string> neighbours;
  bool watches = true; // until a host list says who does
  Time lastDigest = kLongAgo;
  Time now;
  SpreadActions actions;
};

} // namespace marigoldpitch

#endif
