#include "Admission/DispatcherChooser.h"

#include "Core/Hash.h"
#include "Settings/FleetSettings.h"
#include "Settings/Ownership.h"

#include <algorithm>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

/// Hints expire after this time, because a queue drains in seconds.
constexpr Duration HintLifetime = 2s;
/// How long a lost peer is excluded. A restarted dispatcher listens again
/// within about this time, and the membership detects by then that a dispatcher
/// did not restart.
constexpr Duration ExclusionTime = 3s;
/// The cost of another zone: the round trip takes a few milliseconds more, and
/// the zone's own callers have precedence.
constexpr double OtherZoneCostMs = 25;
/// The cost of outstanding requests that occupy all of the owner's slots.
constexpr double FullOccupancyCostMs = 100;
/// Costs that differ by less are treated as equal.
constexpr double CostToleranceMs = 10;

std::string dispatcherAddress(const NodeSettings &Node) {
  return Node.Address + ":" + std::to_string(Node.DispatcherPort);
}

} // namespace

DispatcherChooser::DispatcherChooser(const Clock &Time, std::string OwnZone)
    : Time(Time), OwnZone(std::move(OwnZone)) {}

void DispatcherChooser::configure(
    const FleetSettings &NewSettings, const std::set<std::string> &NewLiveNodes,
    const std::set<std::string> &NewAdoptedZones) {
  const Instant Now = this->Time.now();
  bool Changed =
      this->Settings != &NewSettings || this->Version != NewSettings.Version ||
      this->LiveNodes != NewLiveNodes || this->AdoptedZones != NewAdoptedZones;
  Changed |= std::erase_if(this->ExcludedUntil, [&](const auto &Entry) {
               return Entry.second <= Now;
             }) > 0;
  this->Settings = &NewSettings;
  this->Version = NewSettings.Version;
  this->LiveNodes = NewLiveNodes;
  this->AdoptedZones = NewAdoptedZones;
  if (Changed)
    this->updateOwners();
}

void DispatcherChooser::updateOwners() {
  std::set<std::string> Usable;
  for (const std::string &Name : this->LiveNodes) {
    const auto Node = this->Settings->Nodes.find(Name);
    if (Node != this->Settings->Nodes.end() &&
        !this->ExcludedUntil.count(dispatcherAddress(Node->second)))
      Usable.insert(Name);
  }
  this->UnconfirmedPeers.clear();
  for (const auto &[Name, Node] : this->Settings->Nodes)
    if (!this->LiveNodes.count(Name))
      this->UnconfirmedPeers.insert(dispatcherAddress(Node));
  this->Owners.clear();
  for (const ServerGroup &Group :
       assignGroups(*this->Settings, Usable, this->AdoptedZones)) {
    if (Group.Owner.empty())
      continue;
    const NodeSettings &Node = this->Settings->Nodes.at(Group.Owner);
    const std::string Peer = dispatcherAddress(Node);
    std::vector<Owner> &List = this->Owners[Group.Service];
    const auto Existing =
        std::find_if(List.begin(), List.end(),
                     [&](const Owner &Entry) { return Entry.Peer == Peer; });
    if (Existing != List.end())
      Existing->Slots += Group.Slots;
    else
      List.push_back({Peer, Node.Zone == this->OwnZone, Group.Slots});
  }
}

const DispatcherChooser::ReceivedHint *
DispatcherChooser::findFreshHint(const std::string &Peer,
                                 const std::string &Service) const {
  const auto Found = this->Hints.find({Peer, Service});
  if (Found == this->Hints.end() ||
      Found->second.ReceivedAt + HintLifetime < this->Time.now())
    return nullptr;
  return &Found->second;
}

double DispatcherChooser::computeCost(const Owner &Candidate,
                                      const std::string &Service) const {
  double Cost = Candidate.IsInOwnZone ? 0 : OtherZoneCostMs;
  if (const ReceivedHint *RecentHint =
          this->findFreshHint(Candidate.Peer, Service))
    Cost += RecentHint->Hint.ExpectedWaitMs;
  const auto OwnOutstanding = this->Outstanding.find({Candidate.Peer, Service});
  if (OwnOutstanding != this->Outstanding.end())
    Cost += FullOccupancyCostMs * OwnOutstanding->second /
            std::max(Candidate.Slots, 1U);
  return Cost;
}

