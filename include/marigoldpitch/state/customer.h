#ifndef MARIGOLDPITCH_STATE_CUSTOMER_H
#define MARIGOLDPITCH_STATE_CUSTOMER_H

#include "marigoldpitch/state/time.h"

#include <array>
#include <cstdint>
#include <string>

/** Customers, whose callers identify themselves by keys. */
namespace marigoldpitch {

/**
 * The SHA-256 hash of a caller's key. Keys are hashed where they are decoded,
 * so that none is kept, logged or sent on, and so that comparing two of them
 * tells nothing about the keys themselves.
 */
struct KeyHash
{
  std::array<uint8_t, 32> bytes = {};

  bool operator==(const KeyHash& aOther) const
  {
    return this->bytes == aOther.bytes;
  }
  bool operator<(const KeyHash& aOther) const
  {
    return this->bytes < aOther.bytes;
  }
};

/** The start of the hash in hexadecimal, to tell keys apart in logs. */
std::string
Fingerprint(const KeyHash& aKey);

struct Customer
{
  std::string name;
  int priority = 0; // 0 is the highest
  // The limit on the customer's operations over all hosts together: at most
  // `operationsPerSecond` on average, and `burst` more at once. 0: no limit.
  double operationsPerSecond = 0;
  double burst = 0;

  bool IsLimited() const { return this->operationsPerSecond > 0; }
};

/**
 * How closely limits hold: in any span of the window, a customer's operations
 * on all hosts together are at most
 * (rate * window + burst) * (1 + excess) + slack.
 */
struct LimitTolerance
{
  Duration window = Seconds(5);
  double excess = 0.1;
  double slack = 20; // operations
};

} // namespace marigoldpitch

#endif
