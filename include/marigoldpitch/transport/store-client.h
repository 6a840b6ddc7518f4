#ifndef MARIGOLDPITCH_TRANSPORT_STORE_CLIENT_H
#define MARIGOLDPITCH_TRANSPORT_STORE_CLIENT_H

#include "marigoldpitch/protocol/store-messages.h"
#include "marigoldpitch/transport/http-client.h"

#include <functional>
#include <memory>
#include <string>

/** A client of the platform's key-value store. */
namespace marigoldpitch {

/**
 * Receives the result of a call. A compare-and-swap fails with `Conflict` if
 * the key has another revision; after any other error it may have taken effect.
 */
using StoreCallback = std::function<void(Result<StoreValue>)>;

class StoreClient
{
public:
  static Result<std::unique_ptr<StoreClient>> Create(Loop& aLoop,
                                                     const Endpoint& aEndpoint);

  void Get(const std::string& aKey, const StoreCallback& aCallback);

  /** Compare-and-swap: writes `aText` if the key is at `aRevision`. */
  void Swap(const std::string& aKey,
            uint64_t aRevision,
            const std::string& aText,
            const StoreCallback& aCallback);

  /**
   * Long poll: returns once the key's revision exceeds `aAfter`, or the current
   * value after `aWait`.
   */
  void Watch(const std::string& aKey,
             uint64_t aAfter,
             Duration aWait,
             const StoreCallback& aCallback);

  /** The number of calls sent so far. */
  uint64_t Calls() const { return this->calls; }

private:
  explicit StoreClient(std::unique_ptr<HttpClient> aClient)
    : client(std::move(aClient))
  {
  }

  void Send(StoreCall aCall,
            const std::string& aBody,
            Duration aTimeout,
            const StoreCallback& aCallback);

  std::unique_ptr<HttpClient> client;
  uint64_t calls = 0;
};

} // namespace marigoldpitch

#endif
