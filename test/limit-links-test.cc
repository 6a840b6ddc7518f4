#include "marigoldpitch/protocol/wire.h"
#include "marigoldpitch/transport/limit-links.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <unistd.h>

// The datagrams about customers' limits: valid, damaged, and from strangers.

using namespace marigoldpitch;

namespace {

constexpr uint16_t kFirstPort = 18851;

/** At an address of this process's own, so that tests may run side by side. */
Endpoint
EndpointAt(uint16_t aOffset)
{
  constexpr int kValuesPerByte = 256;
  int id = getpid();
  std::string address = "127.1." +
                        std::to_string(id / kValuesPerByte % kValuesPerByte) +
                        "." + std::to_string(id % kValuesPerByte);
  return { address, static_cast<uint16_t>(kFirstPort + aOffset) };
}

LimitRequest
RandomRequest()
{
  auto name = [] { return *rc::gen::string<std::string>(); };
  LimitRequest request;
  request.number = *rc::gen::arbitrary<uint64_t>();
  request.wishes.push_back({ name(),
                             *rc::gen::arbitrary<uint32_t>(),
                             *rc::gen::arbitrary<uint32_t>() });
  request.charges.push_back({ name(),
                              *rc::gen::arbitrary<uint32_t>(),
                              Millis(*rc::gen::inRange(0, 5000)) });
  return request;
}

} // namespace

Test(limit_links, frames_arrive_as_they_were_sent)
{
  cr_assert(rc::check([] {
    LimitRequest request = RandomRequest();
    auto frame = DecodeFrame(EncodeFrame(LimitRequestFrame{ request }));
    RC_ASSERT(frame.has_value());
    const auto& got = std::get<LimitRequestFrame>(frame.value()).request;
    RC_ASSERT(got.number == request.number);
    RC_ASSERT(got.wishes.at(0).customer == request.wishes[0].customer);
    RC_ASSERT(got.wishes.at(0).needed == request.wishes[0].needed);
    RC_ASSERT(got.wishes.at(0).spare == request.wishes[0].spare);
    RC_ASSERT(got.charges.at(0).customer == request.charges[0].customer);
    RC_ASSERT(got.charges.at(0).operations == request.charges[0].operations);
    RC_ASSERT(got.charges.at(0).age == request.charges[0].age);
  }));
}

Test(limit_links, times_out_of_range_are_refused)
{
  LimitReply reply{ 1, { { "c", true, 0, Millis(-1), Millis(1) } } };
  cr_assert_not(DecodeFrame(EncodeFrame(LimitReplyFrame{ reply })));
  LimitRequest request{ 1, {}, { { "c", 1, Seconds(100000) } } };
  cr_assert_not(DecodeFrame(EncodeFrame(LimitRequestFrame{ request })));
}

Test(limit_links, only_listed_hosts_are_heard)
{
  auto loop = Loop::Create();
  cr_assert(loop);
  Metrics metrics;
  std::vector<ProxyEvent> received;
  auto open = [&](uint16_t aOffset) {
    auto links = LimitLinks::Create(
      *loop.value(),
      EndpointAt(aOffset),
      metrics,
      [&](const ProxyEvent& aEvent) { received.push_back(aEvent); });
    cr_assert(links);
    return std::move(links.value());
  };
  auto one = open(0);
  auto two = open(1);
  auto stranger = open(2);
  one->SetHosts({ { "two", EndpointAt(1) } }, Time{});
  two->SetHosts({ { "one", EndpointAt(0) } }, Time{});
  stranger->SetHosts({ { "two", EndpointAt(1) } }, Time{});
  one->Perform(SendLimitRequest{ "two", { 5, { { "c", 1, 0 } }, {} } });
  one->Perform(SendLimitRequest{ "unknown", { 6, {}, {} } });
  stranger->Perform(SendLimitRequest{ "two", { 7, {}, {} } });
  loop.value()->After(Millis(100), [&] { loop.value()->Stop(); });
  loop.value()->Run();
  cr_assert_eq(received.size(), 1);
  const auto* request = std::get_if<LimitRequestArrived>(&received[0]);
  cr_assert(request != nullptr && request->host == "one");
  cr_assert_eq(request->request.number, 5);
  cr_assert_eq(metrics.Get(Counter::FramesRefused), 1);
  cr_assert_eq(metrics.Get(Counter::LimitMessagesUnsent), 1);
}

Test(limit_links, damaged_datagrams_are_counted)
{
  auto loop = Loop::Create();
  Metrics metrics;
  size_t received = 0;
  auto links = LimitLinks::Create(*loop.value(),
                                  EndpointAt(3),
                                  metrics,
                                  [&](const ProxyEvent&) { ++received; });
  cr_assert(links);
  links.value()->SetHosts({ { "peer", EndpointAt(4) } }, Time{});
  std::string valid =
    EncodeFrame(LimitRequestFrame{ { 9, { { "c", 1, 0 } }, {} } });
  cr_assert(rc::check([&] {
    std::string bytes = valid;
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size()));
    uint64_t before = metrics.Get(Counter::FramesRefused);
    links.value()->OnDatagram(EndpointAt(4), bytes);
    RC_ASSERT(metrics.Get(Counter::FramesRefused) + received >= before + 1);
  }));
  links.value()->OnDatagram(EndpointAt(4),
                            std::string(kMaxDatagramBytes + 1, 'x'));
  links.value()->OnDatagram(EndpointAt(4), EncodeFrame(PingFrame{}));
  cr_assert_geq(metrics.Get(Counter::FramesRefused), 2);
}
