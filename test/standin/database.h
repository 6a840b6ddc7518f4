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

enum class OpKind
{
  Insert,
  Set,
  Add,
};

/** An insert, an update, or an addition to a number in a row. */
struct Op
{
  OpKind kind = OpKind::Insert;
  std::string table;
  std::string key;
  std::string value;
};

struct LogEntry
{
  Term term = 0;
  std::vector<Op> ops;
};

struct SqlError
{
  std::string state;
  std::string message;
};

/** The result of a statement: a command tag with any rows, or an error. */
struct Outcome
{
  std::optional<SqlError> error;
  std::string tag;
  Rows rows;
  bool hasRows = false;
};

/** The state of a session's transaction. */
struct Transaction
{
  bool open = false;
  bool aborted = false;
  bool readOnly = false;
  Term term = 0;
  std::vector<Op> ops;
  std::set<std::string> claims;
};

/** Faults and limits that tests set. */
struct Knobs
{
  Duration replayLag; // from receipt of an entry until a replica replays it
  bool leaving = false;
  size_t connections = 100;

  /** False: duplicate request records, as without their unique key. */
  bool uniqueRecords = true;
};

class Database
{
public:
  Database(Role aRole, Term aTerm);

  Outcome Execute(Transaction& aTransaction,
                  const Statement& aStatement,
                  Time aNow);
  void RollBack(Transaction& aTransaction);

  UpstreamStatus Status(Time aNow) const;

  // Replication.
  void Receive(LogEntry aEntry, Time aNow);
  void Reset();
  bool HasPrefix(Position aPosition, Term aLastTerm) const;
  void Followed(Term aTerm, Position aTermStart);
  void Heard(Time aNow) { this->heardAt = aNow; }
  void Replay(Time aNow);

  const std::vector<LogEntry>& Log() const { return this->log; }
  Role CurrentRole() const { return this->role; }
  Term CurrentTerm() const { return this->term; }
  Position TermStart() const { return this->termStart; }
  Term LastTerm() const;

  Knobs knobs;

  /** The primary to replicate from, as named by `marigoldpitch_follow`. */
  struct FollowOrder
  {
    Term term = 0;
    std::string address;
    uint16_t port = 0;
  };
  std::optional<FollowOrder> followOrder; // until replication acts on it

  /** A new term was adopted: all replication connections must close. */
  bool leftPrimary = false;

private:
  using Table = std::map<std::string, std::string>;

  Outcome Call(const std::string& aName,
               const Statement& aStatement,
               Time aNow);
  Outcome Select(const Transaction& aTransaction,
                 const std::vector<std::string>& aWords,
                 const Statement& aStatement);
  Outcome Write(Transaction& aTransaction,
                const std::vector<std::string>& aWords,
                const Statement& aStatement);
  Outcome Commit(Transaction& aTransaction);
  Outcome AdoptTerm(Term aTerm);
  Outcome Promote(Term aTerm);
  Outcome Follow(const Statement& aStatement);
  std::optional<std::string> Value(const Transaction& aTransaction,
                                   const std::string& aTable,
                                   const std::string& aKey) const;
  void Apply(const LogEntry& aEntry);

  Role role;
  Term term;
  Term followedTerm = 0;
  Position termStart = 0;
  Position replayed = 0;
  Time heardAt = kInfinitePast;
  std::vector<LogEntry> log;
  std::deque<Time> arrivals; // of received entries not yet replayed
  std::map<std::string, Table> tables;
  std::set<std::string> claimed; // keys inserted by open transactions
};

} // namespace marigoldpitch::standin

#endif
