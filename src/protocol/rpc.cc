#include "marigoldpitch/protocol/rpc.h"

#include "marigoldpitch.pb.h"

#include <google/protobuf/util/json_util.h>

#include <charconv>

namespace marigoldpitch {

namespace detail {

constexpr size_t kMaxNameBytes = 200;
constexpr size_t kMaxParameters = 65535; // of a statement in PostgreSQL

using Parameters = google::protobuf::RepeatedPtrField<v1::Value>;

std::optional<std::string>
ValueFromProto(const v1::Value& aValue)
{
  if (aValue.kind_case() == v1::Value::kText) {
    return aValue.text();
  }
  return std::nullopt;
}

Statement
StatementFromProto(const std::string& aSql, const Parameters& aParameters)
{
  Statement statement;
  statement.sql = aSql;
  for (const v1::Value& value : aParameters) {
    statement.parameters.push_back(ValueFromProto(value));
  }
  return statement;
}

void
CheckNameLength(const char* aPlace,
                const std::string& aName,
                Findings& aFindings)
{
  if (aName.size() > kMaxNameBytes) {
    aFindings.Add(aPlace,
                  "longer than " + std::to_string(kMaxNameBytes) + " bytes");
  }
}

void
ContextFromProto(const v1::Context& aContext,
                 Request& aRequest,
                 Findings& aFindings)
{
  if (aContext.group().empty()) {
    aFindings.Add("context.group", "missing");
  }
  if (aContext.session().empty()) {
    aFindings.Add("context.session", "missing");
  }
  CheckNameLength("context.group", aContext.group(), aFindings);
  CheckNameLength("context.session", aContext.session(), aFindings);
  CheckNameLength("context.service", aContext.service(), aFindings);
  CheckNameLength("context.zone", aContext.zone(), aFindings);
  aRequest.group = aContext.group();
  aRequest.service = aContext.service();
  aRequest.session = aContext.session();
  aRequest.zone = aContext.zone();
  aRequest.timeout = Millis(aContext.timeout_ms());
  auto token = ParseToken(aContext.token());
  if (token) {
    aRequest.token = token.value();
  } else {
    aFindings.Add("context.token", token.error().message);
  }
}

void
FillRequest(const v1::ExecuteRequest& aMessage, Request& aRequest)
{
  aRequest.operation = Operation::Write;
  aRequest.requestId = aMessage.request_id();
  aRequest.firstAttempt = aMessage.first_attempt();
  aRequest.statement =
    StatementFromProto(aMessage.sql(), aMessage.parameters());
}

void
FillRequest(const v1::ReadRequest& aMessage, Request& aRequest)
{
  aRequest.operation = Operation::Read;
  aRequest.unresolved = aMessage.unresolved();
  if (aMessage.has_max_age_ms()) {
    aRequest.maxAge = Millis(aMessage.max_age_ms());
  }
  aRequest.statement =
    StatementFromProto(aMessage.sql(), aMessage.parameters());
}

void
FillRequest(const v1::BeginRequest&, Request& aRequest)
{
  aRequest.operation = Operation::Begin;
}

void
FillRequest(const v1::StatementRequest& aMessage, Request& aRequest)
{
  aRequest.operation = Operation::Statement;
  aRequest.transaction = aMessage.transaction();
  aRequest.statement =
    StatementFromProto(aMessage.sql(), aMessage.parameters());
}

void
FillRequest(const v1::CommitRequest& aMessage, Request& aRequest)
{
  aRequest.operation = Operation::Commit;
  aRequest.transaction = aMessage.transaction();
  aRequest.requestId = aMessage.request_id();
  aRequest.firstAttempt = aMessage.first_attempt();
}

void
FillRequest(const v1::RollBackRequest& aMessage, Request& aRequest)
{
  aRequest.operation = Operation::RollBack;
  aRequest.transaction = aMessage.transaction();
}

void
FillRequest(const v1::ResolveRequest& aMessage, Request& aRequest)
{
  aRequest.operation = Operation::Resolve;
  aRequest.requestId = aMessage.request_id();
}

/**
 * Refuses a text that an upstream cannot get whole: PostgreSQL's messages end a
 * text at its first null byte.
 */
void
CheckNoNullByte(const std::string& aPlace,
                const std::string& aText,
                Findings& aFindings)
{
  if (aText.find('\0') != std::string::npos) {
    aFindings.Add(aPlace, "contains a null byte");
  }
}

/** Checks the texts that become part of messages to an upstream. */
void
CheckUpstreamTexts(const Request& aRequest, Findings& aFindings)
{
  CheckNoNullByte("context.session", aRequest.session, aFindings);
  CheckNoNullByte("request_id", aRequest.requestId, aFindings);
  CheckNoNullByte("sql", aRequest.statement.sql, aFindings);
  if (aRequest.statement.parameters.size() > kMaxParameters) {
    aFindings.Add("parameters", "more than " + std::to_string(kMaxParameters));
    return;
  }
  size_t index = 0;
  for (const auto& parameter : aRequest.statement.parameters) {
    std::string place = "parameters[" + std::to_string(index++) + "]";
    CheckNoNullByte(place, parameter.value_or(""), aFindings);
  }
}

template<typename M>
Result<Request>
DecodeRequestAs(BodyFormat aFormat, const std::string& aBody)
{
  M message;
  BOOST_OUTCOME_TRY(DecodeBody(aFormat, aBody, message));
  Request request;
  Findings findings(ErrorCode::BadMessage);
  ContextFromProto(message.context(), request, findings);
  FillRequest(message, request);
  CheckNameLength("request_id", request.requestId, findings);
  CheckNameLength("transaction", request.transaction, findings);
  CheckUpstreamTexts(request, findings);
  if (!findings.Empty()) {
    return findings.ToError("body");
  }
  return request;
}

void
RowsToProto(const Rows& aRows, v1::ResultSet& aResult)
{
  for (const std::string& column : aRows.columns) {
    aResult.add_columns(column);
  }
  for (const auto& row : aRows.rows) {
    v1::Row* line = aResult.add_rows();
    for (const auto& cell : row) {
      v1::Value* value = line->add_cells();
      if (cell) {
        value->set_text(*cell);
      } else {
        value->set_null(true);
      }
    }
  }
  aResult.set_affected_rows(aRows.affected);
}

int
HttpStatusOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::TooLarge:
      return 413;
    case ErrorCode::UnknownMethod:
      return 404;
    case ErrorCode::Unavailable:
      return 503;
    default:
      return 400;
  }
}

} // namespace detail

