#ifndef MARIGOLDPITCH_TRANSPORT_SPREAD_LINKS_H
#define MARIGOLDPITCH_TRANSPORT_SPREAD_LINKS_H

#include "marigoldpitch/coordination/spread.h"
#include "marigoldpitch/transport/peer-network.h"

#include <map>
#include <string>
#include <vector>

/**
 * Gossips documents of the store, such as the configuration and the host list,
 * over the links to peers.
 */
namespace marigoldpitch {

/** What a daemon provides: access to the store, its documents and endpoints. */
class SpreadClient
{
public:
  virtual ~SpreadClient() = default;

  /** The endpoint of a peer; null if the peer is unknown. */
  virtual const Endpoint* EndpointOf(const std::string& aPeer) const = 0;

  /** Peers to connect to until a host list is known. */
  virtual std::vector<std::string> FirstPeers() const = 0;

  /**
   * Reads or watches the document in the store. Ends with exactly one
   * `StoreAnswered` event.
   */
  virtual void AskStore(const WatchStore& aAction) = 0;
  virtual bool IsValid(const Document& aDocument) = 0;

  /** Puts the document into force; `IsValid` has accepted it before. */
  virtual void TakeDocument(const Document& aDocument) = 0;
  virtual bool IsDraining() const = 0;
};

/** Performs the actions that `Gossip` decides on. */
class SpreadLinks
{
public:
  /** Disables the silence timeout. */
  static constexpr Duration kForever{ kInfiniteFuture.ms };

  /**
   * A neighbour that sends no frame for `aSilentLimit` is disconnected and
   * connected to again. Pass `kForever` if other code checks the links.
   */
  SpreadLinks(Loop& aLoop,
              GossipOptions aOptions,
              Duration aSilentLimit,
              SpreadClient& aClient);

  void Start(PeerNetwork& aNetwork);
  void Step(const GossipEvent& aEvent);

  /** Takes a document from the store; must precede its `StoreAnswered`. */
  void TakeFromStore(const Document& aDocument);

  /** Sets the host list that is in force; it determines the neighbours. */
  void SetHosts(const HostList& aHosts);

  /** Sends all peers a digest, which states whether this daemon is draining. */
  void Announce();

  // Link events, which the daemon passes on.
  void OnPeerUp(const std::string& aPeer, bool aOutbound);
  void OnPeerFrame(const std::string& aPeer, const Frame& aFrame);
  void OnPeerDown(const std::string& aPeer);

  bool IsWatcher() const { return this->spread.IsWatcher(); }
  uint64_t Revision(DocumentKind aKind) const
  {
    return this->spread.Revision(aKind);
  }

private:
  void Tick();
  void KeepNeighbours();
  void DropSilent(const std::vector<std::string>& aWanted);
  DigestFrame OwnDigest() const;
  void Perform(const WatchStore& aAction) { this->client.AskStore(aAction); }
  void Perform(const SendDocument& aAction);
  void Perform(const SendDigest& aAction);
  void Perform(const ActivateDocument& aAction);

  Loop& loop;
  SpreadClient& client;
  Duration silentLimit;
  PeerNetwork* network = nullptr;
  Gossip spread;
  // When a frame of the neighbour last arrived; outbound links only.
  std::map<std::string, Time> heard;

  struct Encoded
  {
    uint64_t revision = 0;
    std::string frame;
  };
  // A document is encoded once and sent to all peers.
  std::map<DocumentKind, Encoded> encoded;
};

} // namespace marigoldpitch

#endif
