#ifndef MARIGOLDPITCH_TEST_STANDIN_DATABASE_H
#define MARIGOLDPITCH_TEST_STANDIN_DATABASE_H

#include "marigoldpitch/state/request.h"
#include "marigoldpitch/state/upstream-status.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/** The in-memory database of a stand-in upstream: rows, log and terms. */
namespace marigoldpitch::standin {

enum class RowChangeKind
{
  Insert,
  Set,
  Add,
};

/** An insert, an update, or an addition to a number in a row. */
struct RowChange
{
  RowChangeKind kind = RowChangeKind::Insert;
  std::string table;
  std::string key;
  std::string value;
};

struct LogEntry
{
  Term term = 0;
  std::vector<RowChange> changes;
};

struct SqlError
{
  std::string state;
  std::string message;
};

/** The result of a statement: a command tag with any rows, or an error. */
struct StatementResult
{
  std::optional<SqlError> error;
  std::string tag;
  Rows rows;
  bool hasRows = false;
};

/** A session's own values, which statements of any transaction can read. */
using SessionValues = std::map<std::string, std::string>;

/** The state of a session and of its transaction. */
struct Transaction
{
  SessionValues startValues;  // what discarding sets the values to
  SessionValues values;       // kept until the session discards them
  SessionValues valuesBefore; // at the start of the open transaction
  bool hasPipelined = false;  // a statement ran since the last Sync or commit
  bool open = false;
  bool aborted = false;
  bool readOnly = false;
  Term term = 0;
  std::vector<RowChange> changes;
  std::set<std::string> insertedKeys;
};

/** Faults and limits that tests set. */
struct TestSettings
{
  Duration replayLag; // from receipt of an entry until a replica replays it
  bool leaving = false;
  size_t maxConnections = 100;

  /** False: duplicate request records, as without their unique key. */
  bool enforceUniqueRecords = true;
};

class Database
{
public:
  Database(Role aRole, Term aTerm);

  StatementResult Execute(Transaction& aTransaction,
                          const Statement& aStatement,
                          Time aNow);
  void RollBack(Transaction& aTransaction);

  UpstreamStatus Status(Time aNow) const;

  // Replication.
  void Receive(LogEntry aEntry, Time aNow);
  void Reset();
  bool HasPrefix(Position aPosition, Term aLastTerm) const;
  void BecomeReplica(Term aTerm, Position aTermStart);
  void NotePrimaryContact(Time aNow) { this->lastPrimaryContact = aNow; }
  void Replay(Time aNow);

  const std::vector<LogEntry>& Log() const { return this->log; }
  Role CurrentRole() const { return this->role; }
  Term CurrentTerm() const { return this->term; }
  Position TermStart() const { return this->termStart; }
  Term LastTerm() const;

  TestSettings testSettings;

  /** The primary to replicate from, as named by `marigoldpitch_follow`. */
  struct FollowTarget
  {
    Term term = 0;
    std::string address;
    uint16_t port = 0;
  };
  std::optional<FollowTarget> newFollowTarget; // until replication acts on it

  /** A new term was adopted: all replication connections must close. */
  bool mustCloseReplication = false;

private:
  using Table = std::map<std::string, std::string>;

  StatementResult CallFunction(const std::string& aName,
                               const Statement& aStatement,
                               Time aNow);
  StatementResult Select(const Transaction& aTransaction,
                         const std::vector<std::string>& aWords,
                         const Statement& aStatement);
  StatementResult Write(Transaction& aTransaction,
                        const std::vector<std::string>& aWords,
                        const Statement& aStatement);
  StatementResult Commit(Transaction& aTransaction);
  StatementResult Run(Transaction& aTransaction,
                      const std::vector<std::string>& aWords,
                      const Statement& aStatement,
                      Time aNow);
  StatementResult AdoptTerm(Term aTerm);
  StatementResult Promote(Term aTerm);
  StatementResult Follow(const Statement& aStatement);
  std::optional<std::string> FindValue(const Transaction& aTransaction,
                                       const std::string& aTable,
                                       const std::string& aKey) const;
  void Apply(const LogEntry& aEntry);

  Role role;
  Term term;
  Term followedTerm = 0;
  Position termStart = 0;
  Position replayed = 0;
  Time lastPrimaryContact = kInfinitePast;
  std::vector<LogEntry> log;
  std::deque<Time> arrivalTimes; // of received entries not yet replayed
  std::map<std::string, Table> tables;
  std::set<std::string> lockedKeys; // keys inserted by open transactions
};

} // namespace marigoldpitch::standin

#endif
