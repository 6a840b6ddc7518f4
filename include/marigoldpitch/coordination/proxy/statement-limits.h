#ifndef MARIGOLDPITCH_COORDINATION_PROXY_STATEMENT_LIMITS_H
#define MARIGOLDPITCH_COORDINATION_PROXY_STATEMENT_LIMITS_H

#include "marigoldpitch/coordination/proxy/proxy-io.h"
#include "marigoldpitch/state/sizes.h"

/**
 * How large statements may be, independent of any encoding. A caller must not
 * be able to send what would destroy a connection that others use as well.
 */
namespace marigoldpitch {

/** The largest message that callers, proxies and upstreams accept, in bytes. */
constexpr size_t kMaxMessageBytes = kMebibyte;

/**
 * The part of a message to an upstream that is not the caller's text, in bytes:
 * the keywords of the encoding, a log point to wait for, and the proxy's own
 * name for a prepared statement.
 */
constexpr size_t kMessageReserveBytes = kKibibyte;

/** The largest statement of a caller with its request id, in bytes. */
constexpr size_t kMaxStatementBytes = kMaxMessageBytes - kMessageReserveBytes;

/**
 * The largest sum of a session's settings, and of its prepared statements, in
 * bytes. The settings are sent together: to an upstream's connection before a
 * statement, and to another host along with it.
 */
constexpr size_t kMaxSettingsBytes = kMebibyte;
constexpr size_t kMaxPreparedBytes = 4 * kMebibyte;

/** The largest sum of the statements that a session has pipelined, in bytes. */
constexpr size_t kMaxInboxBytes = 2 * kMebibyte;

/** What a setting or prepared statement counts besides its texts, in bytes. */
constexpr size_t kEntryOverheadBytes = 128;

/**
 * The largest reply that is passed on to a caller or another host, in bytes,
 * with `kRowOverheadBytes` for each row.
 */
constexpr size_t kMaxReplyBytes = 4 * kMebibyte - 64 * kKibibyte;
constexpr size_t kRowOverheadBytes = 16;

/** The texts that the caller sent for the statement, in bytes. */
inline size_t
SizeOf(const SessionStatement& aStatement)
{
  bool isPrepare = aStatement.kind == StatementKind::Prepare;
  return aStatement.name.size() + (isPrepare ? aStatement.preparedText.size()
                                             : aStatement.arguments.size());
}

/** What counts towards `kMaxStatementBytes`. */
inline size_t
SizeOf(const StatementArrived& aEvent)
{
  return aEvent.requestId.size() + SizeOf(aEvent.statement);
}

/** What the reply counts towards `kMaxReplyBytes`. */
inline size_t
SizeOf(const StatementReply& aReply)
{
  size_t bytes = aReply.signature.size();
  for (const std::string& row : aReply.rows) {
    bytes += row.size() + kRowOverheadBytes;
  }
  return bytes;
}

} // namespace marigoldpitch

#endif
