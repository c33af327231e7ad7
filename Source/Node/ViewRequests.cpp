#include "Node/ViewRequests.h"

#include "Core/IdSource.h"
#include "Loop/EventLoop.h"
#include "Node/PeerDirectory.h"

#include <utility>

namespace turmericpass {

ViewRequests::ViewRequests(ViewRequestsDependencies Dependencies,
                           std::uint64_t Seed)
    : Dependencies(std::move(Dependencies)),
      ViewClient(this->Dependencies.Loop, this->Dependencies.Channels,
                 StoreViewClient::ViewPath, this->Dependencies.OnView),
      SettingsClient(this->Dependencies.Loop, this->Dependencies.Channels,
                     StoreViewClient::SettingsPath,
                     this->Dependencies.OnSettings),
      Lag(Seed) {}

void ViewRequests::requestView() {
  this->requestFrom(this->ViewClient,
                    this->Dependencies.Peers.storeViewAddresses(),
                    this->Dependencies.Config.Seeds);
}

void ViewRequests::requestNewerSettings(std::uint64_t Own) {
  const PeerDirectory &Peers = this->Dependencies.Peers;
  if (this->Lag.mustRequest(Own, Peers.newestSettings(),
                            this->Dependencies.Loop.clock().now()))
    this->requestFrom(this->SettingsClient,
                      Peers.addressesWithSettingsAfter(Own), {});
}

void ViewRequests::requestFrom(StoreViewClient &Client,
                               const std::vector<std::string> &Vms,
                               std::vector<std::string> Otherwise) {
  const std::string &Own = this->Dependencies.Config.ControlAddress;
  std::vector<std::string> Candidates;
  // The control port is the same on every VM.
  if (!Own.empty())
    for (const std::string &Vm : Vms)
      Candidates.push_back(Vm.substr(0, Vm.find(':')) +
                           Own.substr(Own.find(':')));
  if (Candidates.empty())
    Candidates = std::move(Otherwise);
  std::erase(Candidates, Own);
  if (!Candidates.empty())
    Client.requestFrom(
        Candidates[this->Dependencies.Ids.number() % Candidates.size()]);
}

} // namespace turmericpass
