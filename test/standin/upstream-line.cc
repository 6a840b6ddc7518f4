#include "standin/upstream-line.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace marigoldpitch::standin {

namespace {

/** Takes the fields of a line one after the other. */
class FieldReader
{
public:
  explicit FieldReader(std::string_view aText)
    : rest(aText)
  {
  }

  /** The next field, which another one follows; empty if it is missing. */
  std::string Next()
  {
    if (!this->rest) {
      return {};
    }
    size_t blank = this->rest->find(' ');
    std::string field(this->rest->substr(0, blank));
    this->rest = blank == std::string_view::npos
                   ? std::nullopt
                   : std::make_optional(this->rest->substr(blank + 1));
    return field;
  }

  /** All that is left; unset if the line ended with the field before. */
  std::optional<std::string> Last()
  {
    auto last = std::exchange(this->rest, std::nullopt);
    return last ? std::make_optional(std::string(*last)) : std::nullopt;
  }

  bool AtEnd() const { return !this->rest; }

private:
  std::optional<std::string_view> rest;
};

std::optional<uint64_t>
ReadNumber(std::string_view aText)
{
  uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  auto parsed = std::from_chars(aText.data(), end, value);
  bool isNumber =
    !aText.empty() && parsed.ec == std::errc() && parsed.ptr == end;
  return isNumber ? std::make_optional(value) : std::nullopt;
}

std::optional<LogPoint>
ReadPoint(const std::string& aText)
{
  size_t dot = std::min(aText.find('.'), aText.size());
  auto term = ReadNumber(std::string_view(aText).substr(0, dot));
  auto position = dot == aText.size()
                    ? std::nullopt
                    : ReadNumber(std::string_view(aText).substr(dot + 1));
  return term && position ? std::make_optional(LogPoint{ *term, *position })
                          : std::nullopt;
}

struct Verb
{
  const char* word;
  StatementKind kind;
};

constexpr Verb kVerbs[] = {
  { "BEGIN", StatementKind::Begin },       { "COMMIT", StatementKind::Commit },
  { "ROLLBACK", StatementKind::RollBack }, { "READ", StatementKind::Read },
  { "WRITE", StatementKind::Write },       { "SET", StatementKind::SetValue },
  { "PREPARE", StatementKind::Prepare },   { "EXEC", StatementKind::Execute },
  { "FORGET", StatementKind::Forget },     { "RESET", StatementKind::Reset },
  { "STATUS", StatementKind::Status },     { "HOLD", StatementKind::Hold },
  { "RESUME", StatementKind::Resume },     { "DEMOTE", StatementKind::Demote },
};

std::optional<StatementKind>
ReadVerb(const std::string& aWord)
{
  for (const Verb& verb : kVerbs) {
    if (aWord == verb.word) {
      return verb.kind;
    }
  }
  return std::nullopt;
}

/** Reads the fields behind the verb; returns whether they are valid. */
bool
ReadFields(FieldReader& aFields, SessionStatement& aStatement)
{
  switch (aStatement.kind) {
    case StatementKind::Begin:
      if (aFields.AtEnd()) {
        return true;
      }
      aStatement.kind = StatementKind::BeginReadOnly;
      return aFields.Last() == "READ";
    case StatementKind::Read:
    case StatementKind::Forget:
      aStatement.name = aFields.Last().value_or("");
      return !aStatement.name.empty();
    case StatementKind::Write:
    case StatementKind::Execute:
      aStatement.writes = aStatement.kind == StatementKind::Write;
      aStatement.name = aFields.Next();
      aStatement.arguments = aFields.Last().value_or("");
      return !aStatement.name.empty() && !aStatement.arguments.empty();
    case StatementKind::SetValue: {
      aStatement.name = aFields.Next();
      auto value = aFields.Last();
      aStatement.arguments = value.value_or("");
      return !aStatement.name.empty() && value.has_value();
    }
    case StatementKind::Prepare: {
      aStatement.name = aFields.Next();
      std::string kind = aFields.Next();
      aStatement.writes = kind == "WRITE";
      aStatement.preparedText = aFields.Last().value_or("");
      return !aStatement.name.empty() && (kind == "READ" || kind == "WRITE") &&
             !aStatement.preparedText.empty();
    }
    case StatementKind::Hold:
    case StatementKind::Demote: {
      auto term = ReadNumber(aFields.Last().value_or(""));
      aStatement.term = term.value_or(0);
      return term.has_value();
    }
    default:
      return aFields.AtEnd();
  }
}

} // namespace

std::optional<UpstreamLine>
ReadUpstreamLine(std::string_view aLine)
{
  FieldReader fields(aLine);
  UpstreamLine line;
  if (aLine.size() > kMaxUpstreamLineBytes || fields.Next() != "QUERY") {
    return std::nullopt;
  }
  line.requestId = fields.Next();
  std::string word = fields.Next();
  if (word == "AFTER") {
    line.after = ReadPoint(fields.Next());
    word = fields.Next();
    if (!line.after) {
      return std::nullopt;
    }
  }
  auto kind = ReadVerb(word);
  if (line.requestId.empty() || !kind) {
    return std::nullopt;
  }
  line.statement.kind = *kind;
  return ReadFields(fields, line.statement) ? std::make_optional(line)
                                            : std::nullopt;
}

std::string
TextOf(const SessionStatement& aStatement)
{
  switch (aStatement.kind) {
    case StatementKind::Read:
      return "READ " + aStatement.name;
    case StatementKind::Write:
      return "WRITE " + aStatement.name + " " + aStatement.arguments;
    case StatementKind::Execute:
      return "EXEC " + aStatement.arguments;
    default:
      return std::string(kStatementKindNames.TextOf(aStatement.kind));
  }
}

} // namespace marigoldpitch::standin
