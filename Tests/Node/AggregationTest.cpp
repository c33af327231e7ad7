#include "Node/AggregatorElection.h"
#include "Node/NodeTimes.h"
#include "Node/PeerDirectory.h"
#include "Node/ZoneSummary.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <memory>
#include <rapidcheck.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

std::string addressOf(int Node) {
  return "10.1.0." + std::to_string(Node) + ":7660";
}

std::string incarnationOf(int Node) { return "n" + std::to_string(Node); }

/// The VMs of one zone, which exchange messages in memory.
struct ZoneBench {
  explicit ZoneBench(int Count) {
    std::vector<ListedNode> Listed;
    Listed.reserve(static_cast<std::size_t>(Count) +
                   PeerDirectory::MaxMeshNodes);
    for (int I = 0; I < Count; ++I)
      Listed.push_back({addressOf(I), "a", I < 3 ? 50 : 12});
    // Enough VMs of another zone to make every VM use summaries.
    for (int I = 0; I < static_cast<int>(PeerDirectory::MaxMeshNodes); ++I)
      Listed.push_back({"10.2.0." + std::to_string(I) + ":7660", "b", 12});
    for (int I = 0; I < Count; ++I) {
      this->Loads.push_back(std::make_unique<LoadTracker>(incarnationOf(I)));
      this->Crashes.push_back(std::make_unique<CrashCounter>(this->Time));
      this->Directories.push_back(std::make_unique<PeerDirectory>(
          this->Time, *this->Loads.back(), *this->Crashes.back(),
          incarnationOf(I), Listed[static_cast<std::size_t>(I)]));
      this->Directories.back()->setListedNodes(Listed);
    }
    this->Stopped.resize(this->Directories.size());
  }

  PeerDigest digestOf(std::size_t Node) {
    PeerDigest Digest;
    Digest.Incarnation = incarnationOf(static_cast<int>(Node));
    Digest.Zone = "a";
    Digest.Sequence = ++this->Sequence;
    Digest.ServerLoads = this->Loads[Node]->localLoads();
    return Digest;
  }

  /// Lets every VM send its digest, and then every aggregator its summary.
  void exchange() {
    this->Time.advance(50ms);
    for (std::size_t From = 0; From < this->Directories.size(); ++From) {
      if (this->Stopped[From])
        continue;
      this->Directories[From]->detectSilentPeers();
      this->Directories[From]->election().checkForSilence();
      const PeerDigest Digest = this->digestOf(From);
      this->Directories[From]->recordSentDigest(Digest.Sequence,
                                                Digest.ServerLoads);
      for (const std::string &To :
           this->Directories[From]->election().digestReceivers())
        for (std::size_t I = 0; I < this->Directories.size(); ++I)
          if (!this->Stopped[I] && To == addressOf(static_cast<int>(I)))
            this->Directories[I]->handleDigest(
                addressOf(static_cast<int>(From)), Digest);
    }
    for (std::size_t From : this->acting()) {
      ZoneSummary Summary =
          this->Directories[From]->summarizeOwnZone(this->digestOf(From));
      Summary.Sequence = ++this->Sequence;
      const Result<ZoneSummary> Read = decodeSummary(encodeSummary(Summary));
      for (std::size_t I = 0; I < this->Directories.size(); ++I)
        if (!this->Stopped[I] && I != From)
          this->Directories[I]->handleSummary(*Read);
    }
  }

  void exchangeFor(Duration Span) {
    for (Duration Passed(0); Passed < Span; Passed += 50ms)
      this->exchange();
  }

  std::vector<std::size_t> acting() {
    std::vector<std::size_t> Found;
    for (std::size_t I = 0; I < this->Directories.size(); ++I)
      if (!this->Stopped[I] && this->Directories[I]->election().isActing(
                                   this->Directories[I]->ownZoneDigests() + 1))
        Found.push_back(I);
    return Found;
  }

