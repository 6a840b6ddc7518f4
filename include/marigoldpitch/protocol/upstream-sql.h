#ifndef MARIGOLDPITCH_PROTOCOL_UPSTREAM_SQL_H
#define MARIGOLDPITCH_PROTOCOL_UPSTREAM_SQL_H

#include "marigoldpitch/coordination/upstream-call.h"
#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/error.h"

#include <string>
#include <vector>

/** The SQL behind the steps, and what comes back. */
namespace marigoldpitch {

/** One result of the upstream, free of the client library. */
struct SqlResult
{
  bool done = false;
  bool skipped = false;
  std::string sqlState;
  std::string message;
  Rows rows;
};

Statement
ToSql(const Step& aStep);

StepResult
FromSql(const Step& aStep, const SqlResult& aResult);

BatchResult
FromSql(const Batch& aBatch, const std::vector<SqlResult>& aResults);

Statement
StatusSql();
Statement
AdoptTermSql(Term aTerm);
Statement
PromoteSql(Term aTerm);

/** Ends another session of the same user, by the upstream's number for it. */
Statement
TerminateSql(int aBackend);
Statement
FollowSql(Term aTerm, const Endpoint& aPrimary);

/**
 * `role term followed last_term term_start received replayed heard_ms leaving`
 * in the column `state`.
 */
Result<UpstreamStatus>
ParseStatus(const Rows& aRows);

/** What `AdoptTermSql` answers. */
Result<AdoptedLog>
ParseAdopted(const Rows& aRows);

/** What `PromoteSql` answers: where the new term starts. */
Result<Position>
ParsePromoted(const Rows& aRows);

std::string
EncodeRecord(const Record& aRecord);
Result<Record>
DecodeRecord(const std::string& aText);

} // namespace marigoldpitch

#endif
