#include "group-simulation.h"

namespace marigoldpitch::fakes {

namespace {

constexpr Duration kEntryTickInterval = Millis(20);

} // namespace

// Callers.

void
GroupSimulation::SubmitRequest(size_t aEntry, Request aRequest, Answered aDone)
{
  aRequest.group = this->config.name;
  RequestHandle handle = ++this->lastHandle;
  this->callers[handle] = std::move(aDone);
  this->HandleEntryEvent(aEntry, CallerRequested{ handle, aRequest });
}

void
GroupSimulation::SubmitToOwner(size_t aOwner, Request aRequest, Answered aDone)
{
  aRequest.group = this->config.name;
  RequestHandle handle = ++this->lastHandle;
  this->ownerRequests[handle] = std::move(aDone);
  this->HandleOwnerEvent(aOwner, RequestArrived{ handle, aRequest });
}

// Entries.

void
GroupSimulation::TickEntry(size_t aEntry)
{
  this->HandleEntryEvent(aEntry, EntryTick{});
  this->After(kEntryTickInterval, [this, aEntry] { this->TickEntry(aEntry); });
}

void
GroupSimulation::HandleEntryEvent(size_t aEntry, const EntryEvent& aEvent)
{
  EntryActions actions =
    this->entries[aEntry].engine->Handle(this->Now(), aEvent);
  for (const EntryAction& action : actions) {
    this->Perform(aEntry, action);
  }
}

void
GroupSimulation::Perform(size_t aEntry, const EntryAction& aAction)
{
  if (const auto* answer = std::get_if<AnswerCaller>(&aAction)) {
    auto found = this->callers.find(answer->handle);
    Answered done = std::move(found->second);
    this->callers.erase(found);
    this->After({}, [done, result = answer->answer] { done(result); });
  } else if (const auto* forward = std::get_if<ForwardRequest>(&aAction)) {
    this->ForwardTo(aEntry, *forward);
  } else if (const auto* connect = std::get_if<ConnectOwner>(&aAction)) {
    this->ConnectTo(aEntry, connect->host);
  } else if (const auto* drop = std::get_if<DisconnectOwner>(&aAction)) {
    this->entries[aEntry].links.erase(IndexOf(drop->host));
  } else if (const auto* ping = std::get_if<PingOwner>(&aAction)) {
    size_t owner = IndexOf(ping->host);
    uint64_t link = this->entries[aEntry].links[owner];
    std::string host = ping->host;
    this->After(this->Latency() + this->Latency(), [=] {
      bool isUp = this->owners[owner].alive &&
                  this->owners[owner].frozenUntil <= this->Now() &&
                  this->entryCuts.count({ aEntry, owner }) == 0 &&
                  this->entries[aEntry].links[owner] == link && link != 0;
      if (isUp) {
        this->HandleEntryEvent(aEntry, OwnerFrameReceived{ host });
      }
    });
  }
}

void
GroupSimulation::ConnectTo(size_t aEntry, const std::string& aHost)
{
  size_t owner = IndexOf(aHost);
  if (this->entryCuts.count({ aEntry, owner }) != 0) {
    return; // the attempt is never answered
  }
  this->After(this->Latency() + this->Latency(), [=] {
    if (!this->owners[owner].alive) {
      this->HandleEntryEvent(aEntry, OwnerLost{ aHost });
      return;
    }
    if (this->Now() < this->owners[owner].frozenUntil) {
      return; // the owner sends no hello while it is frozen
    }
    this->entries[aEntry].links[owner] = ++this->lastLink;
    this->HandleEntryEvent(aEntry, OwnerConnected{ aHost });
  });
}

void
GroupSimulation::ForwardTo(size_t aEntry, const ForwardRequest& aAction)
{
  size_t owner = IndexOf(aAction.host);
  uint64_t link = this->entries[aEntry].links[owner];
  auto isConnected = [=] {
    return link != 0 && this->entryCuts.count({ aEntry, owner }) == 0 &&
           this->entries[aEntry].links[owner] == link;
  };
  this->After(this->Latency(), [=, request = aAction.request] {
    if (!this->owners[owner].alive || link == 0 ||
        this->entryCuts.count({ aEntry, owner }) != 0) {
      return;
    }
    RequestHandle handle = ++this->lastHandle;
    this->ownerRequests[handle] = [=](const Answer& aAnswer) {
      this->After(this->Latency(), [=, answer = aAnswer] {
        if (isConnected()) {
          this->HandleEntryEvent(aEntry, OwnerFrameReceived{ aAction.host });
          bool isSwapped = this->options.swapAnswers && this->Random(50) == 0;
          uint64_t number = aAction.number + (isSwapped ? 1 : 0);
          this->HandleEntryEvent(aEntry,
                                 OwnerAnswered{ aAction.host, number, answer });
        }
      });
    };
    this->HandleOwnerEvent(owner, RequestArrived{ handle, request });
  });
}

void
GroupSimulation::DropLink(size_t aEntry, size_t aOwner)
{
  if (this->entries[aEntry].links.erase(aOwner) != 0) {
    this->HandleEntryEvent(aEntry, OwnerLost{ HostName(aOwner) });
  }
}

} // namespace marigoldpitch::fakes
