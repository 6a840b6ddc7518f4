#include "marigoldpitch/coordination/owner/group-engine.h"

// Transactions: each holds one connection until it ends.

namespace marigoldpitch {

void
GroupEngine::StartInTransaction(Work& aWork)
{
  const Request& request = aWork.request;
  auto found = this->transactions.find(request.transaction);
  if (found == this->transactions.end()) {
    if (request.operation == Operation::Commit) {
      // An earlier commit may have been sent: its record gives the outcome.
      aWork.mustResolve = true;
      this->StartOnPrimary(aWork);
    } else if (request.operation == Operation::RollBack) {
      this->Finish(aWork, Outcome::Ok, "");
    } else {
      this->Finish(aWork,
                   Outcome::NotRun,
                   "the transaction no longer exists: it was rolled back");
    }
    return;
  }
  Transaction& transaction = found->second;
  if (transaction.session != request.session) {
    this->Finish(
      aWork, Outcome::Invalid, "transaction: it belongs to another session");
    return;
  }
  const Connection* connection = this->connections.Find(transaction.connection);
  bool isFree = connection->state == ConnectionState::IdleInTransaction &&
                this->connections.HasFreeSlot(connection->upstream);
  if (!isFree) {
    return;
  }
  transaction.lastUsed = this->now;
  if (request.operation == Operation::Commit) {
    Step claim;
    claim.kind = StepKind::ClaimRecord;
    claim.record = RecordKey(request);
    Step store;
    store.kind = StepKind::StoreResult;
    store.record = RecordKey(request);
    Step commit;
    commit.kind = StepKind::Commit;
    Step status;
    this->Run(aWork,
              connection->id,
              WorkPhase::Committing,
              { claim, store, commit, status });
    return;
  }
  Step step;
  step.kind = request.operation == Operation::Statement ? StepKind::User
                                                        : StepKind::RollBack;
  step.statement = request.statement;
  this->Run(aWork, connection->id, WorkPhase::Running, { step });
}

void
GroupEngine::BeginDone(Work& aWork, const BatchResult& aResult)
{
  if (aResult.Failure() != nullptr) {
    this->CloseAndRemove(aWork.connection);
    return;
  }
  std::string id =
    this->options.owner + "/" + std::to_string(++this->lastTransaction);
  // The caller has gone, so nothing would ever end this transaction.
  if (aWork.handles.empty()) {
    this->CloseAndRemove(aWork.connection);
    return;
  }
  this->connections.Pin(aWork.connection, id);
  this->transactions[id] = { aWork.connection,
                             aWork.request.session,
                             this->now };
  Answer answer;
  answer.transaction = id;
  answer.source = Source::Primary;
  this->Finish(aWork, answer);
}

void
GroupEngine::StatementDone(Work& aWork, const BatchResult& aResult)
{
  if (aWork.request.operation == Operation::RollBack) {
    this->EndTransaction(aWork.request.transaction);
    this->Finish(aWork, Outcome::Ok, "");
    return;
  }
  auto found = this->transactions.find(aWork.request.transaction);
  if (found != this->transactions.end()) {
    found->second.lastUsed = this->now;
  }
  Answer answer;
  answer.source = Source::Primary;
  if (const StepResult* failure = aResult.Failure()) {
    answer = FailureAnswer(*failure);
  } else if (this->IsOverAnswerLimit(aResult.steps[0].rows)) {
    // The caller must not commit a statement whose result it did not get.
    ConnectionId connection = aWork.connection;
    this->Finish(aWork,
                 Outcome::Invalid,
                 this->OverLimitText() + "; the transaction was rolled back");
    this->CloseAndRemove(connection);
    return;
  } else {
    answer.rows = aResult.steps[0].rows;
  }
  this->Finish(aWork, answer);
}

void
GroupEngine::EndTransaction(const std::string& aTransaction)
{
  auto found = this->transactions.find(aTransaction);
  if (found == this->transactions.end()) {
    return;
  }
  this->connections.Unpin(found->second.connection);
  this->transactions.erase(found);
}

void
GroupEngine::ExpireTransactions()
{
  std::vector<ConnectionId> expired;
  for (const auto& [id, transaction] : this->transactions) {
    const Connection* connection =
      this->connections.Find(transaction.connection);
    bool isIdle =
      connection->state == ConnectionState::IdleInTransaction &&
      this->now - transaction.lastUsed > this->config.transactionIdleTimeout;
    if (isIdle) {
      this->Emit(AddLogLine{ LogEvent::TransactionExpired, id });
      expired.push_back(transaction.connection);
    }
  }
  for (ConnectionId connection : expired) {
    this->CloseAndRemove(connection);
  }
}

} // namespace marigoldpitch
