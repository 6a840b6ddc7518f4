#ifndef MARIGOLDPITCH_TRANSPORT_GOSSIP_LINKS_H
#define MARIGOLDPITCH_TRANSPORT_GOSSIP_LINKS_H

#include "marigoldpitch/coordination/common/gossip.h"
#include "marigoldpitch/transport/peer-network.h"

#include <map>
#include <string>
#include <vector>

/**
 * Gossips documents of the store, such as the configuration and the host list,
 * over the links to peers. Neighbours are the peers that this daemon connects
 * to: at first the seeds, then those that `Gossip` selects from the host list.
 */
namespace marigoldpitch {

/** What a daemon provides: access to the store, its documents and endpoints. */
class GossipClient
{
public:
  virtual ~GossipClient() = default;

  /** The endpoint of a peer; null if the peer is unknown. */
  virtual const Endpoint* FindEndpoint(const std::string& aPeer) const = 0;

  /** Peers to connect to until a host list is known. */
  virtual std::vector<std::string> SeedPeers() const = 0;

  /**
   * Reads or watches the document in the store. Ends with exactly one
   * `WatchStoreEnded` event.
   */
  virtual void QueryStore(const WatchStore& aAction) = 0;
  virtual bool IsValid(const Document& aDocument) = 0;

  /**
   * Applies the document; `IsValid` has accepted it before. `aPeer` is empty
   * for a document that this daemon read from the store itself.
   */
  virtual void ApplyDocument(const Document& aDocument,
                             const std::string& aPeer) = 0;

  /** The store had no newer document than this daemon's at `aAsOf`. */
  virtual void OnConfirmed(DocumentKind aKind, Time aAsOf) = 0;
  virtual bool IsDraining() const = 0;
};

/** Performs the actions that `Gossip` decides on. */
class GossipLinks
{
public:
  /** Disables the silence timeout and the closing of unwanted links. */
  static constexpr Duration kNoTimeout{ kInfiniteFuture.ms };

  /**
   * A neighbour that sends no frame for `aSilenceTimeout` is disconnected and
   * connected to again. Pass `kNoTimeout` if other code closes links.
   */
  GossipLinks(Loop& aLoop,
              GossipOptions aOptions,
              Duration aSilenceTimeout,
              GossipClient& aClient);

  void Start(PeerNetwork& aNetwork);
  void HandleEvent(const GossipEvent& aEvent);

  /** Handles a document of the store; must precede its `WatchStoreEnded`. */
  void OnStoreDocument(const Document& aDocument);

  /** Applies the host list, which determines the neighbours. */
  void SetHosts(const HostList& aHosts);

  /** Sends all peers a digest, which states whether this daemon is draining. */
  void BroadcastDigest();

  // Link events, which the daemon passes on.
  void OnPeerUp(const std::string& aPeer, bool aOutbound);
  void OnPeerFrame(const std::string& aPeer, const Frame& aFrame);
  void OnPeerDown(const std::string& aPeer);

  bool IsWatcher() const { return this->gossip.IsWatcher(); }
  DocumentOrder Order(DocumentKind aKind) const
  {
    return this->gossip.Order(aKind);
  }

private:
  void Tick();
  void ConnectNeighbours();
  void CloseStaleLinks(const std::vector<std::string>& aWanted);
  DigestFrame OwnDigest() const;
  void Perform(const WatchStore& aAction) { this->client.QueryStore(aAction); }
  void Perform(const SendDocument& aAction);
  void Perform(const SendDigest& aAction);
  void Perform(const ActivateDocument& aAction);
  void Perform(const ConfirmDocument& aAction)
  {
    this->client.OnConfirmed(aAction.kind, aAction.asOf);
  }

  Loop& loop;
  GossipClient& client;
  Duration silenceTimeout;
  PeerNetwork* network = nullptr;
  Gossip gossip;
  // When the link was opened or last brought a frame; outbound links only.
  std::map<std::string, Time> lastHeard;

  struct EncodedDocument
  {
    DocumentOrder order;
    std::string frame;
  };
  // A document is encoded once and sent to all peers.
  std::map<DocumentKind, EncodedDocument> encodedDocuments;
};

} // namespace marigoldpitch

#endif
