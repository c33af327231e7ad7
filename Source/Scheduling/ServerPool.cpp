#include "Scheduling/ServerPool.h"

#include "Settings/FleetSettings.h"

#include <algorithm>

namespace turmericpass {

void ServerPool::configure(const FleetSettings &Settings,
                           const std::set<std::string> &OwnedServers) {
  for (auto &[Name, State] : this->Servers)
    State.IsOwned = false;
  for (const std::string &Name : OwnedServers) {
    const auto Known = Settings.Servers.find(Name);
    if (Known == Settings.Servers.end())
      continue;
    const auto [Position, IsNew] = this->Servers.try_emplace(Name);
    ServerState &State = Position->second;
    if (IsNew ||
        (State.Service != Known->second.Service && State.Attempts.empty())) {
      State = ServerState{};
      State.Name = Name;
      State.Service = Known->second.Service;
      State.Window = ConcurrencyWindow(Known->second.Slots);
    }
    State.Window.setSlots(Known->second.Slots);
    // A server that changes its service finishes its running requests first.
    State.IsOwned = State.Service == Known->second.Service;
    State.IsLeaving = this->LeavingServers.count(Name) != 0;
  }
  std::erase_if(this->Servers, [](const auto &Entry) {
    return !Entry.second.IsOwned && Entry.second.Attempts.empty();
  });
  this->indexByService();
}

void ServerPool::indexByService() {
  this->ServersByService.clear();
  for (auto &[Name, State] : this->Servers)
    this->ServersByService[State.Service].push_back(&State);
}

void ServerPool::setLeavingServers(const std::set<std::string> &Names) {
  this->LeavingServers = Names;
  for (auto &[Name, State] : this->Servers)
    State.IsLeaving = Names.count(Name) != 0;
}

ServerState *ServerPool::find(const std::string &Name) {
  const auto Found = this->Servers.find(Name);
  return Found == this->Servers.end() ? nullptr : &Found->second;
}

const std::vector<ServerState *> &
ServerPool::serversOf(const std::string &Service) const {
  static const std::vector<ServerState *> None;
  const auto Found = this->ServersByService.find(Service);
  return Found == this->ServersByService.end() ? None : Found->second;
}

bool ServerPool::hasUsableServer(const std::string &Service) const {
  const std::vector<ServerState *> &All = this->serversOf(Service);
  return std::any_of(All.begin(), All.end(), [](const ServerState *Server) {
    return Server->isUsable();
  });
}

std::uint32_t ServerPool::slotsWithoutOnlineWork(const std::string &Service,
                                                 Instant Now) const {
  std::uint32_t Free = 0;
  for (ServerState *Server : this->serversOf(Service))
    if (Server->isUsable())
      Free += Server->currentRequestLimit(Now) -
              std::min(Server->currentRequestLimit(Now),
                       Server->OnlineAttemptCount);
  return Free;
}

std::uint32_t ServerPool::requestCapacity(const std::string &Service,
                                          Instant Now) const {
  std::uint32_t Sum = 0;
  for (ServerState *Server : this->serversOf(Service))
    if (Server->isUsable())
      Sum += Server->currentRequestLimit(Now);
  return Sum;
}

std::uint32_t ServerPool::freeSlots(const std::string &Service,
                                    Instant Now) const {
  std::uint32_t Free = 0;
  for (ServerState *Server : this->serversOf(Service))
    if (Server->isUsable())
      Free +=
          Server->currentRequestLimit(Now) -
          std::min(Server->currentRequestLimit(Now), Server->attemptCount());
  return Free;
}

} // namespace turmericpass
