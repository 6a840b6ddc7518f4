#include "client.h"
#include "site.h"

#include "marigoldpitch/transport/clock.h"

#include <fmt/format.h>

#include <cstdlib>
#include <cstring>

// A primary is partitioned from one of three proxies, the one that replaces
// primaries, and a replica restarts while it is being replaced. Checks that
// each acknowledged commit is in the log of the backend that is promoted.

namespace marigoldpitch::review {
namespace {

constexpr size_t kClientsPerHost = 4;
constexpr Duration kClientPause = Millis(15);
constexpr Duration kClientsFrom = Seconds(3);
constexpr Duration kCutAt = Seconds(12);
constexpr Duration kCutSpan = Seconds(5);
constexpr Duration kEnd = Seconds(22);
constexpr size_t kFartherReplica = 2;

// The replica's process ends this long after it was held, which is while the
// primary is being replaced, and starts again `kRestartTime` later.
constexpr Duration kEndAfterHold = Millis(100);
constexpr Duration kRestartTime = Millis(100);

class Scenario
{
public:
  Scenario(Loop& aLoop, Record& aRecord, const SiteOptions& aOptions)
    : loop(aLoop)
    , record(aRecord)
    , site(aLoop, aRecord, aOptions)
    , hosts(aOptions.hosts)
  {
  }

  int Run();

private:
  void StartClients();
  void CutPrimary();
  void RestartReplica();
  int Judge();

  Loop& loop;
  Record& record;
  Site site;
  size_t hosts;
  std::vector<std::unique_ptr<Client>> clients;
  bool hasCut = false;
  bool hasRestarted = false;
};

int
Scenario::Run()
{
  if (!this->site.Start()) {
    return kNotRun;
  }
  this->loop.After(kClientsFrom, [this] { this->StartClients(); });
  if (HasTrouble()) {
    this->loop.After(kCutAt, [this] { this->CutPrimary(); });
  }
  this->loop.After(kEnd, [this] { this->loop.Stop(); });
  this->loop.Run();
  return this->Judge();
}

void
Scenario::StartClients()
{
  for (size_t i = 0; i < this->hosts * kClientsPerHost; ++i) {
    ClientOptions options;
    options.name = fmt::format("c{}", i);
    options.port = this->site.CallersPort(i % this->hosts);
    options.pause = kClientPause;
    options.nextText = [i](uint64_t aNumber) {
      return aNumber % 2 == 0 ? fmt::format("READ k{}-{}", i, aNumber - 1)
                              : fmt::format("WRITE k{}-{} v", i, aNumber);
    };
    this->clients.push_back(
      std::make_unique<Client>(this->loop, this->record, options));
    this->clients.back()->Start();
  }
}

void
Scenario::CutPrimary()
{
  Upstreams& database = this->site.Database();
  size_t primary = database.CurrentPrimary();
  const std::string& promoter = this->site.Platform().LastWriter();
  if (promoter.empty() || primary == kFartherReplica) {
    this->record.Add("no proxy has written to the store");
    return;
  }
  this->hasCut = true;
  database.Cut(primary, promoter);
  this->loop.After(kCutSpan,
                   [this, primary] { this->site.Database().Heal(primary); });
  const char* trouble = std::getenv("TROUBLE");
  bool isCutAlone = trouble != nullptr && std::strcmp(trouble, "cut") == 0;
  database.SetHoldListener([this, isCutAlone](size_t aUpstream) {
    if (!isCutAlone && aUpstream == kFartherReplica && !this->hasRestarted) {
      this->hasRestarted = true;
      this->loop.After(kEndAfterHold, [this] { this->RestartReplica(); });
    }
  });
}

void
Scenario::RestartReplica()
{
  this->site.Database().Kill(kFartherReplica);
  this->loop.After(kRestartTime,
                   [this] { this->site.Database().Restart(kFartherReplica); });
}

int
Scenario::Judge()
{
  const auto& promoted = this->site.Database().PromotedLogs();
  const Upstream& primary =
    this->site.Database().At(this->site.Database().CurrentPrimary());
  size_t succeeded = 0;
  size_t lost = 0;
  for (const auto& client : this->clients) {
    for (const ClientRequest& request : client->Requests()) {
      bool isWrite = request.text.rfind("WRITE", 0) == 0;
      if (!isWrite || request.state != RequestState::Succeeded) {
        continue;
      }
      ++succeeded;
      bool isKept = false;
      for (const LogEntry& entry : primary.log) {
        isKept = isKept || entry.request == request.id;
      }
      if (!isKept) {
        ++lost;
        this->record.Add(fmt::format(
          "LOST: request {} was acknowledged ({}) and is not in the log of {}",
          request.id,
          request.answer,
          primary.id));
      }
    }
  }
  std::string summary =
    fmt::format("{} writes acknowledged, {} promotions, {} acknowledged writes "
                "lost",
                succeeded,
                promoted.size(),
                lost);
  this->record.Add(summary);
  fmt::print("{}\n", summary);
  if (succeeded == 0 || (HasTrouble() && !this->hasCut)) {
    return kNotRun;
  }
  return lost == 0 ? kHeld : kBroken;
}

} // namespace
} // namespace marigoldpitch::review

int
main(int aCount, char** aArguments)
{
  using namespace marigoldpitch::review;
  if (aCount != 3) {
    fmt::print(stderr, "usage: review-2 RECORD DIRECTORY\n");
    return kNotRun;
  }
  auto loop = marigoldpitch::Loop::Create();
  Record record(aArguments[1]);
  SiteOptions options;
  options.directory = aArguments[2];
  return Scenario(*loop.value(), record, options).Run();
}
