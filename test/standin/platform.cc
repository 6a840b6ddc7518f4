#include "marigoldpitch/transport/clock.h"
#include "marigoldpitch/transport/command-line.h"
#include "marigoldpitch/transport/http-server.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <map>
#include <vector>

// A stand-in for the platform's key-value service that the entry and owner
// programs use, with compare-and-swap, leases and watches. /control sets
// faults: `outage` refuses all calls, `delay_ms` delays them, `lose_answers`
// drops the replies to that many swaps. /count returns the number of calls. The
// host list is the key `hosts`.

namespace marigoldpitch::standin {

using nlohmann::json;

class Platform : public HttpService
{
public:
  explicit Platform(Loop& aLoop)
    : loop(aLoop)
  {
  }

  void Attach(HttpServer& aServer) { this->server = &aServer; }

  void OnHttpRequest(ExchangeId aExchange, const HttpRequest& aRequest) override
  {
    json body = json::parse(aRequest.body, nullptr, false);
    if (aRequest.path == "/control") {
      this->faults.merge_patch(body);
      this->Answer(aExchange, 200, this->faults);
      return;
    }
    if (aRequest.path == "/count") {
      this->Answer(aExchange, 200, { { "calls", this->calls } });
      return;
    }
    ++this->calls;
    if (this->faults.value("outage", false)) {
      this->Answer(aExchange, 503, { { "error", "outage" } });
      return;
    }
    if (body.is_discarded()) {
      this->Answer(aExchange, 400, { { "error", "body is not JSON" } });
      return;
    }
    Duration delay = Millis(this->faults.value("delay_ms", 0));
    this->loop.After(delay, [this, aExchange, path = aRequest.path, body] {
      this->Dispatch(aExchange, path, body);
    });
  }

  void OnHttpAborted(ExchangeId aExchange) override
  {
    for (auto& [key, waiting] : this->watches) {
      waiting.erase(aExchange);
    }
  }

private:
  struct Value
  {
    uint64_t revision = 0;
    std::string text;
  };

  struct Lease
  {
    std::string holder;
    Time expiresAt = kInfinitePast;
  };

  void Dispatch(ExchangeId aExchange,
                const std::string& aPath,
                const json& aBody)
  {
    std::string key = aBody.value("key", "");
    if (aPath == "/v1/get") {
      this->AnswerValue(aExchange, 200, key);
    } else if (aPath == "/v1/swap") {
      this->Swap(aExchange, key, aBody);
    } else if (aPath == "/v1/watch") {
      this->Watch(aExchange, key, aBody);
    } else if (aPath == "/v1/lease") {
      this->AcquireLease(aExchange, key, aBody);
    } else {
      this->Answer(aExchange, 404, { { "error", "unknown path" } });
    }
  }

  void Swap(ExchangeId aExchange, const std::string& aKey, const json& aBody)
  {
    Value& value = this->values[aKey];
    if (value.revision != aBody.value("revision", uint64_t(0))) {
      this->AnswerValue(aExchange, 409, aKey);
      return;
    }
    value.revision = ++this->lastRevision;
    value.text = aBody.value("value", "");
    for (const auto& [waiting, after] :
         std::exchange(this->watches[aKey], {})) {
      this->AnswerValue(waiting, 200, aKey);
    }
    int answersToDrop = this->faults.value("lose_answers", 0);
    if (answersToDrop > 0) {
      this->faults["lose_answers"] = answersToDrop - 1;
      return; // the swap took effect, but no reply is sent
    }
    this->AnswerValue(aExchange, 200, aKey);
  }

  void Watch(ExchangeId aExchange, const std::string& aKey, const json& aBody)
  {
    uint64_t after = aBody.value("after", uint64_t(0));
    if (this->values[aKey].revision > after) {
      this->AnswerValue(aExchange, 200, aKey);
      return;
    }
    this->watches[aKey][aExchange] = after;
    Duration wait = Millis(aBody.value("wait_ms", 1000));
    this->loop.After(wait, [this, aExchange, aKey] {
      if (this->watches[aKey].erase(aExchange) != 0) {
        this->AnswerValue(aExchange, 200, aKey);
      }
    });
  }

  void AcquireLease(ExchangeId aExchange,
                    const std::string& aKey,
                    const json& aBody)
  {
    Lease& lease = this->leases[aKey];
    std::string holder = aBody.value("holder", "");
    Time now = ReadMonotonicClock();
    if (lease.holder != holder && lease.expiresAt > now) {
      this->Answer(aExchange, 409, { { "holder", lease.holder } });
      return;
    }
    lease = { holder, now + Millis(aBody.value("for_ms", 1000)) };
    this->Answer(aExchange, 200, { { "holder", holder } });
  }

  void AnswerValue(ExchangeId aExchange, int aStatus, const std::string& aKey)
  {
    const Value& value = this->values[aKey];
    this->Answer(aExchange,
                 aStatus,
                 { { "revision", value.revision }, { "value", value.text } });
  }

  void Answer(ExchangeId aExchange, int aStatus, const json& aBody)
  {
    this->server->Respond(aExchange,
                          { aStatus, "application/json", aBody.dump() });
  }

  Loop& loop;
  HttpServer* server = nullptr;
  json faults = json::object();
  uint64_t calls = 0;
  uint64_t lastRevision = 0;
  std::map<std::string, Value> values;
  std::map<std::string, Lease> leases;
  std::map<std::string, std::map<ExchangeId, uint64_t>> watches;
};

} // namespace marigoldpitch::standin

int
main(int aCount, char** aArguments)
{
  using namespace marigoldpitch;
  auto line = ParseCommandLine(aCount,
                               const_cast<const char**>(aArguments),
                               "",
                               { { "address", "IP", "address to listen on" },
                                 { "port", "PORT", "port to listen on" } });
  if (!line || line.value().isDone) {
    return 2;
  }
  Endpoint own{ line.value().Get("address", "127.0.0.1"),
                static_cast<uint16_t>(std::stoul(line.value().Get("port"))) };
  auto loop = Loop::Create();
  standin::Platform platform(*loop.value());
  auto server = HttpServer::Create(*loop.value(), own, HttpLimits{}, platform);
  if (!server) {
    fmt::print(stderr, "{}\n", server.error().ToString());
    return 1;
  }
  platform.Attach(*server.value());
  loop.value()->Run();
  return 0;
}