  ManualClock Time;
  std::vector<std::unique_ptr<LoadTracker>> Loads;
  std::vector<std::unique_ptr<CrashCounter>> Crashes;
  std::vector<std::unique_ptr<PeerDirectory>> Directories;
  std::vector<bool> Stopped;
  std::uint64_t Sequence = 0;
};

} // namespace

// Guards against fields that are lost between encoding and decoding, and
// against a crash on truncated or foreign datagrams.
Test(ZoneSummary, DecodedSummaryIsTheEncodedOne) {
  ZoneSummary Summary;
  Summary.Zone = "a";
  Summary.Aggregator = nodeKey("n1");
  Summary.Sequence = 8;
  Summary.Loads[serverKey("s")] = {3, 2};
  Summary.Members = {{nodeKey("n2"), "10.1.0.9:7660", 5, 12, true, false}};
  Summary.AvoidedServers = {4};
  Summary.Crashes = {{77, 1, 2, true, true, 4, {{5, 3}}, {8, 9, 10}}};
  const std::string Bytes = encodeSummary(Summary);
  cr_assert(isZoneSummary(Bytes));
  cr_assert_not(isZoneSummary(encodeDigest(PeerDigest())));
  const Result<ZoneSummary> Read = decodeSummary(Bytes);
  cr_assert(Read);
  cr_assert_eq(Read->Loads.at(serverKey("s")).Batch, 2);
  cr_assert_str_eq(Read->Members.at(0).Address.c_str(), "10.1.0.9:7660");
  cr_assert(Read->Members.at(0).Stopping);
  cr_assert_eq(Read->Members.at(0).Weight, 12);
  cr_assert_eq(Read->Crashes.at(0).Servers.at(0).Count, 3);
  cr_assert_eq(Read->Crashes.at(0).Resets, 1);
  cr_assert_eq(Read->Crashes.at(0).AgeSeconds, 2);
  cr_assert(Read->Crashes.at(0).Stored);
  cr_assert(Read->Crashes.at(0).IsPart);
  cr_assert_eq(Read->Crashes.at(0).Trials, 4);
  cr_assert_eq(Read->Crashes.at(0).Requests.size(), 3);
  cr_assert(rc::check([&](const std::string &Foreign) {
    (void)decodeSummary(Foreign);
    const auto Length = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    RC_ASSERT_FALSE(decodeSummary(Bytes.substr(0, Length)).has_value());
  }));
}

// Guards against a VM that counts its own requests twice, or misses those that
// it sent after the summary, because a summary contains its older loads.
Test(ZoneAggregation, EveryVmSeesTheLoadOfTheWholeZone) {
  ZoneBench Bench(20);
  Bench.exchangeFor(2s);
  cr_assert_eq(Bench.acting().size(), 1);
  for (auto &Loads : Bench.Loads) {
    Loads->addOnlineRequest("s");
    Loads->addBatchItem("s");
  }
  Bench.exchangeFor(200ms);
  for (auto &Loads : Bench.Loads) {
    cr_assert_eq(Loads->totalLoad("s").Online, 20);
    cr_assert_eq(Loads->totalLoad("s").Batch, 20);
    Loads->addOnlineRequest("s");
    cr_assert_eq(Loads->totalLoad("s").Online, 21);
  }
  for (auto &Loads : Bench.Loads) {
    Loads->removeOnlineRequest("s");
    Loads->removeOnlineRequest("s");
    Loads->removeBatchItem("s");
  }
  Bench.exchangeFor(200ms);
  for (auto &Loads : Bench.Loads)
    cr_assert_eq(Loads->totalLoad("s").Online, 0);
}

// Guards against aggregators that are small VMs although the zone has large
// ones.
Test(ZoneAggregation, TheLargestVmsSumUp) {
  ZoneBench Bench(20);
  Bench.exchangeFor(2s);
  cr_assert_lt(Bench.acting().at(0), 3);
}

