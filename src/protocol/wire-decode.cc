#include "marigoldpitch/protocol/wire.h"

#include "wire_generated.h"

#include <zlib.h>

namespace marigoldpitch {

namespace detail {

using Cells = std::vector<std::optional<std::string>>;

constexpr size_t kMaxTextBytes = 16U << 20; // of a decompressed document

std::string
StringOrEmpty(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

Cells
DecodeCells(const flatbuffers::Vector<flatbuffers::Offset<wire::Cell>>* aCells)
{
  Cells cells;
  if (aCells == nullptr) {
    return cells;
  }
  cells.reserve(aCells->size());
  for (const wire::Cell* cell : *aCells) {
    if (cell->text() == nullptr) {
      cells.emplace_back();
    } else {
      cells.emplace_back(cell->text()->str());
    }
  }
  return cells;
}

Result<std::string>
Decompress(const flatbuffers::Vector<uint8_t>* aCompressed, size_t aSize)
{
  Error bad{ ErrorCode::BadFrame,
             "document.packed",
             "not a valid compressed text" };
  if (aCompressed == nullptr || aSize > kMaxTextBytes) {
    return bad;
  }
  std::string text(aSize, '\0');
  uLongf size = aSize;
  int result = uncompress(reinterpret_cast<Bytef*>(text.data()),
                          &size,
                          aCompressed->data(),
                          aCompressed->size());
  if (result != Z_OK || size != aSize) {
    return bad;
  }
  return text;
}

Error
UnknownNameError(const char* aField, const std::string& aName)
{
  return { ErrorCode::BadFrame, aField, "unknown name '" + aName + "'" };
}

/** Looks up the enumeration value for a name in a frame. */
template<typename E, size_t N>
Result<E>
DecodeName(const NameTable<E, N>& aTable,
           const char* aField,
           const flatbuffers::String* aName)
{
  std::string name = StringOrEmpty(aName);
  auto value = aTable.ValueOf(name);
  if (!value) {
    return UnknownNameError(aField, name);
  }
  return *value;
}

std::optional<Duration>
DecodeDuration(int64_t aMs)
{
  return aMs < 0 ? std::nullopt : std::optional<Duration>(Millis(aMs));
}

Result<Frame>
DecodeBody(const wire::RequestFrame& aFrame)
{
  RequestFrame frame;
  frame.number = aFrame.number();
  Request& request = frame.request;
  BOOST_OUTCOME_TRY(
    auto operation,
    DecodeName(kOperationNames, "request.operation", aFrame.operation()));
  BOOST_OUTCOME_TRY(
    auto priority,
    DecodeName(kPriorityNames, "request.priority", aFrame.priority()));
  request.operation = operation;
  request.priority = priority;
  request.group = StringOrEmpty(aFrame.group());
  request.service = StringOrEmpty(aFrame.service());
  request.session = StringOrEmpty(aFrame.session());
  request.requestId = StringOrEmpty(aFrame.request_id());
  request.transaction = StringOrEmpty(aFrame.transaction());
  request.zone = StringOrEmpty(aFrame.zone());
  request.token = { aFrame.token_term(), aFrame.token_position() };
  request.unresolved = aFrame.unresolved();
  request.firstAttempt = aFrame.first_attempt();
  request.maxAge = DecodeDuration(aFrame.max_age_ms());
  request.timeout = Millis(aFrame.timeout_ms());
  request.statement.sql = StringOrEmpty(aFrame.sql());
  request.statement.parameters = DecodeCells(aFrame.parameters());
  return Frame(std::move(frame));
}

Result<Frame>
DecodeBody(const wire::AnswerFrame& aFrame)
{
  AnswerFrame frame;
  frame.number = aFrame.number();
  Answer& answer = frame.answer;
  BOOST_OUTCOME_TRY(
    auto outcome,
    DecodeName(kOutcomeNames, "answer.outcome", aFrame.outcome()));
  BOOST_OUTCOME_TRY(auto source,
                    DecodeName(kSourceNames, "answer.source", aFrame.source()));
  answer.outcome = outcome;
  answer.source = source;
  answer.message = StringOrEmpty(aFrame.message());
  answer.sqlState = StringOrEmpty(aFrame.sql_state());
  if (aFrame.columns() != nullptr) {
    for (const flatbuffers::String* column : *aFrame.columns()) {
      answer.rows.columns.push_back(column->str());
    }
  }
  if (aFrame.lines() != nullptr) {
    for (const wire::Line* line : *aFrame.lines()) {
      answer.rows.rows.push_back(DecodeCells(line->cells()));
    }
  }
  answer.rows.affected = aFrame.affected();
  answer.token = { aFrame.token_term(), aFrame.token_position() };
  answer.transaction = StringOrEmpty(aFrame.transaction());
  answer.replayed = aFrame.replayed();
  answer.tryNext = aFrame.try_next();
  answer.age = DecodeDuration(aFrame.age_ms());
  return Frame(std::move(frame));
}

Result<uint64_t>
DecodeEra(uint64_t aEra)
{
  if (aEra > kMaxEra) {
    return Error{ ErrorCode::BadFrame, "era", "out of range" };
  }
  return aEra;
}

Result<Frame>
DecodeBody(const wire::DocumentFrame& aFrame)
{
  DocumentFrame frame;
  BOOST_OUTCOME_TRY(
    auto kind, DecodeName(kDocumentKindNames, "document.kind", aFrame.kind()));
  frame.document.kind = kind;
  BOOST_OUTCOME_TRY(auto era, DecodeEra(aFrame.era()));
  frame.document.position = { era, aFrame.revision() };
  frame.document.version = aFrame.version();
  BOOST_OUTCOME_TRY(auto text, Decompress(aFrame.packed(), aFrame.bytes()));
  frame.document.text = text;
  return Frame(std::move(frame));
}

Result<Frame>
DecodeBody(const wire::DigestFrame& aFrame)
{
  DigestFrame frame;
  BOOST_OUTCOME_TRY(auto configEra, DecodeEra(aFrame.configuration_era()));
  BOOST_OUTCOME_TRY(auto hostsEra, DecodeEra(aFrame.hosts_era()));
  BOOST_OUTCOME_TRY(auto upstreamsEra, DecodeEra(aFrame.upstreams_era()));
  BOOST_OUTCOME_TRY(auto groupsEra, DecodeEra(aFrame.groups_era()));
  frame.digest.documents = { {
    { aFrame.configuration_version(), { configEra, aFrame.configuration() } },
    { 0, { hostsEra, aFrame.hosts() } },
    { 0, { upstreamsEra, aFrame.upstreams() } },
    { 0, { groupsEra, aFrame.groups() } },
  } };
  frame.digest.ages = { DecodeDuration(aFrame.configuration_age_ms()),
                        DecodeDuration(aFrame.hosts_age_ms()),
                        DecodeDuration(aFrame.upstreams_age_ms()),
                        DecodeDuration(aFrame.groups_age_ms()) };
  frame.draining = aFrame.draining();
  return Frame(frame);
}

/** Whether callers may send statements of this kind. */
bool
MayBeRelayed(StatementKind aKind)
{
  return aKind == StatementKind::Read || aKind == StatementKind::Write ||
         aKind == StatementKind::Execute || aKind == StatementKind::Commit;
}

Result<Frame>
DecodeBody(const wire::RelayedStatementFrame& aFrame)
{
  RelayedStatementFrame frame;
  RelayedStatement& relayed = frame.statement;
  relayed.session = aFrame.session();
  relayed.number = aFrame.number();
  relayed.requestId = StringOrEmpty(aFrame.request_id());
  BOOST_OUTCOME_TRY(
    auto kind, DecodeName(kStatementKindNames, "relayed.kind", aFrame.kind()));
  if (!MayBeRelayed(kind)) {
    return Error{ ErrorCode::BadFrame, "relayed.kind", "is not a caller's" };
  }
  SessionStatement& statement = relayed.statement;
  statement.kind = kind;
  statement.name = StringOrEmpty(aFrame.name());
  statement.arguments = StringOrEmpty(aFrame.arguments());
  statement.writes = aFrame.writes();
  statement.preparedText = StringOrEmpty(aFrame.prepared_text());
  DatabaseRoute& route = relayed.route;
  route.database = StringOrEmpty(aFrame.database());
  route.service = StringOrEmpty(aFrame.service());
  BOOST_OUTCOME_TRY(
    auto freshness,
    DecodeName(kFreshnessNames, "relayed.freshness", aFrame.freshness()));
  route.freshness = freshness;
  route.maxAge = Millis(aFrame.max_age_ms());
  route.timeout = Millis(aFrame.timeout_ms());
  route.latencyObjective = Millis(aFrame.latency_objective_ms());
  route.priority = aFrame.priority();
  if (aFrame.settings() != nullptr) {
    for (const wire::Setting* setting : *aFrame.settings()) {
      relayed.values[StringOrEmpty(setting->name())] =
        StringOrEmpty(setting->value());
    }
  }
  relayed.lastCommit.term = aFrame.commit_term();
  relayed.lastCommit.position = aFrame.commit_position();
  BOOST_OUTCOME_TRY(
    auto state,
    DecodeName(kSessionStateNames, "relayed.state", aFrame.state()));
  relayed.state = state;
  relayed.readOnly = aFrame.read_only();
  relayed.isContinued = aFrame.continued();
  relayed.spent = Millis(aFrame.spent_ms());
  relayed.transactionSpent = Millis(aFrame.transaction_spent_ms());
  relayed.customer = StringOrEmpty(aFrame.customer());
  bool isConsistent = state != SessionState::Failed &&
                      relayed.spent >= Millis(0) &&
                      relayed.transactionSpent >= Millis(0) &&
                      (state == SessionState::InTransaction ||
                       (!relayed.isContinued && kind != StatementKind::Commit));
  if (!isConsistent) {
    return Error{ ErrorCode::BadFrame,
                  "relayed.state",
                  "does not fit the statement" };
  }
  return Frame(std::move(frame));
}

Result<Frame>
DecodeBody(const wire::RelayedReplyFrame& aFrame)
{
  RelayedReplyFrame frame;
  frame.reply.session = aFrame.session();
  frame.reply.number = aFrame.number();
  frame.reply.isDeclined = aFrame.declined();
  StatementReply& reply = frame.reply.reply;
  if (aFrame.rows() != nullptr) {
    for (const flatbuffers::String* row : *aFrame.rows()) {
      reply.rows.push_back(StringOrEmpty(row));
    }
  }
  if (aFrame.failure() != nullptr) {
    BOOST_OUTCOME_TRY(
      auto code,
      DecodeName(kFailureCodeNames, "relayed.failure", aFrame.failure()));
    reply.failure =
      StatementFailure{ code, StringOrEmpty(aFrame.failure_text()) };
  }
  reply.signature = StringOrEmpty(aFrame.signature());
  BOOST_OUTCOME_TRY(
    auto state,
    DecodeName(kSessionStateNames, "relayed.state", aFrame.state()));
  reply.state = state;
  if (aFrame.has_position()) {
    reply.position = LogPoint{};
    reply.position->term = aFrame.term();
    reply.position->position = aFrame.position();
  }
  return Frame(std::move(frame));
}

std::vector<std::string>
DecodeNames(
  const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>* aNames)
{
  std::vector<std::string> names;
  if (aNames != nullptr) {
    for (const flatbuffers::String* name : *aNames) {
      names.push_back(StringOrEmpty(name));
    }
  }
  return names;
}

bool
IsPermitDelay(int64_t aMs)
{
  return aMs >= 0 && aMs <= kMaxPermitDelay.ms;
}

Result<Frame>
DecodeBody(const wire::LimitRequestFrame& aFrame)
{
  LimitRequestFrame frame;
  frame.request.number = aFrame.number();
  frame.request.standsInFor = DecodeNames(aFrame.stands_in_for());
  if (aFrame.wishes() != nullptr) {
    for (const wire::PermitWish* wish : *aFrame.wishes()) {
      frame.request.wishes.push_back(
        { StringOrEmpty(wish->customer()), wish->needed(), wish->spare() });
    }
  }
  if (aFrame.charges() != nullptr) {
    for (const wire::PermitCharge* charge : *aFrame.charges()) {
      if (!IsPermitDelay(charge->age_ms())) {
        return Error{ ErrorCode::BadFrame, "charge.age_ms", "out of range" };
      }
      frame.request.charges.push_back({ StringOrEmpty(charge->customer()),
                                        charge->operations(),
                                        Millis(charge->age_ms()) });
    }
  }
  return Frame(std::move(frame));
}

Result<Frame>
DecodeBody(const wire::LimitReplyFrame& aFrame)
{
  LimitReplyFrame frame;
  frame.reply.number = aFrame.number();
  frame.reply.heard = DecodeNames(aFrame.heard());
  frame.reply.isUnlisted = aFrame.unlisted();
  if (aFrame.grants() == nullptr) {
    return Frame(std::move(frame));
  }
  for (const wire::PermitGrant* grant : *aFrame.grants()) {
    bool isInRange = IsPermitDelay(grant->retry_after_ms()) &&
                     IsPermitDelay(grant->spacing_ms());
    if (!isInRange) {
      return Error{ ErrorCode::BadFrame,
                    "grant.retry_after_ms",
                    "out of range" };
    }
    frame.reply.grants.push_back({ StringOrEmpty(grant->customer()),
                                   grant->counts(),
                                   grant->granted(),
                                   Millis(grant->retry_after_ms()),
                                   Millis(grant->spacing_ms()) });
  }
  return Frame(std::move(frame));
}

Result<FenceCommand>
DecodeFenceCommand(wire::FenceCommand aCommand)
{
  if (aCommand < wire::FenceCommand_MIN || aCommand > wire::FenceCommand_MAX) {
    return Error{ ErrorCode::BadFrame, "command", "unknown" };
  }
  return static_cast<FenceCommand>(aCommand);
}

Result<Frame>
DecodeBody(const wire::FenceRequestFrame& aFrame)
{
  BOOST_OUTCOME_TRY(FenceCommand command, DecodeFenceCommand(aFrame.command()));
  return Frame(FenceRequestFrame{ { StringOrEmpty(aFrame.service()),
                                    aFrame.round(),
                                    aFrame.term(),
                                    command,
                                    aFrame.awaits_open_commits(),
                                    aFrame.all_fenced() } });
}

Result<Frame>
DecodeBody(const wire::FenceReplyFrame& aFrame)
{
  BOOST_OUTCOME_TRY(FenceCommand command, DecodeFenceCommand(aFrame.command()));
  LogPoint acknowledged{ aFrame.acknowledged_term(),
                         aFrame.acknowledged_position() };
  return Frame(FenceReplyFrame{ { StringOrEmpty(aFrame.service()),
                                  aFrame.round(),
                                  aFrame.term(),
                                  command,
                                  acknowledged } });
}

} // namespace detail

Result<Frame>
DecodeFrame(std::string_view aBytes)
{
  const auto* data = reinterpret_cast<const uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(data, aBytes.size());
  if (!wire::VerifyFrameBuffer(verifier)) {
    return Error{ ErrorCode::BadFrame, "frame", "not a valid FlatBuffer" };
  }
  const wire::Frame* frame = wire::GetFrame(data);
  if (frame->body() == nullptr) {
    return Error{ ErrorCode::BadFrame, "frame", "the body is missing" };
  }
  switch (frame->body_type()) {
    case wire::Body_RequestFrame:
      return detail::DecodeBody(*frame->body_as_RequestFrame());
    case wire::Body_AnswerFrame:
      return detail::DecodeBody(*frame->body_as_AnswerFrame());
    case wire::Body_CancelFrame:
      return Frame(CancelFrame{ frame->body_as_CancelFrame()->number() });
    case wire::Body_HelloFrame:
      return Frame(HelloFrame{
        detail::StringOrEmpty(frame->body_as_HelloFrame()->peer()) });
    case wire::Body_DigestFrame:
      return detail::DecodeBody(*frame->body_as_DigestFrame());
    case wire::Body_DocumentFrame:
      return detail::DecodeBody(*frame->body_as_DocumentFrame());
    case wire::Body_PingFrame:
      return Frame(PingFrame{});
    case wire::Body_PongFrame:
      return Frame(PongFrame{});
    case wire::Body_RelayedStatementFrame:
      return detail::DecodeBody(*frame->body_as_RelayedStatementFrame());
    case wire::Body_RelayedReplyFrame:
      return detail::DecodeBody(*frame->body_as_RelayedReplyFrame());
    case wire::Body_RelayedEndFrame:
      return Frame(
        RelayedEndFrame{ { frame->body_as_RelayedEndFrame()->session() } });
    case wire::Body_LimitRequestFrame:
      return detail::DecodeBody(*frame->body_as_LimitRequestFrame());
    case wire::Body_LimitReplyFrame:
      return detail::DecodeBody(*frame->body_as_LimitReplyFrame());
    case wire::Body_FenceRequestFrame:
      return detail::DecodeBody(*frame->body_as_FenceRequestFrame());
    case wire::Body_FenceReplyFrame:
      return detail::DecodeBody(*frame->body_as_FenceReplyFrame());
    default:
      return Error{ ErrorCode::BadFrame, "frame", "the body type is unknown" };
  }
}

} // namespace marigoldpitch
