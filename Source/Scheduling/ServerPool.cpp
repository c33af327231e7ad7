#include "Scheduling/ServerPool.h"

#include "Settings/FleetSettings.h"

#include <algorithm>

namespace turmericpass {

void ServerPool::configure(const FleetSettings &Settings,
                           const std::set<std::string> &Owned) {
  for (auto &[Name, State] : this->Servers)
    State.Owned = false;
  for (const std::string &Name : Owned) {
    const auto Known = Settings.Servers.find(Name);
    if (Known == Settings.Servers.end())
      continue;
    const auto [Place, IsNew] = this->Servers.try_emplace(Name);
    ServerState &State = Place->second;
    if (IsNew ||
        (State.Service != Known->second.Service && State.Attempts.empty())) {
      State = ServerState{};
      State.Name = Name;
      State.Service = Known->second.Service;
      State.Window = ConcurrencyWindow(Known->second.Slots);
    }
    State.Window.setSlots(Known->second.Slots);
    // A server that changes its service finishes its old work first.
    State.Owned = State.Service == Known->second.Service;
    State.Leaving = this->Leaving.count(Name) != 0;
  }
  std::erase_if(this->Servers, [](const auto &Entry) {
    return !Entry.second.Owned && Entry.second.Attempts.empty();
  });
  this->index();
}

void ServerPool::index() {
  this->ByService.clear();
  for (auto &[Name, State] : this->Servers)
    this->ByService[State.Service].push_back(&State);
}

void ServerPool::setLeavingServers(const std::set<std::string> &Names) {
  this->Leaving = Names;
  for (auto &[Name, State] : this->Servers)
    State.Leaving = Names.count(Name) != 0;
}

ServerState *ServerPool::find(const std::string &Name) {
  const auto Found = this->Servers.find(Name);
  return Found == this->Servers.end() ? nullptr : &Found->second;
}

const std::vector<ServerState *> &
ServerPool::of(const std::string &Service) const {
  static const std::vector<ServerState *> None;
  const auto Found = this->ByService.find(Service);
  return Found == this->ByService.end() ? None : Found->second;
}

bool ServerPool::serves(const std::string &Service) const {
  const std::vector<ServerState *> &All = this->of(Service);
  return std::any_of(All.begin(), All.end(), [](const ServerState *Server) {
    return Server->isUsable();
  });
}

std::uint32_t ServerPool::freeOfOnline(const std::string &Service,
                                       Instant Now) const {
  std::uint32_t Free = 0;
  for (ServerState *Server : this->of(Service))
    if (Server->isUsable())
      Free += Server->limit(Now) -
              std::min(Server->limit(Now), Server->RunningOnline);
  return Free;
}

std::uint32_t ServerPool::capacity(const std::string &Service,
                                   Instant Now) const {
  std::uint32_t Sum = 0;
  for (ServerState *Server : this->of(Service))
    if (Server->isUsable())
      Sum += Server->limit(Now);
  return Sum;
}

std::uint32_t ServerPool::freeSlots(const std::string &Service,
                                    Instant Now) const {
  std::uint32_t Free = 0;
  for (ServerState *Server : this->of(Service))
    if (Server->isUsable())
      Free +=
          Server->limit(Now) - std::min(Server->limit(Now), Server->running());
  return Free;
}

} // namespace turmericpass
