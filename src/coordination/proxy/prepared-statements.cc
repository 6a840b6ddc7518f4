#include "marigoldpitch/coordination/proxy/prepared-statements.h"

namespace marigoldpitch {

PreparedStatements::Placement
PreparedStatements::Use(const PreparedStatement& aStatement)
{
  Placement placement;
  auto found = this->entries.find(aStatement);
  if (found != this->entries.end()) {
    this->uses.splice(this->uses.begin(), this->uses, found->second.use);
    placement.name = found->second.name;
    return placement;
  }
  size_t added = aStatement.preparedText.size();
  while (!this->uses.empty() && !this->HasRoomFor(added)) {
    placement.forgotten.push_back(this->ForgetOldest());
  }
  placement.name = "p" + std::to_string(++this->lastName);
  placement.isNew = true;
  auto entry = this->entries.emplace(aStatement, Entry{ placement.name, {} });
  this->uses.push_front(&entry.first->first);
  entry.first->second.use = this->uses.begin();
  this->bytes += added;
  return placement;
}

bool
PreparedStatements::HasRoomFor(size_t aBytes) const
{
  return this->uses.size() < kMaxConnectionTexts &&
         this->bytes + aBytes <= kMaxConnectionTextBytes;
}

std::string
PreparedStatements::ForgetOldest()
{
  auto oldest = this->entries.find(*this->uses.back());
  std::string name = oldest->second.name;
  this->bytes -= oldest->first.preparedText.size();
  this->uses.pop_back();
  this->entries.erase(oldest);
  return name;
}

void
PreparedStatements::Clear()
{
  this->uses.clear();
  this->entries.clear();
  this->bytes = 0;
}

} // namespace marigoldpitch
