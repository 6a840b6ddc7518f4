#include "marigoldpitch/protocol/upstream-sql.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <sstream>

namespace marigoldpitch {

namespace detail {

using nlohmann::json;

constexpr char kInsertRecord[] =
  "INSERT INTO marigoldpitch_record (key, value) VALUES ($1, $2)";
constexpr char kUpdateRecord[] =
  "UPDATE marigoldpitch_record SET value = $2 WHERE key = $1";
constexpr char kReadRecord[] =
  "SELECT value FROM marigoldpitch_record WHERE key = $1";

constexpr char kDiscardSession[] = "DISCARD ALL";

bool
BeginsTransaction(const Batch& aBatch)
{
  return !aBatch.empty() && (aBatch[0].kind == StepKind::Begin ||
                             aBatch[0].kind == StepKind::BeginReadOnly);
}

std::optional<std::string>
FirstRowCell(const Rows& aRows, const char* aColumn)
{
  for (size_t i = 0; i < aRows.columns.size(); ++i) {
    if (aRows.columns[i] == aColumn && !aRows.rows.empty() &&
        i < aRows.rows[0].size()) {
      return aRows.rows[0][i];
    }
  }
  return std::nullopt;
}

/** Reads numbers from the first row and collects the missing columns. */
class NumberRowReader
{
public:
  explicit NumberRowReader(const Rows& aRows)
    : rows(aRows)
  {
  }

  uint64_t ReadNumber(const char* aColumn)
  {
    uint64_t value = 0;
    auto text = FirstRowCell(this->rows, aColumn);
    const char* end = text ? text->data() + text->size() : nullptr;
    bool isNumber =
      text && std::from_chars(text->data(), end, value).ptr == end;
    if (!isNumber || text->empty()) {
      this->findings.Add(aColumn, "not a number");
    }
    return value;
  }

