#ifndef MARIGOLDPITCH_PROTOCOL_RPC_H
#define MARIGOLDPITCH_PROTOCOL_RPC_H

#include "marigoldpitch/state/error.h"
#include "marigoldpitch/state/names.h"
#include "marigoldpitch/state/request.h"

#include <google/protobuf/message.h>

#include <optional>
#include <string>
#include <string_view>

/** Callers' remote procedure calls, as protobuf or JSON bodies. */
namespace marigoldpitch {

enum class BodyFormat
{
  Json,
  Proto,
};

constexpr NameTable<BodyFormat, 2> kBodyFormatNames{ {
  { BodyFormat::Json, "application/json" },
  { BodyFormat::Proto, "application/proto" },
} };

enum class RpcMethod
{
  OpenSession,
  Execute,
  Read,
  Begin,
  Statement,
  Commit,
  RollBack,
  Resolve,
  Status,
  GetConfiguration,
  Drain,
  Metrics,
};

constexpr NameTable<RpcMethod, 12> kRpcMethodNames{ {
  { RpcMethod::OpenSession, "/marigoldpitch.v1.Caller/OpenSession" },
  { RpcMethod::Execute, "/marigoldpitch.v1.Caller/Execute" },
  { RpcMethod::Read, "/marigoldpitch.v1.Caller/Read" },
  { RpcMethod::Begin, "/marigoldpitch.v1.Caller/Begin" },
  { RpcMethod::Statement, "/marigoldpitch.v1.Caller/Statement" },
  { RpcMethod::Commit, "/marigoldpitch.v1.Caller/Commit" },
  { RpcMethod::RollBack, "/marigoldpitch.v1.Caller/RollBack" },
  { RpcMethod::Resolve, "/marigoldpitch.v1.Caller/Resolve" },
  { RpcMethod::Status, "/marigoldpitch.v1.Operator/Status" },
  { RpcMethod::GetConfiguration,
    "/marigoldpitch.v1.Operator/GetConfiguration" },
  { RpcMethod::Drain, "/marigoldpitch.v1.Operator/Drain" },
  { RpcMethod::Metrics, "/marigoldpitch.v1.Operator/Metrics" },
} };

/** A response body and its HTTP status. */
struct RpcReply
{
  int status = 200;
  BodyFormat format = BodyFormat::Json;
  std::string body;
};

/** Unset if the content type is neither JSON nor protobuf. */
std::optional<BodyFormat>
BodyFormatOf(std::string_view aContentType);

/** Decodes a body into `aMessage`; the error says what is wrong. */
Result<void>
DecodeBody(BodyFormat aFormat,
           const std::string& aBody,
           google::protobuf::Message& aMessage);

std::string
EncodeBody(BodyFormat aFormat, const google::protobuf::Message& aMessage);

/** Decodes a request to the Caller service, except `OpenSession`. */
Result<Request>
DecodeRequest(RpcMethod aMethod, BodyFormat aFormat, const std::string& aBody);

RpcReply
EncodeAnswer(BodyFormat aFormat,
             const Answer& aAnswer,
             const std::string& aRequestId);

/** The reply to input that was rejected before it became a request. */
RpcReply
EncodeError(BodyFormat aFormat, const Error& aError);

/** `3:120` for term 3 and position 120; empty if nothing was seen. */
std::string
FormatToken(const LogPoint& aPoint);

Result<LogPoint>
ParseToken(const std::string& aText);

} // namespace marigoldpitch

#endif
