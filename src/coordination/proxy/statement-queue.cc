#include "marigoldpitch/coordination/proxy/statement-queue.h"

#include <algorithm>
#include <cmath>
#include <queue>

namespace marigoldpitch {

namespace detail {

// From here on, customers without a waiting statement whose turn has passed
// are forgotten.
constexpr size_t kMaxRememberedLines = 256;

} // namespace detail

double
StatementQueue::TurnOf(const Level& aLevel, const std::string& aCustomer) const
{
  auto line = aLevel.lines.find(aCustomer);
  return line == aLevel.lines.end()
           ? aLevel.turn
           : std::max(line->second.nextTurn, aLevel.turn);
}

void
StatementQueue::Insert(const QueuedStatement& aStatement)
{
  Level& level = this->levels[aStatement.priority];
  this->Forget(level);
  Line& line = level.lines[aStatement.customer];
  line.weight = aStatement.weight;
  if (line.statements.empty()) {
    line.nextTurn = std::max(line.nextTurn, level.turn);
  }
  bool isNew =
    line.statements.emplace(aStatement.deadlineMs, aStatement.caller).second;
  this->size += isNew ? 1 : 0;
}

void
StatementQueue::TakePlaced(const QueuedStatement& aStatement)
{
  this->Erase(aStatement);
  Level& level = this->levels[aStatement.priority];
  double turn = this->TurnOf(level, aStatement.customer);
  level.turn = turn;
  level.lines[aStatement.customer].nextTurn = turn + 1 / aStatement.weight;
}

void
StatementQueue::Erase(const QueuedStatement& aStatement)
{
  auto level = this->levels.find(aStatement.priority);
  if (level == this->levels.end()) {
    return;
  }
  auto line = level->second.lines.find(aStatement.customer);
  if (line != level->second.lines.end()) {
    this->size -= line->second.statements.erase(
      { aStatement.deadlineMs, aStatement.caller });
  }
}

size_t
StatementQueue::CountAhead(const QueuedStatement& aStatement) const
{
  size_t ahead = 0;
  for (const auto& [priority, level] : this->levels) {
    if (priority > aStatement.priority) {
      break;
    }
    size_t own = 0;
    auto line = level.lines.find(aStatement.customer);
    if (line != level.lines.end()) {
      const auto& statements = line->second.statements;
      own = static_cast<size_t>(std::distance(
        statements.begin(),
        statements.lower_bound({ aStatement.deadlineMs, aStatement.caller })));
    }
    double turn = this->TurnOf(level, aStatement.customer) +
                  static_cast<double>(own) / aStatement.weight;
    for (const auto& [customer, other] : level.lines) {
      if (priority < aStatement.priority) {
        ahead += other.statements.size();
      } else if (customer == aStatement.customer) {
        ahead += own;
      } else {
        double turns = std::ceil((turn - other.nextTurn) * other.weight);
        ahead += std::min(other.statements.size(),
                          static_cast<size_t>(std::max(turns, 0.0)));
      }
    }
  }
  return ahead;
}

std::vector<uint64_t>
StatementQueue::Head(size_t aMost) const
{
  struct Next
  {
    double turn;
    const Line* line;
    std::set<std::pair<int64_t, uint64_t>>::const_iterator statement;

    bool operator<(const Next& aOther) const // the lowest turn is on top
    {
      return std::tie(this->turn, *this->statement) >
             std::tie(aOther.turn, *aOther.statement);
    }
  };
  std::vector<uint64_t> head;
  for (const auto& [priority, level] : this->levels) {
    std::priority_queue<Next> order;
    for (const auto& [customer, line] : level.lines) {
      if (!line.statements.empty()) {
        double turn = std::max(line.nextTurn, level.turn);
        order.push({ turn, &line, line.statements.begin() });
      }
    }
    while (!order.empty() && head.size() < aMost) {
      Next next = order.top();
      order.pop();
      head.push_back(next.statement->second);
      ++next.statement;
      next.turn += 1 / next.line->weight;
      if (next.statement != next.line->statements.end()) {
        order.push(next);
      }
    }
  }
  return head;
}

void
StatementQueue::Forget(Level& aLevel)
{
  if (aLevel.lines.size() < detail::kMaxRememberedLines) {
    return;
  }
  for (auto it = aLevel.lines.begin(); it != aLevel.lines.end();) {
    const Line& line = it->second;
    bool isIdle = line.statements.empty() && line.nextTurn <= aLevel.turn;
    it = isIdle ? aLevel.lines.erase(it) : ++it;
  }
}

double
WeightOf(int aCustomerPriority)
{
  constexpr int kLowestPriority = 10;
  return std::exp2(-std::clamp(aCustomerPriority, 0, kLowestPriority));
}

} // namespace marigoldpitch
