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
constexpr size_t kMaxTextBytes = 16U << 20; // of a decompressed document

std::string
StringOrEmpty(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

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
  const auto& revisions = aFrame.digest.revisions;
  const auto& ages = aFrame.digest.ages;
  return { wire::Body_DigestFrame,
           wire::CreateDigestFrame(aBuilder,
                                   revisions[0],
                                   revisions[1],
                                   aFrame.draining,
                                   revisions[2],
                                   EncodeDuration(ages[0]),
                                   EncodeDuration(ages[1]),
                                   EncodeDuration(ages[2]),
                                   revisions[3],
                                   EncodeDuration(ages[3]))
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
           wire::CreateDocumentFrame(
             aBuilder, kind, document.revision, packed, size)
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

Result<Frame>
DecodeBody(const wire::DocumentFrame& aFrame)
{
  DocumentFrame frame;
  BOOST_OUTCOME_TRY(
    auto kind, DecodeName(kDocumentKindNames, "document.kind", aFrame.kind()));
  frame.document.kind = kind;
  frame.document.revision = aFrame.revision();
  BOOST_OUTCOME_TRY(auto text, Decompress(aFrame.packed(), aFrame.bytes()));
  frame.document.text = text;
  return Frame(std::move(frame));
}

Frame
DecodeBody(const wire::DigestFrame& aFrame)
{
  DigestFrame frame;
  frame.digest.revisions = {
    aFrame.configuration(), aFrame.hosts(), aFrame.upstreams(), aFrame.groups()
  };
  frame.digest.ages = { DecodeDuration(aFrame.configuration_age_ms()),
                        DecodeDuration(aFrame.hosts_age_ms()),
                        DecodeDuration(aFrame.upstreams_age_ms()),
                        DecodeDuration(aFrame.groups_age_ms()) };
  frame.draining = aFrame.draining();
  return frame;
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
    default:
      return Error{ ErrorCode::BadFrame, "frame", "the body type is unknown" };
  }
}

} // namespace marigoldpitch
