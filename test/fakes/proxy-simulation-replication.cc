#include "fakes/proxy-simulation.h"

#include <algorithm>

// The replication of `ProxySimulation` between upstreams, some of which may not
// reach each other.

namespace marigoldpitch::fakes {

/**
 * Appends to the log and replicates. Returns false if no replica received the
 * entries, so that the commit is not acknowledged.
 */
bool
ProxySimulation::Append(FakeUpstream& aPrimary,
                        const std::vector<LogEntry>& aEntries)
{
  aPrimary.log.insert(aPrimary.log.end(), aEntries.begin(), aEntries.end());
  bool isConfirmed = false;
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    FakeUpstream& replica = this->upstreams[i];
    bool follows = replica.role == Role::Replica && replica.isAlive &&
                   !replica.isReplicationBlocked &&
                   this->AreConnected(i, this->IndexOf(aPrimary)) &&
                   replica.held <= aPrimary.term &&
                   replica.term <= aPrimary.term;
    if (!follows) {
      continue;
    }
    replica.log = aPrimary.log;
    replica.term = aPrimary.term;
    isConfirmed = true;
    size_t end = replica.log.size();
    this->queue.After(replica.lag, [this, i, end] {
      FakeUpstream& late = this->upstreams[i];
      late.applied = std::max(late.applied, std::min(end, late.log.size()));
    });
  }
  return isConfirmed;
}

bool
ProxySimulation::AreConnected(size_t aOne, size_t aOther) const
{
  return this->severedUpstreams.count(std::minmax(aOne, aOther)) == 0;
}

void
ProxySimulation::EndSevering()
{
  this->severedUpstreams.clear();
  for (FakeUpstream& upstream : this->upstreams) {
    this->Follow(upstream);
  }
  this->StepDownLater();
}

/** The primary of the highest term among those that the upstream reaches. */
size_t
ProxySimulation::LeaderOf(size_t aUpstream) const
{
  size_t leader = this->PrimaryIndex();
  if (this->AreConnected(aUpstream, leader)) {
    return leader;
  }
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    const FakeUpstream& other = this->upstreams[i];
    bool isReached =
      other.role == Role::Primary && this->AreConnected(aUpstream, i);
    bool isBetter = !this->AreConnected(aUpstream, leader) ||
                    other.term > this->upstreams[leader].term;
    leader = isReached && isBetter ? i : leader;
  }
  return leader;
}

/** Copies the primary's term and log, if the replica may follow it. */
void
ProxySimulation::Follow(FakeUpstream& aReplica)
{
  size_t leaderIndex = this->LeaderOf(this->IndexOf(aReplica));
  const FakeUpstream& leader = this->upstreams[leaderIndex];
  bool follows = leader.role == Role::Primary && leader.isAlive &&
                 aReplica.role == Role::Replica && aReplica.isAlive &&
                 !aReplica.isReplicationBlocked &&
                 this->AreConnected(this->IndexOf(aReplica), leaderIndex) &&
                 aReplica.held <= leader.term && aReplica.term <= leader.term;
  if (follows) {
    aReplica.term = leader.term;
    aReplica.log = leader.log;
    aReplica.applied = leader.log.size();
    this->ConfirmCommits(leaderIndex, aReplica);
  }
}

/** Makes a replaced primary a replica of its successor, if it reaches it. */
void
ProxySimulation::StepDown(FakeUpstream& aPrimary)
{
  size_t leaderIndex = this->PrimaryIndex();
  const FakeUpstream& leader = this->upstreams[leaderIndex];
  bool mayFollow = leader.isAlive && aPrimary.isAlive &&
                   this->AreConnected(this->IndexOf(aPrimary), leaderIndex) &&
                   !aPrimary.isReplicationBlocked &&
                   aPrimary.role == Role::Primary;
  if (mayFollow && leader.term > aPrimary.term) {
    aPrimary.role = Role::Replica;
    this->Follow(aPrimary);
  }
}

/** Schedules `StepDown` for each replaced primary. */
void
ProxySimulation::StepDownLater()
{
  if (!this->options.stepsDownAfter) {
    return;
  }
  for (size_t i = 0; i < this->upstreams.size(); ++i) {
    if (this->upstreams[i].role == Role::Primary && this->PrimaryIndex() != i) {
      this->queue.After(*this->options.stepsDownAfter,
                        [this, i] { this->StepDown(this->upstreams[i]); });
    }
  }
}

void
ProxySimulation::SetReplicationBlocked(size_t aUpstream, bool aIsBlocked)
{
  this->upstreams[aUpstream].isReplicationBlocked = aIsBlocked;
  this->Follow(this->upstreams[aUpstream]);
  this->StepDownLater();
}

/** The replica has received the log of the primary, and confirms it. */
void
ProxySimulation::ConfirmCommits(size_t aPrimary, const FakeUpstream& aReplica)
{
  auto isConfirmed = [&](const UnconfirmedCommit& aCommit) {
    return aCommit.upstream == aPrimary &&
           aCommit.logSize <= aReplica.log.size();
  };
  for (const UnconfirmedCommit& commit : this->unconfirmedCommits) {
    // A new process numbers its connections anew.
    auto link = this->links.find(commit.link);
    bool isOpen =
      link != this->links.end() && link->second.serial == commit.serial;
    if (isOpen && isConfirmed(commit)) {
      this->SendReply(commit.link,
                      LinkAnswered{ commit.link.second, commit.reply });
    }
  }
  this->unconfirmedCommits.erase(
    std::remove_if(this->unconfirmedCommits.begin(),
                   this->unconfirmedCommits.end(),
                   isConfirmed),
    this->unconfirmedCommits.end());
}

} // namespace marigoldpitch::fakes
