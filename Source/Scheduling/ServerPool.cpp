#include "Scheduling/ServerPool.h"

#include "Settings/FleetSettings.h"

namespace turmericpass {

void ServerPool::configure(const FleetSettings &Settings,
                           const std::set<std::string> &Owned) {
  for (auto &[Name, State] : this->Servers)
    State.Owned = false;
  for (const std::string &Name : Owned) {
    const auto Known = Settings.Servers.find(Name);
    if (Known == Settings.Servers.end())
      continue;
    ServerState &State = this->Servers[Name];
    State.Name = Name;
    State.Service = Known->second.Service;
    State.Slots = Known->second.Slots;
    State.Owned = true;
    State.Leaving = this->Leaving.count(Name) != 0;
  }
  std::erase_if(this->Servers, [](const auto &Entry) {
    return !Entry.second.Owned && Entry.second.Running == 0;
  });
}

void ServerPool::setLeaving(const std::set<std::string> &Names) {
  this->Leaving = Names;
  for (auto &[Name, State] : this->Servers)
    State.Leaving = Names.count(Name) != 0;
}

ServerState *ServerPool::find(const std::string &Name) {
  const auto Found = this->Servers.find(Name);
  return Found == this->Servers.end() ? nullptr : &Found->second;
}

ServerState *ServerPool::mostFree(const std::string &Service) {
  ServerState *Best = nullptr;
  for (auto &[Name, State] : this->Servers) {
    if (State.Service != Service || !State.isUsable() ||
        State.Running >= State.Slots)
      continue;
    if (Best == nullptr ||
        State.Slots - State.Running > Best->Slots - Best->Running)
      Best = &State;
  }
  return Best;
}

bool ServerPool::serves(const std::string &Service) const {
  for (const auto &[Name, State] : this->Servers)
    if (State.Service == Service && State.isUsable())
      return true;
  return false;
}

std::uint32_t ServerPool::freeOfOnline(const std::string &Service) const {
  std::uint32_t Free = 0;
  for (const auto &[Name, State] : this->Servers)
    if (State.Service == Service && State.isUsable() &&
        State.Slots > State.RunningOnline)
      Free += State.Slots - State.RunningOnline;
  return Free;
}

} // namespace turmericpass
