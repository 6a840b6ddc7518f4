#ifndef MARIGOLDPITCH_COORDINATION_PROXY_PREPARED_STATEMENTS_H
#define MARIGOLDPITCH_COORDINATION_PROXY_PREPARED_STATEMENTS_H

#include "marigoldpitch/state/sizes.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <tuple>
#include <vector>

/** The prepared statements that a connection has at its upstream. */
namespace marigoldpitch {

/** How many a connection keeps, and how many bytes their texts may have. */
constexpr size_t kMaxConnectionTexts = 256;
constexpr size_t kMaxConnectionTextBytes = 64 * kKibibyte;

/** What a session prepared under a name of its own. */
struct PreparedStatement
{
  bool writes = false;
  std::string preparedText;
};

inline bool
operator<(const PreparedStatement& aLeft, const PreparedStatement& aRight)
{
  return std::tie(aLeft.writes, aLeft.preparedText) <
         std::tie(aRight.writes, aRight.preparedText);
}

/**
 * Gives each statement a name on the connection. Sessions that prepared equal
 * statements share one. A name is never given twice, and contains nothing that
 * a caller wrote, since a caller's text may hold any byte.
 */
class PreparedStatements
{
public:
  /** What has to be sent before the statement can be executed. */
  struct Placement
  {
    std::string name;
    bool isNew = false;                 // it must be prepared
    std::vector<std::string> forgotten; // names to be deallocated first
  };

  PreparedStatements() = default;
  PreparedStatements(PreparedStatements&&) = default;
  PreparedStatements& operator=(PreparedStatements&&) = default;

  /**
   * Notes that the statement is used now. Those that were not used for longest
   * are forgotten if there are too many. A text that alone has too many bytes
   * is kept until the next one comes.
   */
  Placement Use(const PreparedStatement& aStatement);

  /** The connection has none any more. */
  void Clear();

private:
  using Uses = std::list<const PreparedStatement*>; // the latest first

  struct Entry
  {
    std::string name;
    Uses::iterator use;
  };

  bool HasRoomFor(size_t aBytes) const;
  std::string ForgetOldest();

  std::map<PreparedStatement, Entry> entries;
  Uses uses;        // of the keys of `entries`
  size_t bytes = 0; // of all texts
  uint64_t lastName = 0;
};

} // namespace marigoldpitch

#endif
