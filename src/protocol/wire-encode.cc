#include "marigoldpitch/protocol/wire.h"

#include "wire_generated.h"

#include <zlib.h>

namespace marigoldpitch {

namespace detail {

using Builder = flatbuffers::FlatBufferBuilder;
using Cells = std::vector<std::optional<std::string>>;
using CellOffsets =
  flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::Cell>>>;

constexpr size_t kInitialBytes = 512;

CellOffsets
EncodeCells(Builder& aBuilder, const Cells& aCells)
{
  std::vector<flatbuffers::Offset<wire::Cell>> offsets;
  offsets.reserve(aCells.size());
  for (const auto& cell : aCells) {
    auto text = cell ? aBuilder.CreateString(*cell) : 0;
    offsets.push_back(wire::CreateCell(aBuilder, text));
  }
  return aBuilder.CreateVector(offsets);
}

/** An unset duration is -1 on the wire. */
int64_t
EncodeDuration(const std::optional<Duration>& aDuration)
{
  return aDuration ? aDuration->ms : -1;
}

std::vector<uint8_t>
Compress(const std::string& aText)
{
  uLongf size = compressBound(aText.size());
  std::vector<uint8_t> packed(size);
  const auto* text = reinterpret_cast<const Bytef*>(aText.data());
  compress2(packed.data(), &size, text, aText.size(), Z_BEST_SPEED);
  packed.resize(size);
  return packed;
}

struct EncodedBody
{
  wire::Body type;
  flatbuffers::Offset<void> body;
};

EncodedBody
EncodeBody(Builder& aBuilder, const RequestFrame& aFrame)
{
  const Request& request = aFrame.request;
  auto operation =
    aBuilder.CreateString(kOperationNames.TextOf(request.operation));
  auto group = aBuilder.CreateString(request.group);
  auto service = aBuilder.CreateString(request.service);
  auto session = aBuilder.CreateString(request.session);
  auto requestId = aBuilder.CreateString(request.requestId);
  auto transaction = aBuilder.CreateString(request.transaction);
  auto zone = aBuilder.CreateString(request.zone);
  auto priority =
    aBuilder.CreateString(kPriorityNames.TextOf(request.priority));
  auto sql = aBuilder.CreateString(request.statement.sql);
  auto parameters = EncodeCells(aBuilder, request.statement.parameters);
  wire::RequestFrameBuilder frame(aBuilder);
  frame.add_number(aFrame.number);
  frame.add_operation(operation);
  frame.add_group(group);
  frame.add_service(service);
  frame.add_session(session);
  frame.add_request_id(requestId);
  frame.add_transaction(transaction);
  frame.add_zone(zone);
  frame.add_token_term(request.token.term);
  frame.add_token_position(request.token.position);
  frame.add_unresolved(request.unresolved);
  frame.add_first_attempt(request.firstAttempt);
  frame.add_max_age_ms(EncodeDuration(request.maxAge));
  frame.add_timeout_ms(request.timeout.ms);
  frame.add_priority(priority);
  frame.add_sql(sql);
  frame.add_parameters(parameters);
  return { wire::Body_RequestFrame, frame.Finish().Union() };
}

EncodedBody
EncodeBody(Builder& aBuilder, const AnswerFrame& aFrame)
{
  const Answer& answer = aFrame.answer;
  auto outcome = aBuilder.CreateString(kOutcomeNames.TextOf(answer.outcome));
  auto message = aBuilder.CreateString(answer.message);
  auto sqlState = aBuilder.CreateString(answer.sqlState);
  auto columns = aBuilder.CreateVectorOfStrings(answer.rows.columns);
  std::vector<flatbuffers::Offset<wire::Line>> lines;
  lines.reserve(answer.rows.rows.size());
  for (const auto& row : answer.rows.rows) {
    lines.push_back(wire::CreateLine(aBuilder, EncodeCells(aBuilder, row)));
  }
  auto lineVector = aBuilder.CreateVector(lines);
  auto transaction = aBuilder.CreateString(answer.transaction);
  auto source = aBuilder.CreateString(kSourceNames.TextOf(answer.source));
  wire::AnswerFrameBuilder frame(aBuilder);
  frame.add_number(aFrame.number);
  frame.add_outcome(outcome);
  frame.add_message(message);
  frame.add_sql_state(sqlState);
  frame.add_columns(columns);
  frame.add_lines(lineVector);
  frame.add_affected(answer.rows.affected);
  frame.add_token_term(answer.token.term);
  frame.add_token_position(answer.token.position);
  frame.add_transaction(transaction);
  frame.add_source(source);
  frame.add_replayed(answer.replayed);
  frame.add_try_next(answer.tryNext);
  frame.add_age_ms(EncodeDuration(answer.age));
  return { wire::Body_AnswerFrame, frame.Finish().Union() };
}

EncodedBody
EncodeBody(Builder& aBuilder, const CancelFrame& aFrame)
{
  return { wire::Body_CancelFrame,
           wire::CreateCancelFrame(aBuilder, aFrame.number).Union() };
}

EncodedBody
EncodeBody(Builder& aBuilder, const HelloFrame& aFrame)
{
  auto peer = aBuilder.CreateString(aFrame.peer);
  return { wire::Body_HelloFrame,
           wire::CreateHelloFrame(aBuilder, peer).Union() };
}

EncodedBody
EncodeBody(Builder& aBuilder, const DigestFrame& aFrame)
{
  const auto& [config, hosts, upstreams, groups] = aFrame.digest.documents;
  const auto& ages = aFrame.digest.ages;
  return { wire::Body_DigestFrame,
           wire::CreateDigestFrame(aBuilder,
                                   config.position.revision,
                                   hosts.position.revision,
                                   aFrame.draining,
                                   upstreams.position.revision,
                                   EncodeDuration(ages[0]),
                                   EncodeDuration(ages[1]),
                                   EncodeDuration(ages[2]),
                                   groups.position.revision,
                                   EncodeDuration(ages[3]),
                                   config.version,
                                   config.position.era,
                                   hosts.position.era,
                                   upstreams.position.era,
                                   groups.position.era)
             .Union() };
}

EncodedBody
EncodeBody(Builder& aBuilder, const DocumentFrame& aFrame)
{
  const Document& document = aFrame.document;
  auto kind = aBuilder.CreateString(kDocumentKindNames.TextOf(document.kind));
  auto packed = aBuilder.CreateVector(Compress(document.text));
  auto size = static_cast<uint32_t>(document.text.size());
  return { wire::Body_DocumentFrame,
           wire::CreateDocumentFrame(aBuilder,
                                     kind,
                                     document.position.revision,
                                     packed,
                                     size,
                                     document.version,
                                     document.position.era)
             .Union() };
}

EncodedBody
EncodeBody(Builder& aBuilder, const PingFrame&)
{
  return { wire::Body_PingFrame, wire::CreatePingFrame(aBuilder).Union() };
}

EncodedBody
EncodeBody(Builder& aBuilder, const PongFrame&)
{
  return { wire::Body_PongFrame, wire::CreatePongFrame(aBuilder).Union() };
}

EncodedBody
EncodeBody(Builder& aBuilder, const RelayedStatementFrame& aFrame)
{
  const RelayedStatement& relayed = aFrame.statement;
  const SessionStatement& statement = relayed.statement;
  auto requestId = aBuilder.CreateString(relayed.requestId);
  auto kind = aBuilder.CreateString(kStatementKindNames.TextOf(statement.kind));
  auto name = aBuilder.CreateString(statement.name);
  auto arguments = aBuilder.CreateString(statement.arguments);
  auto preparedText = aBuilder.CreateString(statement.preparedText);
  auto database = aBuilder.CreateString(relayed.route.database);
  auto service = aBuilder.CreateString(relayed.route.service);
  auto customer = aBuilder.CreateString(relayed.customer);
  auto freshness =
    aBuilder.CreateString(kFreshnessNames.TextOf(relayed.route.freshness));
  std::vector<flatbuffers::Offset<wire::Setting>> settings;
  settings.reserve(relayed.values.size());
  for (const auto& [setting, value] : relayed.values) {
    settings.push_back(wire::CreateSetting(
      aBuilder, aBuilder.CreateString(setting), aBuilder.CreateString(value)));
  }
  auto settingVector = aBuilder.CreateVector(settings);
  auto state = aBuilder.CreateString(kSessionStateNames.TextOf(relayed.state));
  wire::RelayedStatementFrameBuilder frame(aBuilder);
  frame.add_session(relayed.session);
  frame.add_number(relayed.number);
  frame.add_request_id(requestId);
  frame.add_kind(kind);
  frame.add_name(name);
  frame.add_arguments(arguments);
  frame.add_writes(statement.writes);
  frame.add_prepared_text(preparedText);
  frame.add_database(database);
  frame.add_service(service);
  frame.add_freshness(freshness);
  frame.add_max_age_ms(relayed.route.maxAge.ms);
  frame.add_timeout_ms(relayed.route.timeout.ms);
  frame.add_latency_objective_ms(relayed.route.latencyObjective.ms);
  frame.add_priority(relayed.route.priority);
  frame.add_settings(settingVector);
  frame.add_commit_term(relayed.lastCommit.term);
  frame.add_commit_position(relayed.lastCommit.position);
  frame.add_state(state);
  frame.add_read_only(relayed.readOnly);
  frame.add_continued(relayed.isContinued);
  frame.add_spent_ms(relayed.spent.ms);
  frame.add_transaction_spent_ms(relayed.transactionSpent.ms);
  frame.add_customer(customer);
  return { wire::Body_RelayedStatementFrame, frame.Finish().Union() };
}

EncodedBody
EncodeBody(Builder& aBuilder, const RelayedReplyFrame& aFrame)
{
  const RelayedReply& relayed = aFrame.reply;
  const StatementReply& reply = relayed.reply;
  auto rows = aBuilder.CreateVectorOfStrings(reply.rows);
  flatbuffers::Offset<flatbuffers::String> failure;
  flatbuffers::Offset<flatbuffers::String> failureText;
  if (reply.failure) {
    failure =
      aBuilder.CreateString(kFailureCodeNames.TextOf(reply.failure->code));
    failureText = aBuilder.CreateString(reply.failure->text);
  }
  auto signature = aBuilder.CreateString(reply.signature);
  auto state = aBuilder.CreateString(kSessionStateNames.TextOf(reply.state));
  LogPoint position = reply.position.value_or(LogPoint{});
  wire::RelayedReplyFrameBuilder frame(aBuilder);
  frame.add_session(relayed.session);
  frame.add_number(relayed.number);
  frame.add_rows(rows);
  frame.add_failure(failure);
  frame.add_failure_text(failureText);
  frame.add_signature(signature);
  frame.add_state(state);
  frame.add_has_position(reply.position.has_value());
  frame.add_term(position.term);
  frame.add_position(position.position);
  frame.add_declined(relayed.isDeclined);
  return { wire::Body_RelayedReplyFrame, frame.Finish().Union() };
}

EncodedBody
EncodeBody(Builder& aBuilder, const RelayedEndFrame& aFrame)
{
  return { wire::Body_RelayedEndFrame,
           wire::CreateRelayedEndFrame(aBuilder, aFrame.end.session).Union() };
}

EncodedBody
EncodeBody(Builder& aBuilder, const LimitRequestFrame& aFrame)
{
  std::vector<flatbuffers::Offset<wire::PermitWish>> wishes;
  for (const PermitWish& wish : aFrame.request.wishes) {
    auto customer = aBuilder.CreateString(wish.customer);
    wishes.push_back(
      wire::CreatePermitWish(aBuilder, customer, wish.needed, wish.spare));
  }
  std::vector<flatbuffers::Offset<wire::PermitCharge>> charges;
  for (const PermitCharge& charge : aFrame.request.charges) {
    auto customer = aBuilder.CreateString(charge.customer);
    charges.push_back(wire::CreatePermitCharge(
      aBuilder, customer, charge.operations, charge.age.ms));
  }
  auto wishVector = aBuilder.CreateVector(wishes);
  auto chargeVector = aBuilder.CreateVector(charges);
  auto standsInFor = aBuilder.CreateVectorOfStrings(aFrame.request.standsInFor);
  return {
    wire::Body_LimitRequestFrame,
    wire::CreateLimitRequestFrame(
      aBuilder, aFrame.request.number, wishVector, chargeVector, standsInFor)
      .Union()
  };
}

EncodedBody
EncodeBody(Builder& aBuilder, const LimitReplyFrame& aFrame)
{
  std::vector<flatbuffers::Offset<wire::PermitGrant>> grants;
  for (const PermitGrant& grant : aFrame.reply.grants) {
    auto customer = aBuilder.CreateString(grant.customer);
    grants.push_back(wire::CreatePermitGrant(aBuilder,
                                             customer,
                                             grant.counts,
                                             grant.granted,
                                             grant.retryAfter.ms,
                                             grant.spacing.ms));
  }
  auto grantVector = aBuilder.CreateVector(grants);
  auto heard = aBuilder.CreateVectorOfStrings(aFrame.reply.heard);
  return { wire::Body_LimitReplyFrame,
           wire::CreateLimitReplyFrame(aBuilder,
                                       aFrame.reply.number,
                                       grantVector,
                                       heard,
                                       aFrame.reply.isUnlisted)
             .Union() };
}

EncodedBody
EncodeBody(Builder& aBuilder, const FenceRequestFrame& aFrame)
{
  const FenceRequest& request = aFrame.request;
  auto service = aBuilder.CreateString(request.service);
  auto command = static_cast<wire::FenceCommand>(request.command);
  return { wire::Body_FenceRequestFrame,
           wire::CreateFenceRequestFrame(aBuilder,
                                         service,
                                         request.round,
                                         request.term,
                                         command,
                                         request.awaitsOpenCommits,
                                         request.areAllFenced)
             .Union() };
}

EncodedBody
EncodeBody(Builder& aBuilder, const FenceReplyFrame& aFrame)
{
  const FenceReply& reply = aFrame.reply;
  auto service = aBuilder.CreateString(reply.service);
  auto command = static_cast<wire::FenceCommand>(reply.command);
  return { wire::Body_FenceReplyFrame,
           wire::CreateFenceReplyFrame(aBuilder,
                                       service,
                                       reply.round,
                                       reply.term,
                                       command,
                                       reply.highestAcknowledged.term,
                                       reply.highestAcknowledged.position)
             .Union() };
}

} // namespace detail

std::string
EncodeFrame(const Frame& aFrame)
{
  detail::Builder builder(detail::kInitialBytes);
  auto encode = [&](const auto& aKind) {
    return detail::EncodeBody(builder, aKind);
  };
  detail::EncodedBody encoded = std::visit(encode, aFrame);
  builder.Finish(wire::CreateFrame(builder, encoded.type, encoded.body));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

} // namespace marigoldpitch
