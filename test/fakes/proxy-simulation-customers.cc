#include "fakes/proxy-simulation.h"

// The customers of `ProxySimulation`: customer N is called "cN" and has one
// key.

namespace marigoldpitch::fakes {

KeyHash
ProxySimulation::KeyOf(size_t aCustomer)
{
  KeyHash key;
  key.bytes[0] = 1;
  key.bytes[1] = static_cast<uint8_t>(aCustomer);
  return key;
}

void
ProxySimulation::AddCustomers(ProxyConfig& aConfig) const
{
  aConfig.hasCustomers = this->options.customers != 0;
  for (size_t i = 0; i < this->options.customers; ++i) {
    std::string name = "c" + std::to_string(i);
    aConfig.customers[name].name = name;
    aConfig.keys[KeyOf(i)] = name;
  }
}

void
ProxySimulation::WithdrawKeys(uint64_t aVersion,
                              const std::set<size_t>& aKeys,
                              const std::set<size_t>& aCustomers)
{
  ProxyConfig& next = this->config.config;
  next.version = aVersion;
  this->AddCustomers(next);
  for (size_t key : aKeys) {
    next.keys.erase(KeyOf(key));
  }
  for (size_t customer : aCustomers) {
    next.keys.erase(KeyOf(customer));
    next.customers.erase("c" + std::to_string(customer));
  }
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    if (this->withoutConfig.count(i) == 0) {
      this->Send(i, this->config);
    }
  }
}

/** Whether the host's configuration knows the key. */
bool
ProxySimulation::IsAuthorized(size_t aHost, const KeyHash& aKey) const
{
  auto found = this->configs.find(aHost);
  return found == this->configs.end() || !found->second.hasCustomers ||
         found->second.keys.count(aKey) != 0;
}

/**
 * A statement runs for the customer whose key its session has, if the key was
 * known to its host when it was sent, or is now. Keys do not change hands here.
 */
void
ProxySimulation::CheckCustomer(const FakeLink& aLink,
                               FakeRequest& aRequest) const
{
  const KeyHash& key = this->keys.at(aRequest.caller);
  bool isKnown = key.bytes[0] != 0;
  std::string expected = isKnown ? "c" + std::to_string(key.bytes[1]) : "";
  if (this->options.customers != 0 && aLink.customer != expected) {
    aRequest.violation = "ran for another customer";
  }
  if (isKnown && aRequest.isUnauthorized &&
      !this->IsAuthorized(aRequest.host, key)) {
    aRequest.violation = "ran with a withdrawn key";
  }
}

size_t
ProxySimulation::LinksOf(size_t aUpstream,
                         const std::string& aCustomer,
                         std::optional<size_t> aHost) const
{
  size_t count = 0;
  for (const auto& [key, link] : this->links) {
    bool isOpen = link.upstream == aUpstream && link.isOpen &&
                  (!aHost || key.first == *aHost);
    count += isOpen && link.customer == aCustomer ? 1 : 0;
  }
  return count;
}

} // namespace marigoldpitch::fakes
