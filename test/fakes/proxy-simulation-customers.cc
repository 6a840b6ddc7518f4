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
  this->SendConfig();
}

void
ProxySimulation::MoveKey(uint64_t aVersion, size_t aFrom, size_t aTo)
{
  this->config.config.version = aVersion;
  this->config.config.keys[KeyOf(aFrom)] = "c" + std::to_string(aTo);
  this->SendConfig();
}

void
ProxySimulation::SendConfig()
{
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    if (this->withoutConfig.count(i) == 0) {
      this->Send(i, this->config);
    }
  }
}

/** The customer that holds the key by the host's configuration, if any does. */
std::optional<std::string>
ProxySimulation::HolderOf(size_t aHost, const KeyHash& aKey) const
{
  auto found = this->configs.find(aHost);
  if (found == this->configs.end() || !found->second.hasCustomers) {
    return std::string();
  }
  auto key = found->second.keys.find(aKey);
  return key == found->second.keys.end() ? std::nullopt
                                         : std::make_optional(key->second);
}

/**
 * A statement runs for the customer that held its session's key when it was
 * sent, or holds it now.
 */
void
ProxySimulation::CheckCustomer(const FakeLink& aLink,
                               FakeRequest& aRequest) const
{
  auto now = this->HolderOf(aRequest.host, this->keys.at(aRequest.caller));
  if (!aRequest.customer && !now) {
    aRequest.violation = "ran with a withdrawn key";
  } else if (aLink.customer != aRequest.customer && aLink.customer != now) {
    aRequest.violation = "ran for another customer";
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
