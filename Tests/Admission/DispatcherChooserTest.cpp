#include "Admission/DispatcherChooser.h"
#include "Core/Clock.h"
#include "Settings/FleetSettings.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

constexpr const char *PeerA = "10.0.0.1:1";
constexpr const char *PeerA2 = "10.0.0.2:1";
constexpr const char *PeerB = "10.0.0.3:1";

/// Creates zone a with nodes a1 and a2, zone b with node b1, and 8 servers in
/// each zone.
FleetSettings twoZones() {
  FleetSettings Settings;
  Settings.Zones = {{"a", {"a", "r"}}, {"b", {"b", "r"}}};
  Settings.Nodes["a1"] = {"a1", "a", "10.0.0.1", 0, 0, 1, 0, 0, 0};
  Settings.Nodes["a2"] = {"a2", "a", "10.0.0.2", 0, 0, 1, 0, 0, 0};
  Settings.Nodes["b1"] = {"b1", "b", "10.0.0.3", 0, 0, 1, 0, 0, 0};
  for (const char *Zone : {"a", "b"})
    for (int I = 0; I < 8; ++I) {
      const std::string Name = Zone + std::to_string(I);
      Settings.Servers[Name] = {Name, "s", Zone, "10.1.0.1:1", 8};
    }
  return Settings;
}

struct Choice {
  ManualClock Time;
  FleetSettings Settings = twoZones();
  std::set<std::string> Live = {"a1", "a2", "b1"};
  DispatcherChooser Chooser{Time, "a"};

  Choice() { this->Chooser.configure(this->Settings, this->Live, {}); }

  std::string pick(const std::set<std::string> &Tried = {}) {
    return this->Chooser.choose("s", "key", Tried).value_or("none");
  }
};

} // namespace

Test(DispatcherChooser, OwnZoneIsUsedWhileItsWaitIsNotMuchLonger) {
  Choice World;
  const std::string Home = World.pick();
  cr_assert(Home == PeerA || Home == PeerA2);
  World.Chooser.recordLoadHint(Home, {"s", 0, 5, 0, 10});
  cr_assert(World.pick() == Home);
  World.Chooser.recordLoadHint(Home, {"s", 0, 50, 0, 500});
  cr_assert(World.pick() == PeerB);
  // The hint has expired.
  World.Time.advance(3s);
  cr_assert(World.pick() == Home);
}

// Guards against sending all requests to one dispatcher until its next load
// hint arrives.
Test(DispatcherChooser, OwnOutstandingWorkCounts) {
  Choice World;
  const std::string Home = World.pick();
  for (int I = 0; I < 64; ++I)
    World.Chooser.submitted(Home, "s");
  cr_assert(World.pick() == PeerB);
  for (int I = 0; I < 64; ++I)
    World.Chooser.ended(Home, "s");
  cr_assert(World.pick() == Home);
}

// Guards against resubmitting requests to a lost dispatcher, and against
// excluding that dispatcher for ever.
Test(DispatcherChooser, LostDispatcherIsReplacedByTheNextOwnerForAWhile) {
  Choice World;
  const std::string Home = World.pick();
  cr_assert(World.Chooser.handlePeerLoss(Home));
  const std::string Next = World.pick();
  cr_assert(Next == (Home == PeerA ? PeerA2 : PeerA));
  cr_assert(World.pick({Next}) == PeerB);
  cr_assert(World.pick({Next, PeerB}) == "none");
  World.Time.advance(4s);
  World.Chooser.configure(World.Settings, World.Live, {});
  cr_assert(World.pick() == Home);
}

Test(DispatcherChooser, AdoptedZoneHasOwnersElsewhere) {
  Choice World;
  World.Chooser.configure(World.Settings, {"b1"}, {});
  cr_assert(World.pick() == PeerB && World.pick({PeerB}) == "none");
  World.Chooser.configure(World.Settings, {"a1", "a2"}, {"b"});
  cr_assert(World.pick() != "none");
}

// Guards against refusing requests because of the load hint of only one
// dispatcher.
Test(DispatcherChooser, ExpectedWaitNeedsTheWordOfEveryOwner) {
  Choice World;
  const std::string Home = World.pick();
  World.Chooser.recordLoadHint(Home, {"s", 0, 5, 0, 900});
  cr_assert(!World.Chooser.leastExpectedWait("s"));
  World.Chooser.recordLoadHint(PeerB, {"s", 0, 5, 0, 400});
  cr_assert(World.Chooser.leastExpectedWait("s") == 400);
  cr_assert(!World.Chooser.leastExpectedWait("other"));
}
