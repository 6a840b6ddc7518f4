#ifndef MARIGOLDPITCH_COORDINATION_PROXY_FENCING_ROUND_H
#define MARIGOLDPITCH_COORDINATION_PROXY_FENCING_ROUND_H

#include "marigoldpitch/coordination/proxy/commit-fence.h"
#include "marigoldpitch/coordination/proxy/unsettled-samples.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/** How a promoter fences a term at all hosts. */
namespace marigoldpitch {

/**
 * The hosts that may acknowledge what no recorded replica has: those that are
 * registered, and those that were until lately, whose last acknowledgements may
 * not be known. Others need no fence, see `ServiceView::RightByReplica`.
 */
class HostRoster
{
public:
  /**
   * Sets the names of all registered hosts. `aAreShort`: the registration of
   * one that is lost ends soon.
   */
  void SetRegistered(const std::vector<std::string>& aHosts,
                     bool aAreShort,
                     Time aNow);
  bool AreRegistrationsShort() const { return this->areRegistrationsShort; }

  /** By name: since when a host is not registered; `kInfiniteFuture`: it is. */
  const std::map<std::string, Time>& Hosts() const { return this->hosts; }

private:
  std::map<std::string, Time> hosts;
  bool areRegistrationsShort = true;
};

/** A request for one host; the sender adds the service. */
struct FenceHost
{
  std::string host;
  FenceRequest request;
};

/**
 * A promoter's requests to all hosts, which may get lost, and their replies.
 * Once `IsComplete`, no host acknowledges commits of terms below the fenced one
 * to callers that a recorded replica has not reported, and those that were
 * acknowledged are covered by `HighestAcknowledged`, or were acknowledged by a
 * host that has not replied.
 */
class FencingRound
{
public:
  /** Begins to close the fences below `aTerm`. */
  void Close(Term aTerm, bool aAwaitsOpenCommits, Time aNow);

  /** No promotion was ordered: tells the hosts so, for a while. */
  void Reopen(Time aNow);

  /** The term has begun: tells the hosts so, for a while. */
  void NoteTermBegan(Term aTerm, const HostRoster& aRoster, Time aNow);

  /** Tells all hosts, in a round of its own, that the term has begun. */
  void Announce(Term aTerm, Time aNow);

  /** Sends nothing more, so that the fences expire. */
  void Drop();

  /** When the present command was first sent. */
  Time Since() const { return this->since; }

  /** Whether fences are being closed or are closed. */
  bool IsClosing() const
  {
    return this->isActive && this->request.command == FenceCommand::Close;
  }

  /** The requests that are due. */
  std::vector<FenceHost> Requests(const HostRoster& aRoster, Time aNow);

  void Replied(const std::string& aHost, const FenceReply& aReply);

  /**
   * Whether each host has replied, or is not waited for any longer. One that is
   * not registered acknowledges only what a recorded replica has. One that is
   * registered is waited for; if registrations last long, only until its
   * contact with the store must have expired. Its last commits may have been
   * confirmed by an upstream that the promoter doesn't know, so whoever had
   * confirmed any by then has to be listed: `aListedUntil`.
   */
  bool IsComplete(const HostRoster& aRoster,
                  Time aListedUntil,
                  Time aNow) const;

  size_t Replies() const { return this->replied.size(); }

  /** Whether each host has replied. */
  bool HaveAllReplied(const HostRoster& aRoster) const;

  const LogPoint& HighestAcknowledged() const
  {
    return this->highestAcknowledged;
  }

  /** How many hosts have not replied. */
  size_t Missing(const HostRoster& aRoster) const;

private:
  void End(FenceCommand aCommand, Time aNow);
  void StartRound(Term aTerm, FenceCommand aCommand, Time aNow);

  bool isActive = false;
  FenceRequest request;
  Time since = kInfinitePast; // when the present command was first sent
  std::map<std::string, Time> lastSent;
  std::set<std::string> replied;
  LogPoint highestAcknowledged;
};

} // namespace marigoldpitch

#endif
