#ifndef MARIGOLDPITCH_TRANSPORT_SPREAD_LINKS_H
#define MARIGOLDPITCH_TRANSPORT_SPREAD_LINKS_H

#include "marigoldpitch/coordination/spread.h"
#include "marigoldpitch/transport/peer-network.h"

#include <map>
#include <string>
#include <vector>

/** Carries out what `Spread` decides, over links to peers. */
namespace marigoldpitch {

/** What a daemon adds: its store, its documents, where peers are. */
class SpreadClient
{
public:
  virtual ~SpreadClient() = default;

  /** Null for a peer that is not known. */
  virtual const Endpoint* EndpointOf(const std::string& aPeer) const = 0;

  /** Peers to ask before a host list is known. */
  virtual std::vector<std::string> FirstPeers() const = 0;

  /** Ends with one `StoreAnswered`. */
  virtual void AskStore(const WatchStore& aAction) = 0;
  virtual bool IsValid(const Document& aDocument) = 0;

  /** The document is in force from now on; it was found valid. */
  virtual void TakeDocument(const Document& aDocument) = 0;
  virtual bool IsDraining() const = 0;
};

class SpreadLinks
{
public:
  /** `aSilentLimit`: a neighbour that says nothing for longer is connected to
   * anew. `kForever` where somebody else watches the links. */
  static constexpr Duration kForever{ kNever.ms };

  SpreadLinks(Loop& aLoop,
              SpreadOptions aOptions,
              Duration aSilentLimit,
              SpreadClient& aClient);

  void Start(PeerNetwork& aNetwork);
  void Step(const SpreadEvent& aEvent);

  /** What the store answered, before its `StoreAnswered`. */
  void TakeFromStore(const Document& aDocument);

  /** Takes the host list that is in force. */
  void SetHosts(const HostList& aHosts);

  /** Tells all peers at once whether this daemon drains. */
  void Announce();

  // What the daemon's network tells it.
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
  void Perform(const PutInForce& aAction);

  Loop& loop;
  SpreadClient& client;
  Duration silentLimit;
  PeerNetwork* network = nullptr;
  Spread spread;
  std::map<std::string, Time> heard; // of neighbours that we connected to

  struct Encoded
  {
    uint64_t revision = 0;
    std::string frame;
  };
  std::map<DocumentKind, Encoded> encoded; // packed once for all peers
};

} // namespace marigoldpitch

#endif
