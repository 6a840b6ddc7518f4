#include "marigoldpitch/protocol/wire.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

// The frames in which proxies relay statements, valid and damaged.

using namespace marigoldpitch;

namespace {

RelayedStatement
RandomStatement()
{
  auto text = [] { return *rc::gen::string<std::string>(); };
  RelayedStatement relayed;
  relayed.session = *rc::gen::arbitrary<uint64_t>();
  relayed.number = *rc::gen::arbitrary<uint64_t>();
  relayed.requestId = text();
  relayed.statement.kind = *rc::gen::element(
    StatementKind::Read, StatementKind::Write, StatementKind::Execute);
  relayed.statement.name = text();
  relayed.statement.arguments = text();
  relayed.statement.writes = *rc::gen::arbitrary<bool>();
  relayed.statement.preparedText = text();
  relayed.route.database = text();
  relayed.route.service = text();
  relayed.route.freshness = *rc::gen::element(
    Freshness::Newest, Freshness::Bounded, Freshness::Session);
  relayed.route.maxAge = Millis(*rc::gen::inRange(0, 5000));
  relayed.route.timeout = Millis(*rc::gen::inRange(0, 5000));
  relayed.route.priority = *rc::gen::inRange(0, 3);
  relayed.values[text()] = text();
  relayed.customer = text();
  relayed.lastCommit.term = *rc::gen::inRange<Term>(0, 9);
  relayed.lastCommit.position = *rc::gen::inRange<Position>(0, 1000);
  relayed.state =
    *rc::gen::element(SessionState::Idle, SessionState::InTransaction);
  relayed.readOnly = *rc::gen::arbitrary<bool>();
  relayed.isContinued =
    relayed.state == SessionState::InTransaction && *rc::gen::arbitrary<bool>();
  relayed.spent = Millis(*rc::gen::inRange(0, 5000));
  relayed.transactionSpent = Millis(*rc::gen::inRange(0, 5000));
  return relayed;
}

RelayedReply
RandomReply()
{
  RelayedReply relayed;
  relayed.session = *rc::gen::arbitrary<uint64_t>();
  relayed.number = *rc::gen::arbitrary<uint64_t>();
  relayed.isDeclined = *rc::gen::arbitrary<bool>();
  StatementReply& reply = relayed.reply;
  reply.rows = *rc::gen::container<std::vector<std::string>>(
    rc::gen::string<std::string>());
  if (*rc::gen::arbitrary<bool>()) {
    reply.failure =
      StatementFailure{ *rc::gen::element(FailureCode::Busy,
                                          FailureCode::OutcomeUnknown),
                        *rc::gen::string<std::string>() };
  }
  reply.signature = *rc::gen::string<std::string>();
  reply.state = *rc::gen::element(SessionState::Idle, SessionState::Failed);
  if (*rc::gen::arbitrary<bool>()) {
    reply.position = LogPoint{ 3, *rc::gen::inRange<Position>(0, 1000) };
  }
  return relayed;
}

bool
IsRefused(const RelayedStatement& aRelayed)
{
  return !DecodeFrame(EncodeFrame(RelayedStatementFrame{ aRelayed }));
}

} // namespace

Test(relay_codec, statements_round_trip)
{
  cr_assert(rc::check([] {
    RelayedStatement sent = RandomStatement();
    std::string bytes = EncodeFrame(RelayedStatementFrame{ sent });
    auto frame = DecodeFrame(bytes).value();
    const RelayedStatement& got =
      std::get<RelayedStatementFrame>(frame).statement;
    RC_ASSERT(got.session == sent.session && got.number == sent.number);
    RC_ASSERT(got.statement.kind == sent.statement.kind);
    RC_ASSERT(got.statement.arguments == sent.statement.arguments);
    RC_ASSERT(got.route.service == sent.route.service);
    RC_ASSERT(got.values == sent.values);
    RC_ASSERT(got.isContinued == sent.isContinued);
    RC_ASSERT(EncodeFrame(RelayedStatementFrame{ got }) == bytes);
  }));
}

Test(relay_codec, replies_and_ends_round_trip)
{
  cr_assert(rc::check([] {
    RelayedReply sent = RandomReply();
    std::string bytes = EncodeFrame(RelayedReplyFrame{ sent });
    auto frame = DecodeFrame(bytes).value();
    const RelayedReply& got = std::get<RelayedReplyFrame>(frame).reply;
    RC_ASSERT(got.reply.rows == sent.reply.rows);
    RC_ASSERT(got.reply.failure.has_value() == sent.reply.failure.has_value());
    RC_ASSERT(got.isDeclined == sent.isDeclined);
    RC_ASSERT(EncodeFrame(RelayedReplyFrame{ got }) == bytes);
    RelayedEndFrame end{ { sent.session } };
    auto endFrame = DecodeFrame(EncodeFrame(end)).value();
    RC_ASSERT(std::get<RelayedEndFrame>(endFrame).end.session == sent.session);
  }));
}

Test(relay_codec, damaged_frames_are_decoded_or_refused)
{
  cr_assert(rc::check([] {
    std::string bytes =
      *rc::gen::arbitrary<bool>()
        ? EncodeFrame(RelayedStatementFrame{ RandomStatement() })
        : EncodeFrame(RelayedReplyFrame{ RandomReply() });
    for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
      auto at = *rc::gen::inRange<size_t>(0, bytes.size());
      bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    bytes.resize(*rc::gen::inRange<size_t>(bytes.size() / 2, bytes.size() + 1));
    auto frame = DecodeFrame(bytes);
    RC_ASSERT(frame || !frame.error().place.empty());
  }));
}

// A peer must not be able to send what no caller may, or to continue what
// cannot be open.
Test(relay_codec, statements_that_no_caller_may_send_are_refused)
{
  RelayedStatement relayed;
  relayed.route.service = "service";
  for (StatementKind kind : { StatementKind::Status,
                              StatementKind::Hold,
                              StatementKind::Demote,
                              StatementKind::Reset,
                              StatementKind::RollBack }) {
    relayed.statement.kind = kind;
    cr_assert(IsRefused(relayed));
  }
  relayed.statement.kind = StatementKind::Read;
  cr_assert_not(IsRefused(relayed));
  relayed.isContinued = true;
  cr_assert(IsRefused(relayed));
  relayed.isContinued = false;
  relayed.spent = Millis(-1);
  cr_assert(IsRefused(relayed));
}
