#ifndef MARIGOLDPITCH_COORDINATION_PROXY_PREPARED_STATEMENTS_H
#define MARIGOLDPITCH_COORDINATION_PROXY_PREPARED_STATEMENTS_H

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

/** The prepared statements that a connection has at its upstream. */
namespace marigoldpitch {

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
    bool isNew = false; // it must be prepared
  };

  Placement Use(const PreparedStatement& aStatement);

  /** The connection has none any more. */
  void Clear() { this->names.clear(); }

private:
  std::map<PreparedStatement, std::string> names;
  uint64_t lastName = 0;
};

} // namespace marigoldpitch

#endif
