#ifndef MARIGOLDPITCH_TRANSPORT_ENTRY_DAEMON_H
#define MARIGOLDPITCH_TRANSPORT_ENTRY_DAEMON_H

#include "marigoldpitch/coordination/owner/entry-engine.h"
#include "marigoldpitch/transport/daemon-core.h"

#include <unordered_map>

/**
 * The entry daemon: accepts callers over HTTP and forwards each request to the
 * owner daemon that manages its group of upstreams.
 */
namespace marigoldpitch {

/** Performs the actions that `EntryEngine` decides on. */
class EntryDaemon : public DaemonCore
{
public:
  EntryDaemon(Loop& aLoop, Settings aSettings);

protected:
  Result<void> OnStart() override;
  void OnConfiguration(const Config& aConfig) override;
  void OnHosts(const HostList& aHosts) override;
  void OnLinkUp(LinkId aLink,
                const std::string& aPeer,
                bool aOutbound) override;
  void OnLinkFrame(LinkId aLink,
                   const std::string& aPeer,
                   const Frame& aFrame) override;
  void OnLinkDown(LinkId aLink,
                  const std::string& aPeer,
                  bool aOutbound) override;
  void FillStatus(v1::StatusResponse& aStatus) const override;
  void OnDrain() override;
  void OnLastAnswers() override;
  size_t Unfinished() const override;
  bool IsReady() const override;

private:
  /** Handles the callers' port; `DaemonCore` handles the operators' port. */
  class CallerService : public HttpService
  {
  public:
    explicit CallerService(EntryDaemon& aDaemon)
      : daemon(aDaemon)
    {
    }
    void OnHttpRequest(ExchangeId aExchange,
                       const HttpRequest& aRequest) override
    {
      this->daemon.OnCallerRequest(aExchange, aRequest);
    }
    void OnHttpAborted(ExchangeId aExchange) override
    {
      this->daemon.HandleEvent(CallerCancelled{ aExchange });
      this->daemon.pendingCalls.erase(aExchange);
    }

  private:
    EntryDaemon& daemon;
  };

  /** A caller's request that has no response yet. */
  struct PendingCall
  {
    BodyFormat format = BodyFormat::Json;
    std::string requestId;
    bool isWrite = false;
  };

  void OnCallerRequest(ExchangeId aExchange, const HttpRequest& aRequest);
  void OpenSession(ExchangeId aExchange, BodyFormat aFormat);
  void Reply(ExchangeId aExchange, const RpcReply& aReply);
  void HandleEvent(const EntryEvent& aEvent);
  void Perform(const ForwardRequest& aAction);
  void Perform(const ForwardCancel& aAction);
  void Perform(const ConnectOwner& aAction);
  void Perform(const DisconnectOwner& aAction);
  void Perform(const PingOwner& aAction);
  void Perform(const AnswerCaller& aAction);
  void Perform(const AddEntryLogLine& aAction);
  void Tick();

  EntryEngine engine;
  CallerService callerService;
  std::unique_ptr<HttpServer> callers;
  std::unordered_map<ExchangeId, PendingCall> pendingCalls;
};

} // namespace marigoldpitch

#endif
