#include "marigoldpitch/state/error.h"

namespace marigoldpitch {

std::string
Error::ToString() const
{
  std::string text(kErrorCodeNames.NameOf(this->code));
  if (!this->place.empty()) {
    text += ": " + this->place;
  }
  return text + ": " + this->message;
}

void
Findings::Add(std::string aPlace, std::string aMessage)
{
  this->errors.push_back(
    { this->code, std::move(aPlace), std::move(aMessage) });
}

Error
Findings::ToError(const std::string& aSource) const
{
  std::string message = std::to_string(this->errors.size()) + " findings";
  for (const Error& error : this->errors) {
    message += "\n  " + error.place + ": " + error.message;
  }
  return { this->code, aSource, message };
}

} // namespace marigoldpitch
