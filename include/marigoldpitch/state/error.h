#ifndef MARIGOLDPITCH_STATE_ERROR_H
#define MARIGOLDPITCH_STATE_ERROR_H

#include "marigoldpitch/state/names.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <vector>

/** Errors with a code and a place, results, and lists of errors. */
namespace marigoldpitch {

enum class ErrorCode
{
  BadFrame,
  BadMessage,
  BadSettings,
  BadConfiguration,
  TooLarge,
  UnknownMethod,
  Io,
  Timeout,
  Conflict,
  Unavailable,
  Refused,
};

constexpr NameTable<ErrorCode, 11> kErrorCodeNames{ {
  { ErrorCode::BadFrame, "bad-frame" },
  { ErrorCode::BadMessage, "bad-message" },
  { ErrorCode::BadSettings, "bad-settings" },
  { ErrorCode::BadConfiguration, "bad-configuration" },
  { ErrorCode::TooLarge, "too-large" },
  { ErrorCode::UnknownMethod, "unknown-method" },
  { ErrorCode::Io, "io" },
  { ErrorCode::Timeout, "timeout" },
  { ErrorCode::Conflict, "conflict" },
  { ErrorCode::Unavailable, "unavailable" },
  { ErrorCode::Refused, "refused" },
} };

/** `place` is the origin: a file, a JSON pointer, a frame or a host. */
struct Error
{
  ErrorCode code = ErrorCode::Io;
  std::string place;
  std::string message;

  /** `code: place: message` on one line. */
  std::string ToString() const;
};

/** A value or an `Error`. `value` terminates the process on an error. */
template<typename T>
using Result = boost::outcome_v2::
  basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/**
 * Collects all errors of one input, so that they are reported together.
 *
 * Example:
 *
 *     Findings findings{ ErrorCode::BadSettings };
 *     findings.Add("/port", "must be 1 to 65535");
 *     if (!findings.Empty()) { return findings.ToError("entry.json"); }
 */
class Findings
{
public:
  explicit Findings(ErrorCode aCode)
    : code(aCode)
  {
  }

  void Add(std::string aPlace, std::string aMessage);
  bool Empty() const { return this->errors.empty(); }
  const std::vector<Error>& All() const { return this->errors; }

  /** One error whose message lists each finding on a separate line. */
  Error ToError(const std::string& aSource) const;

private:
  ErrorCode code;
  std::vector<Error> errors;
};

} // namespace marigoldpitch

#endif