std::optional<std::string>
DispatcherChooser::choose(const std::string &Service, std::string_view Key,
                          const std::set<std::string> &Excluded) {
  const auto Found = this->Owners.find(Service);
  if (Found == this->Owners.end())
    return std::nullopt;
  std::vector<std::pair<double, std::string>> Usable;
  double Least = 0;
  for (const Owner &Candidate : Found->second) {
    if (Excluded.count(Candidate.Peer))
      continue;
    const double Cost = this->computeCost(Candidate, Service);
    Least = Usable.empty() ? Cost : std::min(Least, Cost);
    Usable.emplace_back(Cost, Candidate.Peer);
  }
  std::vector<std::string> Cheapest;
  for (const auto &[Cost, Peer] : Usable)
    if (Cost < Least + CostToleranceMs)
      Cheapest.push_back(Peer);
  const int Chosen = rendezvousPick(Key, Cheapest);
  if (Chosen < 0)
    return std::nullopt;
  return Cheapest[Chosen];
}

std::string DispatcherChooser::describe(const std::string &Peer,
                                        const std::string &Service) const {
  const auto Found = this->Owners.find(Service);
  if (Found == this->Owners.end())
    return "it owns no server of the service";
  const auto Existing =
      std::find_if(Found->second.begin(), Found->second.end(),
                   [&](const Owner &Entry) { return Entry.Peer == Peer; });
  if (Existing == Found->second.end())
    return "it owns no server of the service";
  const ReceivedHint *RecentHint = this->findFreshHint(Peer, Service);
  const auto OwnOutstanding = this->Outstanding.find({Peer, Service});
  return std::string(Existing->IsInOwnZone ? "own zone, " : "another zone, ") +
         (RecentHint
              ? "expected wait " +
                    std::to_string(RecentHint->Hint.ExpectedWaitMs) + " ms, "
              : "wait not known, ") +
         std::to_string(OwnOutstanding == this->Outstanding.end()
                            ? 0
                            : OwnOutstanding->second) +
         " requests of this process at " + std::to_string(Existing->Slots) +
         " slots";
}

void DispatcherChooser::recordLoadHint(const std::string &Peer,
                                       const LoadHint &Hint) {
  if (!Hint.Service.empty())
    this->Hints[{Peer, Hint.Service}] = {Hint, this->Time.now()};
}

void DispatcherChooser::recordSubmission(const std::string &Peer,
                                         const std::string &Service) {
  ++this->Outstanding[{Peer, Service}];
}

void DispatcherChooser::recordEnd(const std::string &Peer,
                                  const std::string &Service) {
  const auto Found = this->Outstanding.find({Peer, Service});
  if (Found != this->Outstanding.end() && --Found->second == 0)
    this->Outstanding.erase(Found);
}

bool DispatcherChooser::handlePeerLoss(const std::string &Peer) {
  const bool IsOwner = std::any_of(
      this->Owners.begin(), this->Owners.end(), [&](const auto &Entry) {
        return std::any_of(
            Entry.second.begin(), Entry.second.end(),
            [&](const Owner &Candidate) { return Candidate.Peer == Peer; });
      });
  if (!IsOwner)
    return false;
  this->ExcludedUntil[Peer] = this->Time.now() + ExclusionTime;
  std::erase_if(this->Hints,
                [&](const auto &Entry) { return Entry.first.first == Peer; });
  this->updateOwners();
  return true;
}

std::optional<std::uint32_t>
DispatcherChooser::leastExpectedWait(const std::string &Service) const {
  const auto Found = this->Owners.find(Service);
  if (Found == this->Owners.end())
    return std::nullopt;
  std::optional<std::uint32_t> Least;
  for (const Owner &Candidate : Found->second) {
    const ReceivedHint *RecentHint =
        this->findFreshHint(Candidate.Peer, Service);
    if (!RecentHint)
      return std::nullopt;
    Least =
        std::min(Least.value_or(UINT32_MAX), RecentHint->Hint.ExpectedWaitMs);
  }
  return Least;
}

} // namespace turmericpass