std::optional<BodyFormat>
BodyFormatOf(std::string_view aContentType)
{
  return kBodyFormatNames.ValueOf(
    aContentType.substr(0, aContentType.find(';')));
}

Result<void>
DecodeBody(BodyFormat aFormat,
           const std::string& aBody,
           google::protobuf::Message& aMessage)
{
  if (aFormat == BodyFormat::Proto) {
    if (!aMessage.ParseFromString(aBody)) {
      return Error{ ErrorCode::BadMessage,
                    "body",
                    "not a complete protobuf message" };
    }
    return boost::outcome_v2::success();
  }
  auto status = google::protobuf::util::JsonStringToMessage(aBody, &aMessage);
  if (!status.ok()) {
    return Error{ ErrorCode::BadMessage,
                  "body",
                  std::string(status.message()) };
  }
  return boost::outcome_v2::success();
}

std::string
EncodeBody(BodyFormat aFormat, const google::protobuf::Message& aMessage)
{
  if (aFormat == BodyFormat::Proto) {
    return aMessage.SerializeAsString();
  }
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  // Every field of the messages has a JSON form, so this cannot fail.
  (void)google::protobuf::util::MessageToJsonString(aMessage, &text, options);
  return text;
}

Result<Request>
DecodeRequest(RpcMethod aMethod, BodyFormat aFormat, const std::string& aBody)
{
  switch (aMethod) {
    case RpcMethod::Execute:
      return detail::DecodeRequestAs<v1::ExecuteRequest>(aFormat, aBody);
    case RpcMethod::Read:
      return detail::DecodeRequestAs<v1::ReadRequest>(aFormat, aBody);
    case RpcMethod::Begin:
      return detail::DecodeRequestAs<v1::BeginRequest>(aFormat, aBody);
    case RpcMethod::Statement:
      return detail::DecodeRequestAs<v1::StatementRequest>(aFormat, aBody);
    case RpcMethod::Commit:
      return detail::DecodeRequestAs<v1::CommitRequest>(aFormat, aBody);
    case RpcMethod::RollBack:
      return detail::DecodeRequestAs<v1::RollBackRequest>(aFormat, aBody);
    case RpcMethod::Resolve:
      return detail::DecodeRequestAs<v1::ResolveRequest>(aFormat, aBody);
    default:
      return Error{ ErrorCode::UnknownMethod,
                    kRpcMethodNames.TextOf(aMethod),
                    "not a method that takes a caller's request" };
  }
}