// Guards against loads that stay out of date, and against live VMs that look
// gone, after the aggregators of a zone were killed together.
Test(ZoneAggregation, OtherVmsTakeOverFromKilledAggregators) {
  ZoneBench Bench(20);
  Bench.exchangeFor(2s);
  const std::size_t First = Bench.acting().at(0);
  Bench.Stopped[First] = true;
  Bench.exchangeFor(400ms);
  cr_assert_eq(Bench.acting().size(), 1);
  Bench.Stopped[Bench.acting().at(0)] = true;
  for (int Step = 0; Step < 60; ++Step) {
    Bench.exchange();
    for (std::size_t Node = 0; Node < 20; ++Node)
      for (std::size_t Other = 0; Other < 20; ++Other)
        if (!Bench.Stopped[Node] && !Bench.Stopped[Other])
          cr_assert(Bench.Directories[Node]->isAlive(
                        incarnationOf(static_cast<int>(Other))) ||
                        !Bench.Directories[Node]->hasOverview(),
                    "step %d: %zu takes %zu for gone", Step, Node, Other);
  }
  cr_assert_eq(Bench.acting().size(), 1);
  for (std::size_t Node = 0; Node < 20; ++Node)
    if (!Bench.Stopped[Node])
      cr_assert_not(Bench.Directories[Node]->isAlive(
          incarnationOf(static_cast<int>(First))));
  Bench.Loads[19]->addOnlineRequest("s");
  Bench.exchangeFor(200ms);
  cr_assert_eq(Bench.Loads[18]->totalLoad("s").Online, 1);
}

// Guards against a VM that has just started and ranks first, but gets no
// digests yet: its summary would show the whole zone as gone.
Test(ZoneAggregation, NewVmDoesNotReplaceAnAggregatorWithMoreMembers) {
  ManualClock Time;
  AggregatorElection Election(Time, "a", addressOf(0));
  Election.setCandidates("a", {{addressOf(0), 100}, {addressOf(1), 50}});
  cr_assert_not(Election.isActing(1));
  for (int I = 0; I < 40; ++I) {
    Time.advance(50ms);
    Election.recordOwnZoneSummary(60);
    cr_assert_not(Election.isActing(1));
  }
  cr_assert(Election.isActing(59));
  Time.advance(250ms);
  cr_assert(Election.isActing(1));
}

// Guards against control traffic that grows with the square of the VMs.
Test(ZoneAggregation, DigestsGoToTwoVmsOfTheZone) {
  ZoneBench Bench(60);
  Bench.exchangeFor(2s);
  for (auto &Directory : Bench.Directories) {
    cr_assert(Directory->usesAggregation());
    cr_assert_leq(Directory->election().digestReceivers().size(), 2);
    cr_assert_leq(Directory->addresses("a").size(), 59);
  }
}

// Guards against VMs that withdraw more items than callers need, because each
// of them sees the same excess and not what the others do about it.
Test(ZoneAggregation, VmsThatKnowOnlySumsYieldAboutWhatCallersNeed) {
  constexpr int Nodes = 400;
  constexpr int Excess = 100;
  constexpr int Slots = Nodes - Excess;
  int Yielded = 0;
  for (int Node = 0; Node < Nodes; ++Node) {
    LoadTracker Loads(incarnationOf(Node));
    Loads.addBatchItem("s");
    Loads.setZoneLoads("a", {{serverKey("s"), {0, Nodes - 1}}});
    const int Count = Loads.batchItemsToYield("s", Slots);
    Yielded += Count;
    if (Count > 0)
      Loads.removeBatchItem("s");
    // The same sums again do not show what the others have withdrawn.
    cr_assert_eq(Loads.batchItemsToYield("s", Slots), 0);
  }
  cr_assert_geq(Yielded, Excess / 2);
  cr_assert_leq(Yielded, Excess * 2);
}

