#ifndef MARIGOLDPITCH_TRANSPORT_PEER_NETWORK_H
#define MARIGOLDPITCH_TRANSPORT_PEER_NETWORK_H

#include "marigoldpitch/protocol/wire.h"
#include "marigoldpitch/state/config.h"
#include "marigoldpitch/transport/frame-link.h"
#include "marigoldpitch/transport/tcp-listener.h"

#include <map>
#include <memory>
#include <string>

/** Links between the daemons, which are identified by name. */
namespace marigoldpitch {

using LinkId = uint64_t;

class PeerListener
{
public:
  virtual ~PeerListener() = default;

  /** The link is open and the peer's hello frame has arrived. */
  virtual void OnPeerUp(LinkId aLink,
                        const std::string& aPeer,
                        bool aOutbound) = 0;
  virtual void OnPeerFrame(LinkId aLink,
                           const std::string& aPeer,
                           const Frame& aFrame) = 0;

  /** The link is closed; `aLink` is 0 if it could not be opened. */
  virtual void OnPeerDown(LinkId aLink,
                          const std::string& aPeer,
                          bool aOutbound) = 0;

  /** A frame was refused; `aPeer` is empty if its name is not known yet. */
  virtual void OnBadFrame(const std::string& aPeer, const Error& aError) = 0;

  /** Whether a link is closed after a frame that cannot be decoded. */
  virtual bool ClosesOnBadFrame() const { return false; }
};

/**
 * The links of this daemon to its peers. After a link has opened, both sides
 * send a hello frame with their own name; other frames are refused before it.
 */
class PeerNetwork
  : public AcceptHandler
  , public FrameLinkListener
{
public:
  static Result<std::unique_ptr<PeerNetwork>> Create(Loop& aLoop,
                                                     std::string aOwnName,
                                                     const Endpoint& aListen,
                                                     size_t aMaxFrameBytes,
                                                     size_t aMaxLinks,
                                                     PeerListener& aListener);

  /**
   * Opens an outbound link; there is at most one per peer. If it is already up,
   * `OnPeerUp` is called again.
   */
  void Connect(const std::string& aPeer, const Endpoint& aEndpoint);
  bool HasLinkTo(const std::string& aPeer) const;

  /** Closes the outbound link without calling the listener. */
  void Disconnect(const std::string& aPeer);

  /**
   * Sends over the outbound link, or else over a link that the peer opened. The
   * frame is dropped if no link is up.
   */
  void SendTo(const std::string& aPeer, const Frame& aFrame);
  void SendTo(const std::string& aPeer, const std::string& aEncoded);
  void Send(LinkId aLink, const Frame& aFrame);

  /** Closes the link and calls `OnPeerDown`. */
  void CloseLink(LinkId aLink);
  void Broadcast(const Frame& aFrame);

  void OnAccept(h2o_socket_t* aSocket) override;
  void OnLinkUp(FrameLink& aLink) override;
  void OnFrameBytes(FrameLink& aLink, const std::string& aFrame) override;
  void OnLinkDown(FrameLink& aLink, const Error& aReason) override;

private:
  struct Peer
  {
    LinkId id = 0;
    std::shared_ptr<FrameLink> link;
    std::string name; // inbound link: empty until the hello frame arrives
    bool outbound = false;
    bool up = false; // the hello frame has arrived
  };

  PeerNetwork(Loop& aLoop,
              std::string aOwnName,
              size_t aMaxFrameBytes,
              size_t aMaxLinks,
              PeerListener& aListener);

  Peer* Find(const FrameLink& aLink);
  const Peer* FindOutbound(const std::string& aPeer) const;
  void Add(std::shared_ptr<FrameLink> aLink, std::string aName, bool aOutbound);
  void Remove(LinkId aId);
  void OnHello(LinkId aId, const HelloFrame& aHello);

  Loop& loop;
  std::string ownName;
  size_t maxFrameBytes;
  size_t maxLinks;
  PeerListener& listener;
  std::unique_ptr<TcpListener> acceptor;
  std::map<LinkId, Peer> peers;
  std::map<const FrameLink*, LinkId> idByLink;
  LinkId lastId = 0;
};

} // namespace marigoldpitch

#endif
