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

FleetSettings startSettings() {
  return checkSettings(makeFolder("0")).Settings;
}

/// The controller's part that follows the settings, without a loop.
struct Node {
  explicit Node(const std::shared_ptr<MemoryTable::Content> &Rows)
      : Rows(Rows), Store(this->Rows, this->Ids, this->Time),
        Replica(startSettings(), makeFolder("0")),
        Follower(
            this->Store, this->Replica, this->Time, this->Log,
            [this] { ++this->Adoptions; },
            [this](const std::string &Peer, SettingsRequest Request) {
              this->Asked = Peer;
              this->Request = Request;
            }) {}

  ManualClock Time;
  MemoryTable Rows;
  IdSource Ids{7};
  NullLogger Log;
  SettingsStore Store;
  SettingsReplica Replica;
  SettingsFollower Follower;
  int Adoptions = 0;
  std::string Asked;
  SettingsRequest Request;
};

FleetView viewOf(std::uint64_t Version) {
  FleetView View;
  View.SettingsVersion = Version;
  View.SettingsDocument = packSettings(makeFolder(std::to_string(Version)));
  return View;
}

} // namespace

// Guards against an old version that a late or repeated message brings back.
Test(SettingsVersion, NeverGoesBackUnderAnyOrderOfMessages) {
  cr_assert(rc::check([](const std::vector<std::uint8_t> &Versions) {
    const ManualClock Time;
    EventLoop Loop(Time);
    FakePeerPort Peers;
    NullLogger Log;
    FleetAgent Agent(Loop, Peers, Log, "127.0.9.1:7104", "gateway",
                     startSettings());
    SettingsReplica Replica(startSettings(), makeFolder("0"));
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

// Guards against a daemon that drops working settings for damaged ones.
Test(SettingsVersion, DamagedDocumentLeavesThePresentOneInForce) {
  const ManualClock Time;
  EventLoop Loop(Time);
  FakePeerPort Peers;
  NullLogger Log;
  FleetAgent Agent(Loop, Peers, Log, "127.0.9.1:7104", "gateway",
                   startSettings());
  Agent.handle(viewOf(3));
  FleetView Cut = viewOf(4);
  Cut.SettingsDocument.pop_back();
  Agent.handle(Cut);
  cr_assert(Agent.settings().Version == 3);
  FleetView Wrong = viewOf(5);
  Wrong.SettingsDocument =
      packSettings({{"a.toml", "[zones.z]\nregion = 1\n"}});
  Agent.handle(Wrong);
  cr_assert(Agent.settings().Version == 3);
}

// Guards against a gateway that forgets what it found out itself because a
// view that was sent before its report arrives after it.
Test(FleetAgent, OwnFindingsHoldUntilTheControllerHasThem) {
  const ManualClock Time;
  EventLoop Loop(Time);
  FakePeerPort Peers;
  NullLogger Log;
  FleetAgent Agent(Loop, Peers, Log, "127.0.9.1:7104", "dispatcher",
                   startSettings());
  cr_assert(Agent.liveNodes() == std::set<std::string>{"n1"});
  Agent.announceQuarantine("f1");
  cr_assert(Peers.all<NodeReport>().back().QuarantinedFingerprints.size() == 1);
  Agent.handle(FleetView{});
  cr_assert(Agent.quarantinedFingerprints().count("f1") == 1);
  FleetView Listed;
  Listed.QuarantinedFingerprints = {"f1"};
  Agent.handle(Listed);
  // From here the controller decides when it ends.
  Agent.handle(FleetView{});
  cr_assert(Agent.quarantinedFingerprints().empty());
}

// Guards against a node that restarts into the old folder of its VM's image
// while the platform is down.
Test(SettingsFollower, RestartWithThePlatformDownTakesThePeersHighest) {
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Node Peer(Rows);
  cr_assert(*Peer.Replica.adoptIfNewer(9, makeFolder("9")));
  Node Restarted(Rows);
  Restarted.Rows.Faults.Always = StoreFault::Unavailable;
  Restarted.Follower.tick(false);
  Restarted.Follower.learn(4, "old");
  Restarted.Follower.handle({4, packSettings(makeFolder("4"))});
  Restarted.Follower.learn(9, "peer");
  cr_assert(Restarted.Asked == "peer");
  Restarted.Follower.handle(Peer.Follower.answer(Restarted.Request));
  cr_assert(Restarted.Replica.version() == 9);
  // A late answer of the other peer changes nothing.
  Restarted.Follower.handle({4, packSettings(makeFolder("4"))});
  cr_assert(Restarted.Replica.version() == 9);
  cr_assert(Restarted.Adoptions == 2);
}

// Guards against a node that asks a peer once, gets no answer and stays behind.
Test(SettingsFollower, UnansweredRequestIsRepeatedToTheLatestPeer) {
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Node Behind(Rows);
  Behind.Rows.Faults.Always = StoreFault::Unavailable;
  Behind.Follower.learn(5, "gone");
  Behind.Follower.learn(5, "present");
  Behind.Asked.clear();
  Behind.Time.advance(1s);
  Behind.Follower.tick(false);
  cr_assert(Behind.Asked == "present");
}

// Guards against polling of the table by every node each half second.
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
