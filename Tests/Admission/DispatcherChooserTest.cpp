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
FleetSettings makeTwoZones() {
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

struct ChooserFixture {
  ManualClock Time;
  FleetSettings Settings = makeTwoZones();
  std::set<std::string> Live = {"a1", "a2", "b1"};
  DispatcherChooser Chooser{Time, "a"};

  ChooserFixture() { this->Chooser.configure(this->Settings, this->Live, {}); }

  std::string pick(const std::set<std::string> &Tried = {}) {
    return this->Chooser.choose("s", "key", Tried).value_or("none");
  }
};

} // namespace

Test(DispatcherChooser, OwnZoneIsUsedWhileItsWaitIsNotMuchLonger) {
  ChooserFixture Fixture;
  const std::string OwnZonePeer = Fixture.pick();
  cr_assert(OwnZonePeer == PeerA || OwnZonePeer == PeerA2);
  Fixture.Chooser.recordLoadHint(OwnZonePeer, {"s", 0, 5, 0, 10});
  cr_assert(Fixture.pick() == OwnZonePeer);
  Fixture.Chooser.recordLoadHint(OwnZonePeer, {"s", 0, 50, 0, 500});
  cr_assert(Fixture.pick() == PeerB);
  // The hint has expired.
  Fixture.Time.advance(3s);
  cr_assert(Fixture.pick() == OwnZonePeer);
}

// Guards against sending all requests to one dispatcher until its next load
// hint arrives.
Test(DispatcherChooser, OwnOutstandingWorkCounts) {
  ChooserFixture Fixture;
  const std::string OwnZonePeer = Fixture.pick();
  for (int I = 0; I < 64; ++I)
    Fixture.Chooser.recordSubmission(OwnZonePeer, "s");
  cr_assert(Fixture.pick() == PeerB);
  for (int I = 0; I < 64; ++I)
    Fixture.Chooser.recordEnd(OwnZonePeer, "s");
  cr_assert(Fixture.pick() == OwnZonePeer);
}

// Guards against resubmitting requests to a lost dispatcher, and against
// excluding that dispatcher for ever.
Test(DispatcherChooser, LostDispatcherIsReplacedByTheNextOwnerForAWhile) {
  ChooserFixture Fixture;
  const std::string OwnZonePeer = Fixture.pick();
  cr_assert(Fixture.Chooser.handlePeerLoss(OwnZonePeer));
  const std::string Next = Fixture.pick();
  cr_assert(Next == (OwnZonePeer == PeerA ? PeerA2 : PeerA));
  cr_assert(Fixture.pick({Next}) == PeerB);
  cr_assert(Fixture.pick({Next, PeerB}) == "none");
  Fixture.Time.advance(4s);
  Fixture.Chooser.configure(Fixture.Settings, Fixture.Live, {});
  cr_assert(Fixture.pick() == OwnZonePeer);
}

Test(DispatcherChooser, AdoptedZoneHasOwnersElsewhere) {
  ChooserFixture Fixture;
  Fixture.Chooser.configure(Fixture.Settings, {"b1"}, {});
  cr_assert(Fixture.pick() == PeerB && Fixture.pick({PeerB}) == "none");
  Fixture.Chooser.configure(Fixture.Settings, {"a1", "a2"}, {"b"});
  cr_assert(Fixture.pick() != "none");
}

// Guards against refusing requests because of the load hint of only one
// dispatcher.
Test(DispatcherChooser, ExpectedWaitNeedsTheWordOfEveryOwner) {
  ChooserFixture Fixture;
  const std::string OwnZonePeer = Fixture.pick();
  Fixture.Chooser.recordLoadHint(OwnZonePeer, {"s", 0, 5, 0, 900});
  cr_assert(!Fixture.Chooser.leastExpectedWait("s"));
  Fixture.Chooser.recordLoadHint(PeerB, {"s", 0, 5, 0, 400});
  cr_assert(Fixture.Chooser.leastExpectedWait("s") == 400);
  cr_assert(!Fixture.Chooser.leastExpectedWait("other"));
}
