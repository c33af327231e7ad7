#include "Settings/Ownership.h"

#include "Core/Hash.h"
#include "Settings/FleetSettings.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace turmericpass {

namespace {

using ServiceInZone = std::pair<std::string, std::string>;

/// The maximum number of slots owned by a node, as a multiple of the mean over
/// the candidate nodes.
constexpr double MaxLoadFactor = 1.25;

std::vector<std::string> candidateNodes(const FleetSettings &Settings,
                                        const std::set<std::string> &LiveNodes,
                                        const std::string &Zone,
                                        bool IsAdopted) {
  std::vector<std::string> InZone;
  std::vector<std::string> InOtherZones;
  for (const auto &[Name, Node] : Settings.Nodes) {
    if (!LiveNodes.count(Name))
      continue;
    (Node.Zone == Zone ? InZone : InOtherZones).push_back(Name);
  }
  if (InZone.empty() && IsAdopted)
    return InOtherZones;
  return InZone;
}

/// Splits the servers of each service and zone into groups that have no owner
/// yet. Returns the groups by zone.
std::map<std::string, std::vector<ServerGroup>>
splitIntoGroups(const FleetSettings &Settings) {
  std::map<ServiceInZone, std::vector<std::string>> ByServiceAndZone;
  for (const auto &[Name, Server] : Settings.Servers)
    ByServiceAndZone[{Server.Service, Server.Zone}].push_back(Name);
  std::map<std::string, std::vector<ServerGroup>> ByZone;
  for (const auto &[Key, Servers] : ByServiceAndZone) {
    const auto &[Service, Zone] = Key;
    const std::size_t GroupCount =
        (Servers.size() + MaxServersPerGroup - 1) / MaxServersPerGroup;
    for (std::size_t Index = 0; Index < GroupCount; ++Index) {
      ServerGroup Group{Service, Zone, {}, {}, 0};
      for (std::size_t I = Index; I < Servers.size(); I += GroupCount) {
        Group.Servers.push_back(Servers[I]);
        Group.Slots += Settings.Servers.at(Servers[I]).Slots;
      }
      ByZone[Zone].push_back(std::move(Group));
    }
  }
  return ByZone;
}

/// Assigns each group to the first node in its rendezvous order that stays
/// within the slot limit.
void assignOwners(std::vector<ServerGroup> &Groups,
                  const std::vector<std::string> &Nodes) {
  if (Nodes.empty())
    return;
  double Total = 0;
  std::uint32_t Largest = 0;
  for (const ServerGroup &Group : Groups) {
    Total += Group.Slots;
    Largest = std::max(Largest, Group.Slots);
  }
  const double Mean = Total / static_cast<double>(Nodes.size());
  const double MaxSlots = std::max<double>(Largest, MaxLoadFactor * Mean);
  std::map<std::string, double> SlotsOfNode;
  std::map<std::string, int> GroupsOfService;
  for (ServerGroup &Group : Groups) {
    const int Index = GroupsOfService[Group.Service]++;
    const std::string Key =
        Group.Service + "/" + Group.Zone + "/" + std::to_string(Index);
    const std::vector<int> Order = rendezvousOrder(Key, Nodes);
    // A group is large compared to the limit, so no node may have room for it.
    // In that case the node with the fewest slots becomes the owner.
    Group.Owner = Nodes[Order.front()];
    for (int NodeIndex : Order) {
      if (SlotsOfNode[Nodes[NodeIndex]] < SlotsOfNode[Group.Owner])
        Group.Owner = Nodes[NodeIndex];
      if (SlotsOfNode[Nodes[NodeIndex]] + Group.Slots > MaxSlots)
        continue;
      Group.Owner = Nodes[NodeIndex];
      break;
    }
    SlotsOfNode[Group.Owner] += Group.Slots;
  }
}

} // namespace

std::vector<ServerGroup>
assignGroups(const FleetSettings &Settings,
             const std::set<std::string> &LiveNodes,
             const std::set<std::string> &AdoptedZones) {
  std::vector<ServerGroup> All;
  for (auto &[Zone, Groups] : splitIntoGroups(Settings)) {
    assignOwners(Groups, candidateNodes(Settings, LiveNodes, Zone,
                                        AdoptedZones.count(Zone) > 0));
    std::move(Groups.begin(), Groups.end(), std::back_inserter(All));
  }
  return All;
}

} // namespace turmericpass
