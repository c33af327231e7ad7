#include "Settings/Ownership.h"
#include "Settings/FleetSettings.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace turmericpass;

namespace {

FleetSettings makeFleetSettings(int Nodes, int Servers, int Services) {
  FleetSettings Settings;
  Settings.Zones["a"] = {"a", "r"};
  for (int I = 0; I < Nodes; ++I) {
    const std::string Name = "n" + std::to_string(I);
    Settings.Nodes[Name].Name = Name;
    Settings.Nodes[Name].Zone = "a";
  }
  for (int I = 0; I < Servers; ++I) {
    const std::string Name = "s" + std::to_string(I);
    Settings.Servers[Name] = {
        Name, "m" + std::to_string(I % Services), "a", "", 8, false};
  }
  return Settings;
}

std::set<std::string> nodeNames(const FleetSettings &Settings) {
  std::set<std::string> Names;
  for (const auto &[Name, Node] : Settings.Nodes)
    Names.insert(Name);
  return Names;
}

} // namespace

// Guards against an uneven assignment: a dispatcher that owns many more servers
// than the others delays every token, because it runs in a single thread.
Test(Ownership, NoNodeHasMuchMoreThanTheMean) {
  cr_assert(rc::check([] {
    const int Nodes = *rc::gen::inRange(1, 30);
    const int Servers = *rc::gen::inRange(1, 700);
    const FleetSettings Settings =
        makeFleetSettings(Nodes, Servers, *rc::gen::inRange(1, 9));
    std::map<std::string, double> Slots;
    double Largest = 0;
    std::size_t Owned = 0;
    for (const ServerGroup &Group :
         assignGroups(Settings, nodeNames(Settings), {})) {
      RC_ASSERT(!Group.Owner.empty());
      RC_ASSERT(Group.Servers.size() <= MaxServersPerGroup);
      Slots[Group.Owner] += Group.Slots;
      Largest = std::max<double>(Largest, Group.Slots);
      Owned += Group.Servers.size();
    }
    RC_ASSERT(Owned == static_cast<std::size_t>(Servers));
    // Groups are not split, so a node may exceed the mean by one group.
    const double Mean = 8.0 * Servers / Nodes;
    for (const auto &[Node, Count] : Slots)
      RC_ASSERT(Count <= std::max(1.25 * Mean, Mean + Largest));
  }));
}

// Guards against the loss of one node changing the owners of most groups.
Test(Ownership, LossOfANodeMovesFewGroups) {
  const FleetSettings Settings = makeFleetSettings(22, 630, 8);
  std::set<std::string> LiveNodes = nodeNames(Settings);
  const auto Before = assignGroups(Settings, LiveNodes, {});
  LiveNodes.erase("n3");
  const auto After = assignGroups(Settings, LiveNodes, {});
  cr_assert(Before.size() == After.size());
  std::size_t Moved = 0;
  std::size_t OwnedByLostNode = 0;
  for (std::size_t I = 0; I < Before.size(); ++I) {
    OwnedByLostNode += Before[I].Owner == "n3";
    Moved += Before[I].Owner != After[I].Owner;
    cr_assert(After[I].Owner != "n3");
  }
  // Nodes at the slot limit are skipped, so a few groups of other nodes move
  // too.
  cr_assert(Moved <= OwnedByLostNode + 4, "%zu moved of %zu", Moved,
            OwnedByLostNode);
}
