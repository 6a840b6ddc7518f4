#ifndef MARIGOLDPITCH_COORDINATION_PROXY_STATEMENT_QUEUE_H
#define MARIGOLDPITCH_COORDINATION_PROXY_STATEMENT_QUEUE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

/** The order in which the waiting statements of a service are placed. */
namespace marigoldpitch {

/** A waiting statement, as far as its order depends on it. */
struct QueuedStatement
{
  int priority = 0;     // of its route; 0 is the highest
  std::string customer; // empty: nobody's
  double weight = 1;    // of the customer's share, above 0
  int64_t deadlineMs = 0;
  uint64_t caller = 0;
};

/**
 * The waiting statements of a service. The priority of the route goes first.
 * Customers whose statements wait at one priority get shares in proportion to
 * their weights, however many statements each sends (start-time fair queueing);
 * a customer that has nothing waiting leaves its share to the others and saves
 * nothing up. The statements of one customer are ordered by their deadlines.
 */
class StatementQueue
{
public:
  void Insert(const QueuedStatement& aStatement);

  /** Takes out a statement that was placed, which uses its customer's turn. */
  void TakePlaced(const QueuedStatement& aStatement);

  /** Takes out a statement that is not placed. */
  void Erase(const QueuedStatement& aStatement);

  bool IsEmpty() const { return this->size == 0; }
  size_t Size() const { return this->size; }

  /** How many statements are placed before this one, queued or not. */
  size_t CountAhead(const QueuedStatement& aStatement) const;

  /** The callers of the first statements, at most `aMost`. */
  std::vector<uint64_t> Head(size_t aMost) const;

private:
  /** One customer's statements of one priority. */
  struct Line
  {
    double weight = 1;
    double nextTurn = 0; // the virtual time from which it may be placed
    std::set<std::pair<int64_t, uint64_t>> statements; // deadline, caller
  };

  struct Level
  {
    double turn = 0;                   // the virtual time
    std::map<std::string, Line> lines; // by customer
  };

  double TurnOf(const Level& aLevel, const std::string& aCustomer) const;
  static void Forget(Level& aLevel);

  std::map<int, Level> levels; // by priority
  size_t size = 0;
};

/** The weight of a customer: each priority has half of the one above it. */
double
WeightOf(int aCustomerPriority);

} // namespace marigoldpitch

#endif
