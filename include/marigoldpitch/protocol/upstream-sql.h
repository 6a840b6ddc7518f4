#ifndef MARIGOLDPITCH_PROTOCOL_UPSTREAM_SQL_H
#define MARIGOLDPITCH_PROTOCOL_UPSTREAM_SQL_H

#include "marigoldpitch/coordination/owner/upstream-call.h"
#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/error.h"

#include <string>
#include <vector>

/** Converts steps to SQL and SQL results to step results. */
namespace marigoldpitch {

/** The result of one statement, independent of the client library. */
struct SqlResult
{
  bool done = false; // the statement succeeded
  bool skipped = false;
  std::string sqlState;
  std::string message;
  Rows rows;
};

Statement
ToSql(const Step& aStep);

StepResult
FromSql(const Step& aStep, const SqlResult& aResult);

/**
 * The statements of a batch. Before a transaction begins, the session's own
 * values, temporary tables and locks are discarded: an earlier caller's
 * `SELECT` can leave them behind on the connection.
 */
std::vector<Statement>
ToSql(const Batch& aBatch);

/** `aResults` are those of the statements of `ToSql(aBatch)`. */
BatchResult
FromSql(const Batch& aBatch, const std::vector<SqlResult>& aResults);

Statement
StatusSql();
Statement
AdoptTermSql(Term aTerm);
Statement
PromoteSql(Term aTerm);

/** Ends another session of the same user, by its backend process id. */
Statement
TerminateSql(int aBackend);
Statement
FollowSql(Term aTerm, const Endpoint& aPrimary);

/**
 * Parses the column `state`, which holds
 * `role term followed last_term term_start received replayed heard_ms leaving`.
 */
Result<UpstreamStatus>
ParseStatus(const Rows& aRows);

/** Parses the result of `AdoptTermSql`. */
Result<AdoptedLog>
ParseAdoptedLog(const Rows& aRows);

/** Parses the result of `PromoteSql`: the start of the new term. */
Result<Position>
ParsePromotionStart(const Rows& aRows);

std::string
EncodeRecord(const RequestRecord& aRecord);
Result<RequestRecord>
DecodeRecord(const std::string& aText);

} // namespace marigoldpitch

#endif
