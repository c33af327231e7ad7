#include "Control/FleetAgent.h"
#include "Control/SettingsFollower.h"
#include "Control/SettingsReplica.h"
#include "Control/SettingsStore.h"
#include "Core/IdSource.h"
#include "Support/ControlFleet.h"
#include "Support/FakePeerPort.h"
#include "Support/MemoryTable.h"
#include "Telemetry/Logger.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

FleetSettings initialSettings() {
  return checkSettings(makeFolder("0")).Settings;
}

/// The part of a controller that follows the settings, without an event loop.
struct Node {
  explicit Node(const std::shared_ptr<MemoryTable::Content> &Rows)
      : Rows(Rows), Store(this->Rows, this->Ids, this->Time),
        Replica(initialSettings(), makeFolder("0")),
        Follower(
            this->Store, this->Replica, this->Time, this->Log,
            [this] { ++this->ChangeCount; },
            [this](const std::string &Peer, SettingsRequest Request) {
              this->AskedPeer = Peer;
              this->Request = Request;
            }) {}

  ManualClock Time;
  MemoryTable Rows;
  IdSource Ids{7};
  NullLogger Log;
  SettingsStore Store;
  SettingsReplica Replica;
  SettingsFollower Follower;
  int ChangeCount = 0;
  std::string AskedPeer;
  SettingsRequest Request;
};

FleetView viewOf(std::uint64_t Version) {
  FleetView View;
  View.SettingsVersion = Version;
  View.SettingsDocument = packSettings(makeFolder(std::to_string(Version)));
  return View;
}

} // namespace

// Guards against restoring an old version on a late or repeated message.
Test(SettingsVersion, NeverGoesBackUnderAnyOrderOfMessages) {
  cr_assert(rc::check([](const std::vector<std::uint8_t> &Versions) {
    const ManualClock Time;
    EventLoop Loop(Time);
    FakePeerPort Peers;
    NullLogger Log;
    FleetAgent Agent(Loop, Peers, Log, "127.0.9.1:7104", "gateway",
                     initialSettings());
    SettingsReplica Replica(initialSettings(), makeFolder("0"));
    std::uint64_t Highest = 0;
    for (const std::uint8_t Version : Versions) {
      const FleetView View = viewOf(Version);
      Agent.handle(View);
      RC_ASSERT(
          Replica.adoptIfNewer(Version, makeFolder(std::to_string(Version)))
              .has_value());
      Highest = std::max<std::uint64_t>(Highest, Version);
      const std::string Class = "c" + std::to_string(Highest);
      RC_ASSERT(Agent.settings().Version == Highest);
      RC_ASSERT(Agent.settings().Classes.count(Class) == 1);
      RC_ASSERT(Replica.version() == Highest);
      RC_ASSERT(Replica.settings().Classes.count(Class) == 1);
    }
  }));
}

// Guards against replacing valid settings with malformed ones.
Test(SettingsVersion, DamagedDocumentLeavesThePresentOneInForce) {
  const ManualClock Time;
  EventLoop Loop(Time);
  FakePeerPort Peers;
  NullLogger Log;
  FleetAgent Agent(Loop, Peers, Log, "127.0.9.1:7104", "gateway",
                   initialSettings());
  Agent.handle(viewOf(3));
  FleetView Truncated = viewOf(4);
  Truncated.SettingsDocument.pop_back();
  Agent.handle(Truncated);
  cr_assert(Agent.settings().Version == 3);
  FleetView Invalid = viewOf(5);
  Invalid.SettingsDocument =
      packSettings({{"a.toml", "[zones.z]\nregion = 1\n"}});
  Agent.handle(Invalid);
  cr_assert(Agent.settings().Version == 3);
}

// Guards against a daemon that discards its own announcements because a view
// that the controller sent before the report arrives after it.
Test(FleetAgent, OwnFindingsHoldUntilTheControllerHasThem) {
  const ManualClock Time;
  EventLoop Loop(Time);
  FakePeerPort Peers;
  NullLogger Log;
  FleetAgent Agent(Loop, Peers, Log, "127.0.9.1:7104", "dispatcher",
                   initialSettings());
  cr_assert(Agent.liveNodes() == std::set<std::string>{"n1"});
  Agent.announceQuarantine("f1");
  cr_assert(Peers.all<NodeReport>().back().QuarantinedFingerprints.size() == 1);
  Agent.handle(FleetView{});
  cr_assert(Agent.quarantinedFingerprints().count("f1") == 1);
  FleetView Listed;
  Listed.QuarantinedFingerprints = {"f1"};
  Agent.handle(Listed);
  // Once the controller lists it, the controller decides when it expires.
  Agent.handle(FleetView{});
  cr_assert(Agent.quarantinedFingerprints().empty());
}

// Guards against a node that keeps the old settings folder of its VM image when
// it restarts while the platform is unavailable.
Test(SettingsFollower, RestartWithThePlatformDownTakesThePeersHighest) {
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Node Peer(Rows);
  cr_assert(*Peer.Replica.adoptIfNewer(9, makeFolder("9")));
  Node Restarted(Rows);
  Restarted.Rows.Faults.Always = StoreFault::Unavailable;
  Restarted.Follower.tick(false);
  Restarted.Follower.recordPeerVersion(4, "old");
  Restarted.Follower.handle({4, packSettings(makeFolder("4"))});
  Restarted.Follower.recordPeerVersion(9, "peer");
  cr_assert(Restarted.AskedPeer == "peer");
  Restarted.Follower.handle(Peer.Follower.answerRequest(Restarted.Request));
  cr_assert(Restarted.Replica.version() == 9);
  // A late answer of the other peer has no effect.
  Restarted.Follower.handle({4, packSettings(makeFolder("4"))});
  cr_assert(Restarted.Replica.version() == 9);
  cr_assert(Restarted.ChangeCount == 2);
}

// Guards against a node that asks a peer only once, gets no answer and remains
// at an old version.
Test(SettingsFollower, UnansweredRequestIsRepeatedToTheLatestPeer) {
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Node Behind(Rows);
  Behind.Rows.Faults.Always = StoreFault::Unavailable;
  Behind.Follower.recordPeerVersion(5, "gone");
  Behind.Follower.recordPeerVersion(5, "present");
  Behind.AskedPeer.clear();
  Behind.Time.advance(1s);
  Behind.Follower.tick(false);
  cr_assert(Behind.AskedPeer == "present");
}

// Guards against every node polling the table each half second.
Test(SettingsFollower, OnlyTheRelayPollsOften) {
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Node Relay(Rows);
  Node Other(Rows);
  for (int I = 0; I < 40; ++I) {
    Relay.Follower.tick(true);
    Other.Follower.tick(false);
    Relay.Time.advance(250ms);
    Other.Time.advance(250ms);
  }
  cr_assert(Relay.Rows.Faults.Reads == 20);
  cr_assert(Other.Rows.Faults.Reads == 1);
}
