#ifndef MARIGOLDPITCH_TEST_STANDIN_REPLICATION_H
#define MARIGOLDPITCH_TEST_STANDIN_REPLICATION_H

#include "database.h"
#include "marigoldpitch/transport/frame-link.h"
#include "marigoldpitch/transport/tcp-listener.h"

#include <map>
#include <memory>

/** Asynchronous log replication between stand-in upstreams. */
namespace marigoldpitch::standin {

/** The primary accepts replicas on its SQL port plus this offset. */
constexpr uint16_t kReplicationPortOffset = 50;

class Replication
  : public AcceptHandler
  , public FrameLinkListener
{
public:
  static Result<std::unique_ptr<Replication>>
  Create(Loop& aLoop, Database& aDatabase, const Endpoint& aSqlEndpoint);

  /**
   * Replays due entries, carries out a follow request or a change of term,
   * reconnects to the primary, and sends entries and heartbeats to replicas.
   */
  void Update();

  void OnAccept(h2o_socket_t* aSocket) override;
  void OnLinkUp(FrameLink& aLink) override;
  void OnFrameBytes(FrameLink& aLink, const std::string& aFrame) override;
  void OnLinkDown(FrameLink& aLink, const Error& aReason) override;

private:
  struct Follower
  {
    std::shared_ptr<FrameLink> link;
    bool accepted = false;
    Position sent = 0;
  };

  Replication(Loop& aLoop, Database& aDatabase)
    : loop(aLoop)
    , database(aDatabase)
  {
  }

  void Tick();
  void ConnectToPrimary();
  void HandleHello(Follower& aFollower, const std::string& aFrame);
  void HandlePrimaryFrame(const std::string& aFrame);
  void SendEntries();

  Loop& loop;
  Database& database;
  std::unique_ptr<TcpListener> listener;
  std::map<FrameLink*, Follower> followers;
  std::shared_ptr<FrameLink> primary;
  std::optional<Database::FollowTarget> followTarget;
  Time lastHeartbeat = kInfinitePast;
  Time lastConnect = kInfinitePast;
};

} // namespace marigoldpitch::standin

#endif
