#include "wire-lines.h"

#include "marigoldpitch/coordination/proxy/proxy-engine.h"
#include "marigoldpitch/coordination/proxy/statement-limits.h"
#include "marigoldpitch/protocol/frame-splitter.h"
#include "marigoldpitch/protocol/line-splitter.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

// Whatever arrives, in whatever pieces and of whatever length, what is kept of
// it is bounded.

using namespace marigoldpitch;
using namespace marigoldpitch::platform;

namespace {

constexpr size_t kMaxBytes = 8 * kKibibyte;
constexpr size_t kMaxPieceBytes = 3 * kMaxBytes;
// An empty buffer may stay allocated up to this size.
constexpr size_t kKeptBytes = 2 * kKibibyte;

/** Pieces of lines and of what is none. */
std::vector<std::string>
Pieces()
{
  auto piece = rc::gen::exec([] {
    auto filler = *rc::gen::element('x', ' ', '\r', '\0', '\xff');
    std::string text = *rc::gen::element<std::string>(
      "", "\n", "\r\n", "START a b\r\n", "QUERY q READ ", "QUERY q SET a ");
    text.append(*rc::gen::inRange<size_t>(0, kMaxPieceBytes), filler);
    return text +
           *rc::gen::element<std::string>("", "\r", "\r\n", "\r\nBYE\r\n");
  });
  return *rc::gen::container<std::vector<std::string>>(piece);
}

} // namespace

Test(bounded_input, lines_of_any_length_keep_no_more_than_a_line_and_a_piece)
{
  cr_assert(rc::check([] {
    LineSplitter splitter(kMaxBytes);
    for (const std::string& piece : Pieces()) {
      splitter.Append(piece);
      for (;;) {
        auto line = splitter.Next();
        if (!line) {
          return; // the link is closed
        }
        if (!line.value()) {
          break;
        }
        RC_ASSERT(line.value()->size() <= kMaxBytes);
        DecodeCallerLine(*line.value()).has_value();
      }
      splitter.ReleaseUnused();
      // A line without its end is at most as long as a line; a buffer that
      // grows may be twice as large as needed, before a quarter is left of it.
      RC_ASSERT(splitter.HeldBytes() <= 8 * kMaxBytes);
      if (!splitter.HasPartialLine()) {
        RC_ASSERT(splitter.HeldBytes() <= kKeptBytes);
      }
    }
  }));
}

Test(bounded_input, frames_of_any_length_are_refused_or_whole)
{
  cr_assert(rc::check([] {
    FrameSplitter splitter(kMaxBytes);
    auto pieces = Pieces();
    for (std::string& piece : pieces) {
      bool isFrame = *rc::gen::arbitrary<bool>();
      splitter.Append(isFrame ? WithSizePrefix(piece) : piece);
      for (;;) {
        auto frame = splitter.Next();
        if (!frame) {
          return; // the link is closed
        }
        if (!frame.value()) {
          break;
        }
        RC_ASSERT(frame.value()->size() <= kMaxBytes);
      }
      RC_ASSERT(splitter.HeldBytes() <= 8 * kMaxBytes);
    }
  }));
}

Test(bounded_input, rows_without_end_are_not_kept_and_the_reply_is_too_large)
{
  ReplyReader reader;
  std::string row = "ROW " + std::string(kMebibyte - kKibibyte, 'x');
  constexpr size_t kRows = 64;
  for (size_t i = 0; i < kRows; ++i) {
    cr_assert(reader.Take(row).has_value());
    cr_assert(reader.RowBytes() <= kMaxReplyBytes + kMebibyte);
  }
  cr_assert(reader.Take("DONE s").has_value());
  auto reply = reader.Take("READY I -");
  cr_assert(reply.has_value() && reply.value().has_value());
  cr_assert(SizeOf(*reply.value()) > kMaxReplyBytes);
  cr_assert(SizeOf(*reply.value()) <= kMaxReplyBytes + kMebibyte);
  // The next reply starts anew.
  cr_assert(reader.Take("ROW a").has_value());
  cr_assert_eq(reader.RowBytes(), 1 + kRowOverheadBytes);
}

Test(bounded_input, rows_within_the_limit_are_kept)
{
  ReplyReader reader;
  std::string row(kMebibyte - kKibibyte, 'x');
  for (int i = 0; i < 3; ++i) {
    cr_assert(reader.Take("ROW " + row).has_value());
  }
  auto reply = reader.Take("READY I -");
  cr_assert_eq(reply.value()->rows.size(), 3);
  cr_assert(SizeOf(*reply.value()) <= kMaxReplyBytes);
}

Test(bounded_input, a_host_is_not_filled_through_another)
{
  constexpr RelayLinkId kLink = 1000;
  constexpr Time kNow{ 1000 };
  ProxyOptions options{ "z0" };
  options.maxRelayedBytes = 4 * kMebibyte;
  ProxyEngine engine(std::move(options));
  ConfigArrived configured;
  configured.config.version = 7;
  DatabaseRoute& route = configured.config.routes["db"];
  route.database = "db";
  route.service = "service";
  route.timeout = Millis(1000);
  route.latencyObjective = Millis(1000);
  configured.config.services["service"] = { 10, true };
  engine.Handle(kNow, configured);
  auto isDeclined = [&](uint64_t aSession) {
    RelayedStatementArrived event;
    event.link = kLink;
    event.statement.session = aSession;
    event.statement.number = 1;
    event.statement.statement.kind = StatementKind::Write;
    event.statement.statement.name = "a";
    event.statement.statement.arguments = std::string(kMebibyte / 2, 'x');
    event.statement.statement.writes = true;
    event.statement.values["who"] = std::string(kMebibyte / 2, 'x');
    event.statement.route = route;
    for (const ProxyAction& action : engine.Handle(kNow, event)) {
      const auto* answer = std::get_if<AnswerRelay>(&action);
      if (answer != nullptr && answer->reply.isDeclined) {
        return true;
      }
    }
    return false;
  };
  size_t taken = 0;
  for (uint64_t session = 1; session <= 20; ++session) {
    taken += isDeclined(session) ? 0 : 1;
  }
  cr_assert_eq(taken, 3);
  engine.Handle(kNow, RelayLinkLost{ kLink });
  cr_assert_not(isDeclined(21));
}
