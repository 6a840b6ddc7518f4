#include "database.h"

#include <algorithm>
#include <sstream>

namespace marigoldpitch::standin {

namespace {

std::vector<std::string>
Tokenize(const std::string& aSql)
{
  std::string spaced;
  for (char c : aSql) {
    bool isPunctuation = c == '(' || c == ')' || c == ',' || c == '=';
    spaced += isPunctuation ? std::string(" ") + c + " " : std::string(1, c);
  }
  std::istringstream in(spaced);
  std::vector<std::string> words;
  for (std::string word; in >> word;) {
    words.push_back(word);
  }
  return words;
}

StatementResult
MakeError(std::string aState, std::string aMessage)
{
  StatementResult result;
  result.error = SqlError{ std::move(aState), std::move(aMessage) };
  return result;
}

StatementResult
CommandComplete(std::string aTag)
{
  StatementResult result;
  result.tag = std::move(aTag);
  return result;
}

StatementResult
OneRow(std::vector<std::string> aColumns, std::vector<std::string> aCells)
{
  StatementResult result;
  result.hasRows = true;
  result.tag = "SELECT 1";
  result.rows.columns = std::move(aColumns);
  result.rows.rows.emplace_back(aCells.begin(), aCells.end());
  return result;
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

// Supports two forms, for names with a dot and those set at the start:
// SELECT set_config($1, $2, false)
// SELECT current_setting($1)
StatementResult
AccessValue(SessionValues& aValues,
            const std::vector<std::string>& aWords,
            const Statement& aStatement)
{
  std::string name = Operand(aWords[3], aStatement);
  if (aWords[1] == "set_config" && aWords.size() == 9) {
    aValues[name] = Operand(aWords[5], aStatement);
  }
  auto found = aValues.find(name);
  if (found == aValues.end()) {
    return MakeError("42704", "unrecognized configuration parameter " + name);
  }
  return OneRow({ aWords[1] }, { found->second });
}

/** A value without a start value becomes empty: its name stays known. */
StatementResult
DiscardAll(Transaction& aTransaction)
{
  if (aTransaction.open || aTransaction.hasPipelined) {
    return MakeError("25001",
                     "DISCARD ALL cannot run inside a transaction block");
  }
  for (auto& [name, value] : aTransaction.values) {
    auto start = aTransaction.startValues.find(name);
    value = start == aTransaction.startValues.end() ? "" : start->second;
  }
  return CommandComplete("DISCARD ALL");
}

std::string
AddNumbers(const std::string& aLeft, const std::string& aRight)
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
    this->role == Role::Primary
      ? Duration{}
      : std::min(aNow - this->lastPrimaryContact, Seconds(3600));
  status.leaving = this->testSettings.leaving;
  return status;
}

StatementResult
Database::Execute(Transaction& aTransaction,
                  const Statement& aStatement,
                  Time aNow)
{
  this->Replay(aNow);
  std::vector<std::string> words = Tokenize(aStatement.sql);
  if (words.empty()) {
    return MakeError("42601", "empty statement");
  }
  const std::string& verb = words[0];
  if (verb == "ROLLBACK") {
    this->RollBack(aTransaction);
    return CommandComplete("ROLLBACK");
  }
  if (aTransaction.aborted) {
    return MakeError("25P02", "current transaction is aborted");
  }
  if (verb == "BEGIN") {
    aTransaction.open = true;
    aTransaction.readOnly = words.size() > 1;
    aTransaction.term = this->term;
    aTransaction.valuesBefore = aTransaction.values;
    return CommandComplete("BEGIN");
  }
  StatementResult result = this->Run(aTransaction, words, aStatement, aNow);
  if (result.error && aTransaction.open) {
    aTransaction.aborted = true;
  }
  return result;
}

StatementResult
Database::Run(Transaction& aTransaction,
              const std::vector<std::string>& aWords,
              const Statement& aStatement,
              Time aNow)
{
  const std::string& verb = aWords[0];
  if (verb == "COMMIT") {
    return this->Commit(aTransaction);
  }
  if (verb == "DISCARD" && aWords.size() == 2 && aWords[1] == "ALL") {
    return DiscardAll(aTransaction);
  }
  aTransaction.hasPipelined = true;
  if (verb == "SELECT" && aWords.size() > 3 &&
      aWords[3].rfind("marigoldpitch_", 0) == 0 &&
      aWords[3] != "marigoldpitch_record") {
    return this->CallFunction(aWords[3], aStatement, aNow);
  }
  if (verb == "SELECT" && aWords.size() > 4 &&
      (aWords[1] == "set_config" || aWords[1] == "current_setting")) {
    return AccessValue(aTransaction.values, aWords, aStatement);
  }
  if (verb == "SELECT") {
    return this->Select(aTransaction, aWords, aStatement);
  }
  if (verb == "INSERT" || verb == "UPDATE") {
    return this->Write(aTransaction, aWords, aStatement);
  }
  return MakeError("42601", "unsupported statement: " + verb);
}

void
Database::RollBack(Transaction& aTransaction)
{
  for (const std::string& lockedKey : aTransaction.insertedKeys) {
    this->lockedKeys.erase(lockedKey);
  }
  SessionValues values =
    aTransaction.open ? aTransaction.valuesBefore : aTransaction.values;
  SessionValues startValues = std::move(aTransaction.startValues);
  aTransaction = {};
  aTransaction.startValues = std::move(startValues);
  aTransaction.values = std::move(values);
}

StatementResult
Database::Commit(Transaction& aTransaction)
{
  Transaction transaction = aTransaction;
  this->RollBack(aTransaction);
  if (transaction.changes.empty()) {
    aTransaction.values = transaction.values;
    return CommandComplete("COMMIT");
  }
  // A transaction that began in an earlier term must not commit.
  if (this->role != Role::Primary || transaction.term != this->term) {
    return MakeError("25006", "cannot commit: no longer primary in this term");
  }
  LogEntry entry{ this->term, transaction.changes };
  this->Apply(entry);
  this->log.push_back(std::move(entry));
  this->replayed = this->log.size();
  aTransaction.values = transaction.values;
  return CommandComplete("COMMIT");
}

std::optional<std::string>
Database::FindValue(const Transaction& aTransaction,
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
  for (const RowChange& change : aTransaction.changes) {
    if (change.table == aTable && change.key == aKey) {
      value = change.kind == RowChangeKind::Add
                ? AddNumbers(value.value_or("0"), change.value)
                : change.value;
    }
  }
  return value;
}

// Supports two forms:
// SELECT value FROM table WHERE key = $1
// SELECT count FROM table
StatementResult
Database::Select(const Transaction& aTransaction,
                 const std::vector<std::string>& aWords,
                 const Statement& aStatement)
{
  if (aWords.size() == 4 && aWords[1] == "count") {
    return OneRow({ "count" },
                  { std::to_string(this->tables[aWords[3]].size()) });
  }
  if (aWords.size() < 8 || aWords[2] != "FROM") {
    return MakeError("42601", "unsupported form of SELECT");
  }
  std::string key = Operand(aWords[7], aStatement);
  auto value = this->FindValue(aTransaction, aWords[3], key);
  if (value) {
    return OneRow({ "value" }, { *value });
  }
  StatementResult result;
  result.hasRows = true;
  result.tag = "SELECT 0";
  result.rows.columns = { "value" };
  return result;
}

// Supports three forms:
// INSERT INTO table (key, value) VALUES ($1, $2)
// UPDATE table SET value = $2 WHERE key = $1
// UPDATE table SET value = value + $2 WHERE key = $1
StatementResult
Database::Write(Transaction& aTransaction,
                const std::vector<std::string>& aWords,
                const Statement& aStatement)
{
  if (this->role != Role::Primary || aTransaction.readOnly) {
    return MakeError("25006", "cannot write: replica or read-only transaction");
  }
  bool isAutoCommit = !aTransaction.open;
  if (isAutoCommit) {
    aTransaction.open = true;
    aTransaction.term = this->term;
    aTransaction.valuesBefore = aTransaction.values;
  }
  RowChange change;
  std::string tag;
  if (aWords[0] == "INSERT" && aWords.size() >= 14) {
    change = { RowChangeKind::Insert,
               aWords[2],
               Operand(aWords[10], aStatement),
               Operand(aWords[12], aStatement) };
    std::string lockedKey = change.table + "/" + change.key;
    bool isUnique = this->testSettings.enforceUniqueRecords ||
                    change.table != "marigoldpitch_record";
    if (isUnique && this->FindValue(aTransaction, change.table, change.key)) {
      return MakeError("23505", "duplicate key in " + change.table);
    }
    if (isUnique && !this->lockedKeys.insert(lockedKey).second) {
      return MakeError("55P03",
                       "key is locked: another transaction inserts it");
    }
    aTransaction.insertedKeys.insert(lockedKey);
    tag = "INSERT 0 1";
  } else if (aWords[0] == "UPDATE" && aWords.size() >= 10) {
    bool isAdd = aWords[5] == "value";
    change.kind = isAdd ? RowChangeKind::Add : RowChangeKind::Set;
    change.table = aWords[1];
    change.value = Operand(aWords[isAdd ? 7 : 5], aStatement);
    change.key = Operand(aWords.back(), aStatement);
    if (!this->FindValue(aTransaction, change.table, change.key)) {
      tag = "UPDATE 0";
    } else {
      tag = "UPDATE 1";
    }
  } else {
    return MakeError("42601", "unsupported form of " + aWords[0]);
  }
  if (tag != "UPDATE 0") {
    aTransaction.changes.push_back(change);
  }
  if (isAutoCommit) {
    StatementResult committed = this->Commit(aTransaction);
    if (committed.error) {
      return committed;
    }
  }
  return CommandComplete(tag);
}

void
Database::Apply(const LogEntry& aEntry)
{
  for (const RowChange& change : aEntry.changes) {
    std::string& cell = this->tables[change.table][change.key];
    cell = change.kind == RowChangeKind::Add ? AddNumbers(cell, change.value)
                                             : change.value;
  }
}

StatementResult
Database::CallFunction(const std::string& aName,
                       const Statement& aStatement,
                       Time aNow)
{
  Term requestedTerm =
    std::strtoull(Parameter(aStatement, 0).c_str(), nullptr, 10);
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
    return this->AdoptTerm(requestedTerm);
  }
  if (aName == "marigoldpitch_promote") {
    return this->Promote(requestedTerm);
  }
  if (aName == "marigoldpitch_follow") {
    return this->Follow(aStatement);
  }
  return MakeError("42883", "no such function: " + aName);
}

StatementResult
Database::AdoptTerm(Term aTerm)
{
  if (aTerm <= this->term) {
    return MakeError("MP001", std::to_string(this->term));
  }
  this->term = aTerm;
  this->role = Role::Detached;
  this->mustCloseReplication = true;
  return OneRow({ "last_term", "received", "followed" },
                { std::to_string(this->LastTerm()),
                  std::to_string(this->log.size()),
                  std::to_string(this->followedTerm) });
}

StatementResult
Database::Promote(Term aTerm)
{
  if (aTerm != this->term || this->role != Role::Detached) {
    return MakeError("MP001", std::to_string(this->term));
  }
  this->arrivalTimes.assign(this->arrivalTimes.size(), kInfinitePast);
  this->Replay({});
  this->role = Role::Primary;
  this->followedTerm = aTerm;
  this->termStart = this->log.size();
  return OneRow({ "term_start" }, { std::to_string(this->termStart) });
}

StatementResult
Database::Follow(const Statement& aStatement)
{
  Term requestedTerm =
    std::strtoull(Parameter(aStatement, 0).c_str(), nullptr, 10);
  bool isPrimaryOfTerm =
    requestedTerm == this->term && this->role == Role::Primary;
  if (requestedTerm < this->term || isPrimaryOfTerm) {
    return MakeError("MP001", std::to_string(this->term));
  }
  this->term = requestedTerm;
  this->role = Role::Detached;
  this->newFollowTarget = FollowTarget{
    requestedTerm,
    Parameter(aStatement, 1),
    static_cast<uint16_t>(std::atoi(Parameter(aStatement, 2).c_str())),
  };
  return OneRow({ "term" }, { std::to_string(requestedTerm) });
}

void
Database::Receive(LogEntry aEntry, Time aNow)
{
  this->log.push_back(std::move(aEntry));
  this->arrivalTimes.push_back(aNow);
}

void
Database::Replay(Time aNow)
{
  while (!this->arrivalTimes.empty()) {
    bool isDue =
      this->arrivalTimes.front() == kInfinitePast ||
      this->arrivalTimes.front() + this->testSettings.replayLag <= aNow;
    if (!isDue) {
      return;
    }
    this->arrivalTimes.pop_front();
    this->Apply(this->log[this->replayed]);
    ++this->replayed;
  }
}

void
Database::Reset()
{
  this->log.clear();
  this->arrivalTimes.clear();
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
Database::BecomeReplica(Term aTerm, Position aTermStart)
{
  this->role = Role::Replica;
  this->term = aTerm;
  this->followedTerm = aTerm;
  this->termStart = aTermStart;
}

} // namespace marigoldpitch::standin