  Findings findings{ ErrorCode::BadMessage };

private:
  const Rows& rows;
};

Statement
MakeStatement(const char* aSql,
              std::vector<std::optional<std::string>> aParameters)
{
  return { aSql, std::move(aParameters) };
}

json
RowsToJson(const Rows& aRows)
{
  json rows = json::array();
  for (const auto& row : aRows.rows) {
    json line = json::array();
    for (const auto& cell : row) {
      line.push_back(cell ? json(*cell) : json(nullptr));
    }
    rows.push_back(std::move(line));
  }
  return { { "columns", aRows.columns },
           { "rows", std::move(rows) },
           { "affected", aRows.affected } };
}

Rows
RowsFromJson(const json& aValue)
{
  Rows rows;
  rows.columns = aValue.at("columns").get<std::vector<std::string>>();
  rows.affected = aValue.at("affected").get<uint64_t>();
  for (const json& line : aValue.at("rows")) {
    std::vector<std::optional<std::string>> row;
    for (const json& cell : line) {
      row.push_back(cell.is_null()
                      ? std::nullopt
                      : std::optional<std::string>(cell.get<std::string>()));
    }
    rows.rows.push_back(std::move(row));
  }
  return rows;
}

} // namespace detail

Statement
ToSql(const Step& aStep)
{
  switch (aStep.kind) {
    case StepKind::Begin:
      return detail::MakeStatement("BEGIN", {});
    case StepKind::BeginReadOnly:
      return detail::MakeStatement("BEGIN READ ONLY", {});
    case StepKind::User:
      return aStep.statement;
    case StepKind::ClaimRecord:
      return detail::MakeStatement(
        detail::kInsertRecord, { aStep.record, EncodeRecord({ true, {} }) });
    case StepKind::Tombstone:
      return detail::MakeStatement(
        detail::kInsertRecord, { aStep.record, EncodeRecord({ false, {} }) });
    case StepKind::ReadRecord:
      return detail::MakeStatement(detail::kReadRecord, { aStep.record });
    case StepKind::StoreResult:
      return detail::MakeStatement(
        detail::kUpdateRecord,
        { aStep.record, EncodeRecord({ true, aStep.result }) });
    case StepKind::Commit:
      return detail::MakeStatement("COMMIT", {});
    case StepKind::RollBack:
      return detail::MakeStatement("ROLLBACK", {});
    case StepKind::Status:
      return StatusSql();
  }
  return {};
}

StepResult
FromSql(const Step& aStep, const SqlResult& aResult)
{
  StepResult result;
  if (!aResult.done) {
    result.outcome =
      aResult.skipped ? StepOutcome::Skipped : StepOutcome::Failed;
    result.failure = ClassifySqlState(aResult.sqlState);
    result.sqlState = aResult.sqlState;
    result.message = aResult.message;
    return result;
  }
  result.outcome = StepOutcome::Done;
  result.rows = aResult.rows;
  if (aStep.kind == StepKind::Status) {
    auto status = ParseStatus(aResult.rows);
    if (status) {
      result.status = status.value();
    }
  }
  if (aStep.kind == StepKind::ReadRecord && !aResult.rows.rows.empty()) {
    auto record =
      DecodeRecord(detail::FirstRowCell(aResult.rows, "value").value_or(""));
    if (record) {
      result.record = record.value();
    }
  }
  return result;
}

std::vector<Statement>
ToSql(const Batch& aBatch)
{
  std::vector<Statement> statements;
  if (detail::BeginsTransaction(aBatch)) {
    statements.push_back(detail::MakeStatement(detail::kDiscardSession, {}));
  }
  for (const Step& step : aBatch) {
    statements.push_back(ToSql(step));
  }
  return statements;
}

BatchResult
FromSql(const Batch& aBatch, const std::vector<SqlResult>& aResults)
{
  SqlResult missing;
  missing.skipped = true;
  size_t first = detail::BeginsTransaction(aBatch) ? 1 : 0;
  BatchResult result;
  for (size_t i = 0; i < aBatch.size(); ++i) {
    size_t index = first + i;
    result.steps.push_back(
      FromSql(aBatch[i], index < aResults.size() ? aResults[index] : missing));
  }
  // A session that could not be cleaned begins no transaction.
  if (first == 1 && !aResults.empty() && !aResults[0].done) {
    result.steps[0] = FromSql(aBatch[0], aResults[0]);
  }
  return result;
}

Statement
StatusSql()
{
  return detail::MakeStatement("SELECT state FROM marigoldpitch_status()", {});
}

Statement
AdoptTermSql(Term aTerm)
{
  return detail::MakeStatement("SELECT * FROM marigoldpitch_adopt_term($1)",
                               { std::to_string(aTerm) });
}

Statement
PromoteSql(Term aTerm)
{
  return detail::MakeStatement("SELECT * FROM marigoldpitch_promote($1)",
                               { std::to_string(aTerm) });
}

Statement
TerminateSql(int aBackend)
{
  return detail::MakeStatement("SELECT pg_terminate_backend($1)",
                               { std::to_string(aBackend) });
}

Statement
FollowSql(Term aTerm, const Endpoint& aPrimary)
{
  return detail::MakeStatement(
    "SELECT * FROM marigoldpitch_follow($1, $2, $3)",
    { std::to_string(aTerm), aPrimary.address, std::to_string(aPrimary.port) });
}

Result<UpstreamStatus>
ParseStatus(const Rows& aRows)
{
  // The status is one short line because it is read many times a second.
  std::istringstream words(detail::FirstRowCell(aRows, "state").value_or(""));
  std::string role;
  UpstreamStatus status;
  int leaving = 0;
  words >> role >> status.term >> status.followedTerm >> status.lastTerm >>
    status.termStart >> status.received >> status.replayed >>
    status.sincePrimaryContact.ms >> leaving;
  auto known = kRoleNames.ValueOf(role);
  if (!words || !known) {
    return Error{ ErrorCode::BadMessage,
                  "status",
                  "not a valid upstream status" };
  }
  status.role = *known;
  status.leaving = leaving != 0;
  return status;
}

Result<AdoptedLog>
ParseAdoptedLog(const Rows& aRows)
{
  detail::NumberRowReader numbers(aRows);
  AdoptedLog log;
  log.end.term = numbers.ReadNumber("last_term");
  log.end.position = numbers.ReadNumber("received");
  log.followedTerm = numbers.ReadNumber("followed");
  if (!numbers.findings.Empty()) {
    return numbers.findings.ToError("adopt_term");
  }
  return log;
}

Result<Position>
ParsePromotionStart(const Rows& aRows)
{
  detail::NumberRowReader numbers(aRows);
  Position start = numbers.ReadNumber("term_start");
  if (!numbers.findings.Empty()) {
    return numbers.findings.ToError("promote");
  }
  return start;
}

std::string
EncodeRecord(const RequestRecord& aRecord)
{
  detail::json value{ { "ran", aRecord.ran },
                      { "result", detail::RowsToJson(aRecord.result) } };
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<RequestRecord>
DecodeRecord(const std::string& aText)
{
  Error bad{ ErrorCode::BadMessage, "record", "not a valid request record" };
  auto value = detail::json::parse(aText, nullptr, false);
  if (value.is_discarded()) {
    return bad;
  }
  try {
    RequestRecord record;
    record.ran = value.at("ran").get<bool>();
    record.result = detail::RowsFromJson(value.at("result"));
    return record;
  } catch (const nlohmann::json::exception& error) {
    bad.message = error.what();
    return bad;
  }
}

} // namespace marigoldpitch
