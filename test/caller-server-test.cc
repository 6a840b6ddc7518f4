#include "caller-server.h"

#include "marigoldpitch/coordination/proxy/statement-limits.h"

#include <criterion/criterion.h>

#include <unistd.h>

// The connections of callers, over sockets of this process: what is read from a
// caller, and the end of its connection.

using namespace marigoldpitch;
using namespace marigoldpitch::platform;

namespace {

constexpr uint16_t kPort = 18861;

/** At an address of this process's own, so that tests may run side by side. */
Endpoint
OwnEndpoint()
{
  constexpr int kValuesPerByte = 256;
  int id = getpid();
  std::string address = "127.2." +
                        std::to_string(id / kValuesPerByte % kValuesPerByte) +
                        "." + std::to_string(id % kValuesPerByte);
  return { address, kPort };
}

/** A caller that starts to read when it is told to. */
class FakeCaller : public LineLinkListener
{
public:
  explicit FakeCaller(Loop& aLoop)
    : link(LineLink::Connect(aLoop, OwnEndpoint(), 0, *this).value())
  {
  }
  ~FakeCaller() override { this->link->Close(); }

  void OnLinkUp(LineLink& aLink) override
  {
    aLink.Send("START db key\r\n");
    if (!this->reads) {
      aLink.PauseReading();
    }
  }
  void OnLine(LineLink&, std::string_view aLine) override
  {
    this->bytes += aLine.size();
    this->lines.emplace_back(aLine.substr(0, aLine.find(' ')));
  }
  void OnLinkDown(LineLink&, const Error&) override { this->isDown = true; }

  bool reads = true;
  bool isDown = false;
  size_t bytes = 0;
  std::vector<std::string> lines; // the first word of each
  std::shared_ptr<LineLink> link;
};

/** A server whose events the test handles. */
class ServerPlay
{
public:
  ServerPlay()
  {
    auto created = CallerServer::Create(
      *this->loop,
      OwnEndpoint(),
      this->log,
      this->metrics,
      this->memory,
      10,
      [this](const ProxyEvent& aEvent) { this->Handle(aEvent); });
    cr_assert(created.has_value());
    this->server = std::move(created.value());
  }

  void RunFor(Duration aSpan)
  {
    this->loop->After(aSpan, [this] { this->loop->Stop(); });
    this->loop->Run();
  }

  std::unique_ptr<Loop> loop = std::move(Loop::Create().value());
  JsonLog log{ "test" };
  Metrics metrics;
  MemoryAccount memory{ 0 };
  std::unique_ptr<CallerServer> server;
  std::function<void(const StatementArrived&)> onStatement;
  std::vector<StatementArrived> statements;

private:
  void Handle(const ProxyEvent& aEvent)
  {
    if (const auto* opened = std::get_if<SessionOpened>(&aEvent)) {
      this->server->Perform(ConfirmSession{ opened->caller });
    } else if (const auto* arrived = std::get_if<StatementArrived>(&aEvent)) {
      this->statements.push_back(*arrived);
      if (this->onStatement) {
        this->onStatement(*arrived);
      }
    }
  }
};

} // namespace

Test(caller_server, statements_say_whether_more_was_read_with_them)
{
  ServerPlay play;
  FakeCaller caller(*play.loop);
  play.RunFor(Millis(50));
  caller.link->Send("QUERY a READ i\r\nQUERY b READ i\r\nQUERY c RE");
  play.RunFor(Millis(50));
  caller.link->Send("AD i\r\n");
  play.RunFor(Millis(50));
  cr_assert_eq(play.statements.size(), 3);
  cr_assert(play.statements[0].isFollowed);
  cr_assert_not(play.statements[1].isFollowed);
  cr_assert_not(play.statements[2].isFollowed);
}

Test(caller_server, nothing_is_read_after_reading_was_stopped)
{
  ServerPlay play;
  FakeCaller caller(*play.loop);
  play.onStatement = [&](const StatementArrived& aArrived) {
    play.server->Perform(StopReading{ aArrived.caller });
  };
  play.RunFor(Millis(50));
  caller.link->Send("QUERY a READ i\r\nQUERY b READ i\r\n");
  play.RunFor(Millis(50));
  caller.link->Send("QUERY c READ i\r\n");
  play.RunFor(Millis(300));
  cr_assert_eq(play.statements.size(), 2);
}

Test(caller_server, session_that_ends_reads_nothing_more_and_closes)
{
  ServerPlay play;
  FakeCaller caller(*play.loop);
  play.onStatement = [&](const StatementArrived& aArrived) {
    play.server->Perform(AnswerCaller{ aArrived.caller, {} });
    play.server->Perform(
      EndSession{ aArrived.caller, { FailureCode::Aborted, "it ends" } });
  };
  play.RunFor(Millis(50));
  caller.link->Send("QUERY a READ i\r\n");
  play.RunFor(Millis(20));
  caller.link->Send("QUERY b READ i\r\n");
  cr_assert(play.server->IsClosing());
  play.RunFor(Millis(500));
  cr_assert_not(play.server->IsClosing());
  cr_assert_eq(play.statements.size(), 1);
  std::vector<std::string> expected{ "READY", "DONE", "READY", "ERR" };
  cr_assert(caller.lines == expected);
  cr_assert(caller.isDown);
}

Test(caller_server, caller_that_reads_late_gets_its_whole_answer_at_the_end)
{
  ServerPlay play;
  FakeCaller caller(*play.loop);
  caller.reads = false;
  StatementReply reply;
  reply.rows.assign(6, std::string(kMebibyte / 2, 'r'));
  play.onStatement = [&](const StatementArrived& aArrived) {
    play.server->Perform(AnswerCaller{ aArrived.caller, reply });
    if (!aArrived.isFollowed) {
      play.server->Perform(
        EndSession{ aArrived.caller, { FailureCode::Aborted, "it ends" } });
    }
  };
  play.RunFor(Millis(50));
  caller.link->Send("QUERY a READ i\r\nQUERY b READ i\r\n");
  play.RunFor(Millis(600));
  cr_assert(play.server->IsClosing());
  caller.link->ResumeReading();
  play.RunFor(Millis(600));
  cr_assert_geq(caller.bytes, 6 * kMebibyte);
  cr_assert_eq(caller.lines.back(), "ERR");
  cr_assert_not(play.server->IsClosing());
}