// Guards against sums that drift from the loads they are made of.
Test(LoadTracker, SumsEqualTheLoadsAfterAnyChanges) {
  cr_assert(rc::check([] {
    LoadTracker Tracker("self");
    std::map<std::string, ServerLoad> Expected;
    for (int Step = 0; Step < 40; ++Step) {
      const std::string Name = "p" + std::to_string(*rc::gen::inRange(0, 5));
      const ServerLoad Load{*rc::gen::inRange(0, 9), *rc::gen::inRange(0, 9)};
      switch (*rc::gen::inRange(0, 4)) {
      case 0:
        Tracker.setPeerLoads(Name, {{serverKey("s"), Load}});
        Expected["peer " + Name] = Load;
        break;
      case 1:
        Tracker.setZoneLoads(Name, {{serverKey("s"), Load}});
        Expected["zone " + Name] = Load;
        break;
      case 2:
        Tracker.removePeer(Name);
        Expected.erase("peer " + Name);
        break;
      default:
        Tracker.removeZone(Name);
        Expected.erase("zone " + Name);
      }
      ServerLoad Sum;
      for (const auto &[From, Each] : Expected) {
        Sum.Online += Each.Online;
        Sum.Batch += Each.Batch;
      }
      RC_ASSERT(Tracker.totalLoad("s").Online == Sum.Online);
      RC_ASSERT(Tracker.totalLoad("s").Batch == Sum.Batch);
    }
  }));
}

// Guards against taking over all jobs of another zone while the aggregators of
// the own zone change, and against never noticing that a zone is gone.
Test(ZoneAggregation, OtherZoneIsGoneOnlyAfterALongSilence) {
  ZoneBench Bench(1);
  ZoneSummary Summary;
  Summary.Zone = "b";
  Summary.Aggregator = nodeKey("far");
  Summary.Sequence = 1;
  Summary.Members = {{nodeKey("far"), "10.2.0.1:7660", 1, 12, false, true}};
  Summary.Loads[serverKey("s")] = {2, 0};
  PeerDirectory &Directory = *Bench.Directories.front();
  cr_assert(Directory.handleSummary(Summary));
  Bench.Time.advance(2s);
  Directory.detectSilentPeers();
  cr_assert(Directory.isAlive("far"));
  Bench.Time.advance(1s);
  Directory.detectSilentPeers();
  cr_assert_not(Directory.isAlive("far"));
  cr_assert_eq(Bench.Loads.front()->totalLoad("s").Online, 0);
}

// Guards against a VM in a large fleet that does not learn which VMs have newer
// settings, because it gets only summaries.
Test(Aggregation, SummariesTellWhoHasTheNewestSettings) {
  ZoneBench Bench(6);
  Bench.exchangeFor(4s);
  ManualClock Time;
  LoadTracker Loads{"far"};
  CrashCounter Crashes{Time};
  PeerDirectory Far{Time, Loads, Crashes, "far", {"10.3.0.1:7660", "c", 12}};
  const std::size_t From = Bench.acting().front();
  PeerDigest Own = Bench.digestOf(From);
  Own.SettingsVersion = 7;
  for (std::size_t I = 0; I < 6; ++I) {
    PeerDigest Digest = Bench.digestOf(I);
    Digest.SettingsVersion = I == 4 || I == 5 ? 8 : 7;
    Bench.Directories[From]->handleDigest(addressOf(static_cast<int>(I)),
                                          Digest);
  }
  cr_assert_eq(Far.lastHeard(), Instant());
  Time.advance(1s);
  ZoneSummary Summary = Bench.Directories[From]->summarizeOwnZone(Own);
  Summary.Sequence = 1;
  const Result<ZoneSummary> Read = decodeSummary(encodeSummary(Summary));
  cr_assert(Read);
  Far.handleSummary(*Read);
  cr_assert_eq(Far.lastHeard(), Time.now());
  cr_assert_eq(Far.newestSettings(), 8);
  const std::vector<std::string> Newer = {addressOf(4), addressOf(5)};
  cr_assert(Far.addressesWithSettingsAfter(7) == Newer);
  cr_assert(Far.addressesWithSettingsAfter(8).empty());
}
