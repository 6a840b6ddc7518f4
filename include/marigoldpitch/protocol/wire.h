#ifndef MARIGOLDPITCH_PROTOCOL_WIRE_H
#define MARIGOLDPITCH_PROTOCOL_WIRE_H

#include "marigoldpitch/coordination/common/gossip.h"
#include "marigoldpitch/coordination/proxy/fence-io.h"
#include "marigoldpitch/coordination/proxy/limit-io.h"
#include "marigoldpitch/coordination/proxy/relay-io.h"
#include "marigoldpitch/state/error.h"
#include "marigoldpitch/state/request.h"
#include "marigoldpitch/state/sizes.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/** Frames between the system's own daemons, encoded as FlatBuffers. */
namespace marigoldpitch {

/** The largest frame of a link between proxies; a larger one closes it. */
constexpr size_t kMaxRelayFrameBytes = 4 * kMebibyte;

struct RequestFrame
{
  uint64_t number = 0;
  Request request;
};

struct AnswerFrame
{
  uint64_t number = 0;
  Answer answer;
};

struct CancelFrame
{
  uint64_t number = 0;
};

/** The first frame of each side; `peer` is `host/owner` or `host/entry`. */
struct HelloFrame
{
  std::string peer;
};

struct DigestFrame
{
  Digest digest;
  bool draining = false;
};

struct DocumentFrame
{
  Document document;
};

struct PingFrame
{};

struct PongFrame
{};

struct RelayedStatementFrame
{
  RelayedStatement statement;
};

struct RelayedReplyFrame
{
  RelayedReply reply;
};

struct RelayedEndFrame
{
  RelayedEnd end;
};

struct LimitRequestFrame
{
  LimitRequest request;
};

struct LimitReplyFrame
{
  LimitReply reply;
};

struct FenceRequestFrame
{
  FenceRequest request;
};

struct FenceReplyFrame
{
  FenceReply reply;
};

using Frame = std::variant<RequestFrame,
                           AnswerFrame,
                           CancelFrame,
                           HelloFrame,
                           DigestFrame,
                           DocumentFrame,
                           PingFrame,
                           PongFrame,
                           RelayedStatementFrame,
                           RelayedReplyFrame,
                           RelayedEndFrame,
                           LimitRequestFrame,
                           LimitReplyFrame,
                           FenceRequestFrame,
                           FenceReplyFrame>;

/** Encodes the frame without the size prefix. */
std::string
EncodeFrame(const Frame& aFrame);

/** Fails with `BadFrame` unless the bytes are one frame of a known type. */
Result<Frame>
DecodeFrame(std::string_view aBytes);

} // namespace marigoldpitch

#endif
