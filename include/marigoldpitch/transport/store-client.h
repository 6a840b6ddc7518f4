#ifndef MARIGOLDPITCH_TRANSPORT_STORE_CLIENT_H
#define MARIGOLDPITCH_TRANSPORT_STORE_CLIENT_H

#include "marigoldpitch/protocol/store-messages.h"
#include "marigoldpitch/transport/http-client.h"

#include <functional>
#include <memory>
#include <string>

/** The platform's key-value service. */
namespace marigoldpitch {

/**
 * A failed swap has `Conflict` when another value stands; any other error
 * leaves open whether it took effect.
 */
using StoreDone = std::function<void(Result<StoreValue>)>;

class StoreClient
{
public:
  static Result<std::unique_ptr<StoreClient>> Create(Loop& aLoop,
                                                     const Endpoint& aEndpoint);

  void Get(const std::string& aKey, const StoreDone& aDone);
  void Swap(const std::string& aKey,
            uint64_t aRevision,
            const std::string& aText,
            const StoreDone& aDone);
  void Watch(const std::string& aKey,
             uint64_t aAfter,
             Duration aWait,
             const StoreDone& aDone);

  uint64_t Calls() const { return this->calls; }

private:
  explicit StoreClient(std::unique_ptr<HttpClient> aClient)
    : client(std::move(aClient))
  {
  }

  void Send(StoreCall aCall,
            const std::string& aBody,
            Duration aTimeout,
            const StoreDone& aDone);

  std::unique_ptr<HttpClient> client;
  uint64_t calls = 0;
};

} // namespace marigoldpitch

#endif
