#include "marigoldpitch/coordination/proxy/prepared-statements.h"

namespace marigoldpitch {

PreparedStatements::Placement
PreparedStatements::Use(const PreparedStatement& aStatement)
{
  std::string& name = this->names[aStatement];
  bool isNew = name.empty();
  if (isNew) {
    name = "p" + std::to_string(++this->lastName);
  }
  return { name, isNew };
}

} // namespace marigoldpitch
