#include "marigoldpitch/state/config.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

template<typename T>
const T*
FindByName(const std::vector<T>& aItems, const std::string& aName)
{
  auto found = std::find_if(aItems.begin(), aItems.end(), [&](const T& aItem) {
    return aItem.name == aName;
  });
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace detail

const ServiceConfig*
GroupConfig::FindService(const std::string& aName) const
{
  return detail::FindByName(this->services, aName);
}

const GroupConfig*
Config::FindGroup(const std::string& aName) const
{
  return detail::FindByName(this->groups, aName);
}

const HostEntry*
HostList::FindHost(const std::string& aName) const
{
  return detail::FindByName(this->hosts, aName);
}

} // namespace marigoldpitch
