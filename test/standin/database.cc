#include "database.h"

#include <algorithm>
#include <sstream>

namespace marigoldpitch::standin {

namespace {

std::vector<std::string>
Words(const std::string& aSql)
{
  std::string spaced;
  for (char c : aSql) {
    bool isMark = c == '(' || c == ')' || c == ',' || c == '=';
    spaced += isMark ? std::string(" ") + c + " " : std::string(1, c);
  }
  std::istringstream in(spaced);
  std::vector<std::string> words;
  for (std::string word; in >> word;) {
    words.push_back(word);
  }
  return words;
}

Outcome
Fail(std::string aState, std::string aMessage)
{
  Outcome outcome;
  outcome.error = SqlError{ std::move(aState), std::move(aMessage) };
  return outcome;
}

Outcome
Tag(std::string aTag)
{
  Outcome outcome;
  outcome.tag = std::move(aTag);
  return outcome;
}

Outcome
OneRow(std::vector<std::string> aColumns, std::vector<std::string> aCells)
{
  Outcome outcome;
  outcome.hasRows = true;
  outcome.tag = "SELECT 1";
  outcome.rows.columns = std::move(aColumns);
  outcome.rows.rows.emplace_back(aCells.begin(), aCells.end());
  return outcome;
}

std::string
Parameter(const Statement& aStatement, size_t aIndex)
{
  return aIndex < aStatement.parameters.size()
           ? aStatement.parameters[aIndex].value_or("")
           : std::string();
}

/** Returns parameter 1 for `$2`, and any other word unchanged. */
std::string
Operand(const std::string& aWord, const Statement& aStatement)
{
  if (aWord.size() > 1 && aWord[0] == '$') {
    return Parameter(aStatement, std::stoul(aWord.substr(1)) - 1);
  }
  return aWord;
}

std::string
Sum(const std::string& aLeft, const std::string& aRight)
{
  return std::to_string(std::atoll(aLeft.c_str()) + std::atoll(aRight.c_str()));
}

} // namespace

Database::Database(Role aRole, Term aTerm)
  : role(aRole)
  , term(aTerm)
  , followedTerm(aRole == Role::Primary ? aTerm : 0)
{
}

Term
Database::LastTerm() const
{
  return this->log.empty() ? 0 : this->log.back().term;
}

UpstreamStatus
Database::Status(Time aNow) const
{
  UpstreamStatus status;
  status.role = this->role;
  status.term = this->term;
  status.followedTerm = this->followedTerm;
  status.lastTerm = this->LastTerm();
  status.termStart = this->termStart;
  status.received = this->log.size();
  status.replayed = this->replayed;
  status.sincePrimaryContact =
    this->role == Role::Primary ? Duration{}
                                : std::min(aNow - this->heardAt, Seconds(3600));
  status.leaving = this->knobs.leaving;
  return status;
}

Outcome
Database::Execute(Transaction& aTransaction,
                  const Statement& aStatement,
                  Time aNow)
{
  this->Replay(aNow);
  std::vector<std::string> words = Words(aStatement.sql);
  if (words.empty()) {
    return Fail("42601", "empty statement");
  }
  const std::string& verb = words[0];
  if (verb == "ROLLBACK") {
    this->RollBack(aTransaction);
    return Tag("ROLLBACK");
  }
  if (aTransaction.aborted) {
    return Fail("25P02", "current transaction is aborted");
  }
  if (verb == "BEGIN") {
    aTransaction.open = true;
    aTransaction.readOnly = words.size() > 1;
    aTransaction.term = this->term;
    return Tag("BEGIN");
  }
  Outcome outcome;
  if (verb == "COMMIT") {
    outcome = this->Commit(aTransaction);
  } else if (verb == "SELECT" && words.size() > 3 &&
             words[3].rfind("marigoldpitch_", 0) == 0 &&
             words[3] != "marigoldpitch_record") {
    outcome = this->Call(words[3], aStatement, aNow);
  } else if (verb == "SELECT") {
    outcome = this->Select(aTransaction, words, aStatement);
  } else if (verb == "INSERT" || verb == "UPDATE") {
    outcome = this->Write(aTransaction, words, aStatement);
  } else {
    outcome = Fail("42601", "unsupported statement: " + verb);
  }
  if (outcome.error && aTransaction.open) {
    aTransaction.aborted = true;
  }
  return outcome;
}

void
Database::RollBack(Transaction& aTransaction)
{
  for (const std::string& claim : aTransaction.claims) {
    this->claimed.erase(claim);
  }
  aTransaction = {};
}

Outcome
Database::Commit(Transaction& aTransaction)
{
  Transaction done = aTransaction;
  this->RollBack(aTransaction);
  if (done.ops.empty()) {
    return Tag("COMMIT");
  }
  // A transaction that began in an earlier term must not commit.
  if (this->role != Role::Primary || done.term != this->term) {
    return Fail("25006", "cannot commit: no longer primary in this term");
  }
  LogEntry entry{ this->term, done.ops };
  this->Apply(entry);
  this->log.push_back(std::move(entry));
  this->replayed = this->log.size();
  return Tag("COMMIT");
}

std::optional<std::string>
Database::Value(const Transaction& aTransaction,
                const std::string& aTable,
                const std::string& aKey) const
{
  std::optional<std::string> value;
  auto table = this->tables.find(aTable);
  if (table != this->tables.end()) {
    auto row = table->second.find(aKey);
    if (row != table->second.end()) {
      value = row->second;
    }
  }
  for (const Op& op : aTransaction.ops) {
    if (op.table == aTable && op.key == aKey) {
      value =
        op.kind == OpKind::Add ? Sum(value.value_or("0"), op.value) : op.value;
    }
  }
  return value;
}

// Supports two forms:
// SELECT value FROM table WHERE key = $1
// SELECT count FROM table
Outcome
Database::Select(const Transaction& aTransaction,
                 const std::vector<std::string>& aWords,
                 const Statement& aStatement)
{
  if (aWords.size() == 4 && aWords[1] == "count") {
    return OneRow({ "count" },
                  { std::to_string(this->tables[aWords[3]].size()) });
  }
  if (aWords.size() < 8 || aWords[2] != "FROM") {
    return Fail("42601", "unsupported form of SELECT");
  }
  std::string key = Operand(aWords[7], aStatement);
  auto value = this->Value(aTransaction, aWords[3], key);
  if (value) {
    return OneRow({ "value" }, { *value });
  }
  Outcome outcome;
  outcome.hasRows = true;
  outcome.tag = "SELECT 0";
  outcome.rows.columns = { "value" };
  return outcome;
}

// Supports three forms:
// INSERT INTO table (key, value) VALUES ($1, $2)
// UPDATE table SET value = $2 WHERE key = $1
// UPDATE table SET value = value + $2 WHERE key = $1
Outcome
Database::Write(Transaction& aTransaction,
                const std::vector<std::string>& aWords,
                const Statement& aStatement)
{
  if (this->role != Role::Primary || aTransaction.readOnly) {
    return Fail("25006", "cannot write: replica or read-only transaction");
  }
  bool isAlone = !aTransaction.open;
  if (isAlone) {
    aTransaction.open = true;
    aTransaction.term = this->term;
  }
  Op op;
  std::string tag;
  if (aWords[0] == "INSERT" && aWords.size() >= 14) {
    op = { OpKind::Insert,
           aWords[2],
           Operand(aWords[10], aStatement),
           Operand(aWords[12], aStatement) };
    std::string claim = op.table + "/" + op.key;
    bool isChecked =
      this->knobs.uniqueRecords || op.table != "marigoldpitch_record";
    if (isChecked && this->Value(aTransaction, op.table, op.key)) {
      return Fail("23505", "duplicate key in " + op.table);
    }
    if (isChecked && !this->claimed.insert(claim).second) {
      return Fail("55P03", "key is locked: another transaction inserts it");
    }
    aTransaction.claims.insert(claim);
    tag = "INSERT 0 1";
  } else if (aWords[0] == "UPDATE" && aWords.size() >= 10) {
    bool isAdd = aWords[5] == "value";
    op.kind = isAdd ? OpKind::Add : OpKind::Set;
    op.table = aWords[1];
    op.value = Operand(aWords[isAdd ? 7 : 5], aStatement);
    op.key = Operand(aWords.back(), aStatement);
    if (!this->Value(aTransaction, op.table, op.key)) {
      tag = "UPDATE 0";
    } else {
      tag = "UPDATE 1";
    }
  } else {
    return Fail("42601", "unsupported form of " + aWords[0]);
  }
  if (tag != "UPDATE 0") {
    aTransaction.ops.push_back(op);
  }
  if (isAlone) {
    Outcome committed = this->Commit(aTransaction);
    if (committed.error) {
      return committed;
    }
  }
  return Tag(tag);
}

void
Database::Apply(const LogEntry& aEntry)
{
  for (const Op& op : aEntry.ops) {
    std::string& cell = this->tables[op.table][op.key];
    cell = op.kind == OpKind::Add ? Sum(cell, op.value) : op.value;
  }
}

Outcome
Database::Call(const std::string& aName, const Statement& aStatement, Time aNow)
{
  Term asked = std::strtoull(Parameter(aStatement, 0).c_str(), nullptr, 10);
  if (aName == "marigoldpitch_status") {
    UpstreamStatus status = this->Status(aNow);
    std::ostringstream state;
    state << kRoleNames.NameOf(status.role) << ' ' << status.term << ' '
          << status.followedTerm << ' ' << status.lastTerm << ' '
          << status.termStart << ' ' << status.received << ' '
          << status.replayed << ' ' << status.sincePrimaryContact.ms << ' '
          << (status.leaving ? 1 : 0);
    return OneRow({ "state" }, { state.str() });
  }
  if (aName == "marigoldpitch_adopt_term") {
    return this->AdoptTerm(asked);
  }
  if (aName == "marigoldpitch_promote") {
    return this->Promote(asked);
  }
  if (aName == "marigoldpitch_follow") {
    return this->Follow(aStatement);
  }
  return Fail("42883", "no such function: " + aName);
}

Outcome
Database::AdoptTerm(Term aTerm)
{
  if (aTerm <= this->term) {
    return Fail("MP001", std::to_string(this->term));
  }
  this->term = aTerm;
  this->role = Role::Detached;
  this->leftPrimary = true;
  return OneRow({ "last_term", "received", "followed" },
                { std::to_string(this->LastTerm()),
                  std::to_string(this->log.size()),
                  std::to_string(this->followedTerm) });
}

Outcome
Database::Promote(Term aTerm)
{
  if (aTerm != this->term || this->role != Role::Detached) {
    return Fail("MP001", std::to_string(this->term));
  }
  this->arrivals.assign(this->arrivals.size(), kInfinitePast);
  this->Replay({});
  this->role = Role::Primary;
  this->followedTerm = aTerm;
  this->termStart = this->log.size();
  return OneRow({ "term_start" }, { std::to_string(this->termStart) });
}

Outcome
Database::Follow(const Statement& aStatement)
{
  Term asked = std::strtoull(Parameter(aStatement, 0).c_str(), nullptr, 10);
  bool leadsIt = asked == this->term && this->role == Role::Primary;
  if (asked < this->term || leadsIt) {
    return Fail("MP001", std::to_string(this->term));
  }
  this->term = asked;
  this->role = Role::Detached;
  this->followOrder = FollowOrder{
    asked,
    Parameter(aStatement, 1),
    static_cast<uint16_t>(std::atoi(Parameter(aStatement, 2).c_str())),
  };
  return OneRow({ "term" }, { std::to_string(asked) });
}

void
Database::Receive(LogEntry aEntry, Time aNow)
{
  this->log.push_back(std::move(aEntry));
  this->arrivals.push_back(aNow);
}

void
Database::Replay(Time aNow)
{
  while (!this->arrivals.empty()) {
    bool isDue = this->arrivals.front() == kInfinitePast ||
                 this->arrivals.front() + this->knobs.replayLag <= aNow;
    if (!isDue) {
      return;
    }
    this->arrivals.pop_front();
    this->Apply(this->log[this->replayed]);
    ++this->replayed;
  }
}

void
Database::Reset()
{
  this->log.clear();
  this->arrivals.clear();
  this->tables.clear();
  this->followedTerm = 0;
  this->replayed = 0;
}

bool
Database::HasPrefix(Position aPosition, Term aLastTerm) const
{
  if (aPosition == 0) {
    return true;
  }
  return aPosition <= this->log.size() &&
         this->log[aPosition - 1].term == aLastTerm;
}

void
Database::Followed(Term aTerm, Position aTermStart)
{
  this->role = Role::Replica;
  this->term = aTerm;
  this->followedTerm = aTerm;
  this->termStart = aTermStart;
}

} // namespace marigoldpitch::standin
