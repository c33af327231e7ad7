#include "Admission/DispatcherChooser.h"

#include "Core/Hash.h"
#include "Settings/FleetSettings.h"
#include "Settings/Ownership.h"

#include <algorithm>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

/// Hints expire after this time, because a queue drains in seconds.
constexpr Duration HintLife = 2s;
/// How long a lost peer is excluded. A restarted dispatcher listens again
/// within about this time, and the membership detects by then that a dispatcher
/// did not restart.
constexpr Duration SuspectTime = 3s;
/// The cost of another zone: the round trip takes a few milliseconds more, and
/// the zone's own callers have precedence.
constexpr double OtherZoneCostMs = 25;
/// The cost of outstanding requests that occupy all of the owner's slots.
constexpr double FullCostMs = 100;
/// Costs that differ by less are treated as equal.
constexpr double CostStepMs = 10;

std::string dispatcherAddress(const NodeSettings &Node) {
  return Node.Address + ":" + std::to_string(Node.DispatcherPort);
}

} // namespace

DispatcherChooser::DispatcherChooser(const Clock &Time, std::string OwnZone)
    : Time(Time), OwnZone(std::move(OwnZone)) {}

void DispatcherChooser::configure(const FleetSettings &NewSettings,
                                  const std::set<std::string> &NewLiveNodes,
                                  const std::set<std::string> &NewAdopted) {
  const Instant Now = this->Time.now();
  bool Changed =
      this->Settings != &NewSettings || this->Version != NewSettings.Version ||
      this->LiveNodes != NewLiveNodes || this->AdoptedZones != NewAdopted;
  Changed |= std::erase_if(this->SuspectUntil, [&](const auto &Entry) {
               return Entry.second <= Now;
             }) > 0;
  this->Settings = &NewSettings;
  this->Version = NewSettings.Version;
  this->LiveNodes = NewLiveNodes;
  this->AdoptedZones = NewAdopted;
  if (Changed)
    this->assign();
}

void DispatcherChooser::assign() {
  std::set<std::string> Usable;
  for (const std::string &Name : this->LiveNodes) {
    const auto Node = this->Settings->Nodes.find(Name);
    if (Node != this->Settings->Nodes.end() &&
        !this->SuspectUntil.count(dispatcherAddress(Node->second)))
      Usable.insert(Name);
  }
  this->Doubtful.clear();
  for (const auto &[Name, Node] : this->Settings->Nodes)
    if (!this->LiveNodes.count(Name))
      this->Doubtful.insert(dispatcherAddress(Node));
  this->Owners.clear();
  for (const ServerGroup &Group :
       assignGroups(*this->Settings, Usable, this->AdoptedZones)) {
    if (Group.Owner.empty())
      continue;
    const NodeSettings &Node = this->Settings->Nodes.at(Group.Owner);
    const std::string Peer = dispatcherAddress(Node);
    std::vector<Owner> &List = this->Owners[Group.Service];
    const auto Known =
        std::find_if(List.begin(), List.end(),
                     [&](const Owner &Entry) { return Entry.Peer == Peer; });
    if (Known != List.end())
      Known->Slots += Group.Slots;
    else
      List.push_back({Peer, Node.Zone == this->OwnZone, Group.Slots});
  }
}

const DispatcherChooser::Heard *
DispatcherChooser::freshHint(const std::string &Peer,
                             const std::string &Service) const {
  const auto Found = this->Hints.find({Peer, Service});
  if (Found == this->Hints.end() ||
      Found->second.At + HintLife < this->Time.now())
    return nullptr;
  return &Found->second;
}

double DispatcherChooser::costOf(const Owner &Candidate,
                                 const std::string &Service) const {
  double Cost = Candidate.OwnZone ? 0 : OtherZoneCostMs;
  if (const Heard *Known = this->freshHint(Candidate.Peer, Service))
    Cost += Known->Hint.ExpectedWaitMs;
  const auto Mine = this->Outstanding.find({Candidate.Peer, Service});
  if (Mine != this->Outstanding.end())
    Cost += FullCostMs * Mine->second / std::max(Candidate.Slots, 1U);
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
    const double Cost = this->costOf(Candidate, Service);
    Least = Usable.empty() ? Cost : std::min(Least, Cost);
    Usable.emplace_back(Cost, Candidate.Peer);
  }
  std::vector<std::string> Cheapest;
  for (const auto &[Cost, Peer] : Usable)
    if (Cost < Least + CostStepMs)
      Cheapest.push_back(Peer);
  const int Picked = rendezvousPick(Key, Cheapest);
  if (Picked < 0)
    return std::nullopt;
  return Cheapest[Picked];
}

std::string DispatcherChooser::describe(const std::string &Peer,
                                        const std::string &Service) const {
  const auto Found = this->Owners.find(Service);
  if (Found == this->Owners.end())
    return "it owns no server of the service";
  const auto Owning =
      std::find_if(Found->second.begin(), Found->second.end(),
                   [&](const Owner &Entry) { return Entry.Peer == Peer; });
  if (Owning == Found->second.end())
    return "it owns no server of the service";
  const Heard *Known = this->freshHint(Peer, Service);
  const auto Mine = this->Outstanding.find({Peer, Service});
  return std::string(Owning->OwnZone ? "own zone, " : "another zone, ") +
         (Known ? "expected wait " +
                      std::to_string(Known->Hint.ExpectedWaitMs) + " ms, "
                : "wait not known, ") +
         std::to_string(Mine == this->Outstanding.end() ? 0 : Mine->second) +
         " requests of this process at " + std::to_string(Owning->Slots) +
         " slots";
}

void DispatcherChooser::recordLoadHint(const std::string &Peer,
                                       const LoadHint &Hint) {
  if (!Hint.Service.empty())
    this->Hints[{Peer, Hint.Service}] = {Hint, this->Time.now()};
}

void DispatcherChooser::submitted(const std::string &Peer,
                                  const std::string &Service) {
  ++this->Outstanding[{Peer, Service}];
}

void DispatcherChooser::ended(const std::string &Peer,
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
  this->SuspectUntil[Peer] = this->Time.now() + SuspectTime;
  std::erase_if(this->Hints,
                [&](const auto &Entry) { return Entry.first.first == Peer; });
  this->assign();
  return true;
}

std::optional<std::uint32_t>
DispatcherChooser::leastExpectedWait(const std::string &Service) const {
  const auto Found = this->Owners.find(Service);
  if (Found == this->Owners.end())
    return std::nullopt;
  std::optional<std::uint32_t> Least;
  for (const Owner &Candidate : Found->second) {
    const Heard *Known = this->freshHint(Candidate.Peer, Service);
    if (!Known)
      return std::nullopt;
    Least = std::min(Least.value_or(UINT32_MAX), Known->Hint.ExpectedWaitMs);
  }
  return Least;
}

} // namespace turmericpass