RpcReply
EncodeAnswer(BodyFormat aFormat,
             const Answer& aAnswer,
             const std::string& aRequestId)
{
  const OutcomeRow& row = RowOf(aAnswer.outcome);
  RpcReply reply;
  reply.format = aFormat;
  reply.status = row.httpStatus;
  std::string outcome = kOutcomeNames.TextOf(aAnswer.outcome);
  if (aAnswer.outcome != Outcome::Ok) {
    v1::ErrorResponse error;
    error.set_code(std::string(row.connectCode));
    error.set_message(aAnswer.message);
    error.set_outcome(outcome);
    error.set_retry(kRetryAdviceNames.TextOf(row.advice));
    error.set_sql_state(aAnswer.sqlState);
    error.set_request_id(aRequestId);
    reply.body = EncodeBody(aFormat, error);
    return reply;
  }
  v1::AnswerResponse answer;
  answer.set_outcome(outcome);
  detail::RowsToProto(aAnswer.rows, *answer.mutable_result());
  answer.set_token(FormatToken(aAnswer.token));
  answer.set_transaction(aAnswer.transaction);
  answer.set_source(kSourceNames.TextOf(aAnswer.source));
  answer.set_replayed(aAnswer.replayed);
  if (aAnswer.age) {
    answer.set_age_ms(static_cast<uint32_t>(aAnswer.age->ms));
  }
  answer.set_request_id(aRequestId);
  reply.body = EncodeBody(aFormat, answer);
  return reply;
}

RpcReply
EncodeError(BodyFormat aFormat, const Error& aError)
{
  RpcReply reply;
  reply.format = aFormat;
  reply.status = detail::HttpStatusOf(aError.code);
  bool isOverload = aError.code == ErrorCode::Unavailable;
  Outcome outcome = isOverload ? Outcome::NotRun : Outcome::Invalid;
  v1::ErrorResponse error;
  error.set_code(std::string(RowOf(outcome).connectCode));
  error.set_message(aError.ToString());
  error.set_outcome(kOutcomeNames.TextOf(outcome));
  error.set_retry(kRetryAdviceNames.TextOf(RowOf(outcome).advice));
  reply.body = EncodeBody(aFormat, error);
  return reply;
}

std::string
FormatToken(const LogPoint& aPoint)
{
  if (aPoint.IsUnset()) {
    return {};
  }
  return std::to_string(aPoint.term) + ":" + std::to_string(aPoint.position);
}

Result<LogPoint>
ParseToken(const std::string& aText)
{
  LogPoint point;
  if (aText.empty()) {
    return point;
  }
  const char* end = aText.data() + aText.size();
  auto term = std::from_chars(aText.data(), end, point.term);
  bool hasColon = term.ec == std::errc() && term.ptr != end && *term.ptr == ':';
  if (hasColon) {
    auto position = std::from_chars(term.ptr + 1, end, point.position);
    if (position.ec == std::errc() && position.ptr == end) {
      return point;
    }
  }
  return Error{ ErrorCode::BadMessage, "token", "not a valid token" };
}

} // namespace marigoldpitch
