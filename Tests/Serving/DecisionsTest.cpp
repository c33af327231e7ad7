#include "Core/Hash.h"
#include "Serving/EventSplitter.h"
#include "Serving/LoadTracker.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServerDirectory.h"
#include "Serving/ServingSettings.h"
#include "Support/FakeChannels.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

RouteSettings route(const char *Host, const char *Prefix) {
  RouteSettings Route;
  Route.Name = std::string(Host) + Prefix;
  Route.Host = Host;
  Route.PathPrefix = Prefix;
  return Route;
}

} // namespace

// Checks that a request is not served by a route with a shorter prefix or
// another host.
Test(ServingSettings, LongestPrefixOfTheHostWins) {
  ServingSettings Settings;
  Settings.Routes = {route("h", "/"), route("h", "/a/b/"), route("h", "/a/"),
                     route("other", "/a/b/c/")};
  const auto Name = [&](const char *Host, const char *Target) {
    const RouteSettings *Found = findRoute(Settings, Host, Target);
    return Found ? Found->Name : std::string("none");
  };
  cr_assert_str_eq(Name("h", "/a/b/c/d").c_str(), "h/a/b/");
  cr_assert_str_eq(Name("H:80", "/a/x?q=/a/b/").c_str(), "h/a/");
  cr_assert_str_eq(Name("h", "/ab").c_str(), "h/");
  cr_assert_str_eq(Name("none", "/a/").c_str(), "none");
}

// Checks that each service gets the share of requests that its weight gives.
Test(ServingSettings, WeightsDivideTheRequests) {
  RouteSettings Route;
  Route.Services = {{"a", 90}, {"b", 10}, {"never", 0}};
  int ToB = 0;
  for (std::uint64_t Key = 0; Key < 100'000; ++Key) {
    const std::string_view Picked = pickService(Route, Key * 7919);
    cr_assert_neq(Picked, "never");
    ToB += Picked == "b";
  }
  cr_assert_geq(ToB, 9'000);
  cr_assert_leq(ToB, 11'000);
}

// Checks that no event is lost or changed at the boundary of two pieces.
Test(EventSplitter, PiecesOfAnySizeGiveTheSameEvents) {
  cr_assert(rc::check([] {
    const std::string Bytes = "id: 0\ndata: a\ndata: b\n\n"
                              "id: 1\r\ndata: c\r\n\r\nid: 2\ndata: cut";
    EventSplitter Splitter;
    std::vector<StreamEvent> Events;
    std::string Whole;
    for (std::size_t At = 0; At < Bytes.size();) {
      const auto Size = *rc::gen::inRange<std::size_t>(1, 9);
      for (StreamEvent &Event :
           Splitter.feed(std::string_view(Bytes).substr(At, Size))) {
        Whole += Event.Bytes;
        Events.push_back(std::move(Event));
      }
      At += Size;
    }
    RC_ASSERT(Events.size() == 2);
    RC_ASSERT(Events[0].Data == "a\nb");
    RC_ASSERT(Events[1].Id == 1U);
    RC_ASSERT(Whole + Splitter.incompleteEvent() == Bytes);
  }));
}

// Guards against other text that counts as fields, because it has colons, and
// swallows the fields behind it.
Test(EventSplitter, OtherTextIsNotAnEvent) {
  for (const std::string Line :
       {"{\"status\":\"queued\"}id: 0", "HTTP/1.1 200 OK", "a b: c",
        "<p title=\"a:b\">"}) {
    EventSplitter Splitter;
    const std::vector<StreamEvent> Events =
        Splitter.feed(Line + "\ndata: a\n\nid: 1\ndata: b\n\n");
    cr_assert_eq(Events.size(), 2);
    cr_expect_not(Events[0].IsWellFormed, "%s", Line.c_str());
    cr_expect(Events[1].IsWellFormed);
  }
}

// Checks that the VMs together withdraw neither too few items, which would let
// callers wait, nor more than needed.
Test(LoadBook, AllVmsTogetherYieldWhatCallersNeed) {
  cr_assert(rc::check([] {
    const auto Count = *rc::gen::inRange<std::size_t>(1, 8);
    const int Slots = *rc::gen::inRange(1, 12);
    std::vector<std::string> Names;
    std::vector<ServerLoad> Loads;
    ServerLoad Total;
    for (std::size_t I = 0; I < Count; ++I) {
      Names.push_back("node" + std::to_string(I));
      Loads.push_back({*rc::gen::inRange(0, 4), *rc::gen::inRange(0, 6)});
      Total.Online += Loads.back().Online;
      Total.Batch += Loads.back().Batch;
    }
    int TotalWithdrawn = 0;
    for (std::size_t I = 0; I < Count; ++I) {
      LoadTracker Tracker(Names[I]);
      for (int N = 0; N < Loads[I].Online; ++N)
        Tracker.addOnlineRequest("s");
      for (int N = 0; N < Loads[I].Batch; ++N)
        Tracker.addBatchItem("s");
      for (std::size_t Peer = 0; Peer < Count; ++Peer)
        if (Peer != I)
          Tracker.setPeerLoads(Names[Peer], {{serverKey("s"), Loads[Peer]}});
      const int Withdrawn = Tracker.batchItemsToYield("s", Slots);
      RC_ASSERT(Withdrawn <= Loads[I].Batch);
      TotalWithdrawn += Withdrawn;
    }
    const int NeededItems =
        std::max(0, std::min(Total.Batch, Total.Online + Total.Batch - Slots));
    RC_ASSERT(TotalWithdrawn == NeededItems);
  }));
}

// Checks that leaving and removed servers get no more requests, and that a
// restart clears the failures of the earlier incarnation.
Test(ServerDirectory, OnlyServersThatTakeRequestsAreUsable) {
  ManualClock Time;
  ServerDirectory Servers(Time);
  Servers.update({"s1", "m", "1.1.1.1:1", "a", 8, false, 10});
  Servers.update({"s2", "m", "1.1.1.1:2", "a", 8, true, 10});
  Servers.update({"s3", "other", "1.1.1.1:3", "a", 8, false, 10});
  cr_assert_eq(Servers.usableServers("m").size(), 1);
  Servers.recordFailure("s1");
  cr_assert(Servers.find("s1")->AvoidedUntil > Time.now());
  cr_assert(Servers.update({"s1", "m", "1.1.1.1:1", "a", 8, false, 11}));
  cr_assert(Servers.find("s1")->AvoidedUntil <= Time.now());
  Servers.remove("s1");
  cr_assert(Servers.usableServers("m").empty());
}

// Checks that servers whose entries may only have expired while the list was
// unavailable are still used, but not indefinitely.
Test(ServerDirectory, MissingServersAreUsedForAWhileAfterAGap) {
  ManualClock Time;
  ServerDirectory Servers(Time);
  Servers.update({"s1", "m", "1.1.1.1:1", "a", 8, false, 10});
  Servers.replaceAll({}, Time.now() + 2s);
  cr_assert_eq(Servers.usableServers("m").size(), 1);
  Time.advance(2s);
  cr_assert(Servers.usableServers("m").empty());
  Servers.update({"s1", "m", "1.1.1.1:1", "a", 8, false, 10});
  cr_assert_eq(Servers.usableServers("m").size(), 1);
}

// Places a burst of requests on a fleet that is full of batch items. Checks
// that no request waits at one server while items could give up slots at
// another.
Test(PlacementPolicy, WaveOfCallersTakesTheSlotsOfItemsEverywhere) {
  ManualClock Time;
  ServerDirectory Servers(Time);
  LoadTracker Loads("self");
  FakeChannels Channels;
  const PlacementPolicy Placement(Time, Servers, Loads, Channels, "a", "self");
  constexpr int ServerCount = 6;
  constexpr int Slots = 8;
  for (int I = 0; I < ServerCount; ++I) {
    const std::string Id = "s" + std::to_string(I);
    Servers.update({Id, "m", "1.1.1.1:1", I % 2 ? "a" : "b", Slots, false, 1});
    for (int N = 0; N < Slots; ++N)
      Loads.addBatchItem(Id);
  }
  for (int Caller = 0; Caller < ServerCount * Slots; ++Caller) {
    const KnownServer *Chosen = Placement.placeOnlineRequest("m", {}).Server;
    cr_assert_not_null(Chosen);
    Loads.addOnlineRequest(Chosen->Entry.Id);
  }
  for (int I = 0; I < ServerCount; ++I)
    cr_assert_eq(Loads.totalLoad("s" + std::to_string(I)).Online, Slots);
  cr_assert_null(Placement.chooseBatchServer("m", 0));
}

// Checks that no item is started on a slot that an online request uses.
Test(PlacementPolicy, ItemsGetOnlyFreeSlots) {
  ManualClock Time;
  ServerDirectory Servers(Time);
  LoadTracker Loads("self");
  FakeChannels Channels;
  const PlacementPolicy Placement(Time, Servers, Loads, Channels, "a", "self");
  Servers.update({"s", "m", "1.1.1.1:1", "a", 2, false, 1});
  Loads.setPeerLoads("peer", {{serverKey("s"), {1, 0}}});
  cr_assert_not_null(Placement.chooseBatchServer("m", 0));
  Loads.addBatchItem("s");
  cr_assert_null(Placement.chooseBatchServer("m", 0));
  Loads.removePeer("peer");
  cr_assert_not_null(Placement.chooseBatchServer("m", 0));
  Servers.recordFailure("s");
  cr_assert_null(Placement.chooseBatchServer("m", 0));
}

// Guards against idle servers that never get an item because as many slots are
// kept free as they have: in other zones, with delayed loads, or for urgent
// items. Where there are more slots, they are still kept free.
Test(PlacementPolicy, IdleServerTakesAnItemHoweverFewItsSlots) {
  for (const char *Zone : {"a", "b"})
    for (const bool Delayed : {false, true})
      for (const int Reserved : {0, 2})
        for (int Slots = 1; Slots <= 8; ++Slots) {
          ManualClock Time;
          ServerDirectory Servers(Time);
          LoadTracker Loads("self");
          FakeChannels Channels;
          PlacementPolicy Placement(Time, Servers, Loads, Channels, "a",
                                    "self");
          Placement.setLoadsDelayed(Delayed);
          Servers.update({"s", "m", "1.1.1.1:1", Zone, Slots, false, 1});
          if (Delayed)
            Loads.setZoneLoads("b", {});
          cr_assert_gt(Placement.freeBatchSlots("m"), 0);
          int Items = 0;
          while (Placement.chooseBatchServer("m", Reserved)) {
            Loads.addBatchItem("s");
            ++Items;
          }
          const int Kept = std::max(Reserved, Delayed || *Zone == 'b' ? 1 : 0);
          cr_assert_eq(Items, std::max(1, Slots - Kept),
                       "zone %s, delayed %d, reserved %d, slots %d: %d items",
                       Zone, Delayed, Reserved, Slots, Items);
          cr_assert_eq(Loads.batchItemsToYield("s", Slots), 0);
          Loads.addOnlineRequest("s");
          if (Items == Slots)
            cr_assert_gt(Loads.batchItemsToYield("s", Slots), 0);
        }
}

// Guards against items that are never sent to a sound and idle server, because
// another VM that cannot reach it reports failures without end.
Test(PlacementPolicy, ServerThatOnlyOtherVmsAvoidTakesItems) {
  ManualClock Time;
  ServerDirectory Servers(Time);
  LoadTracker Loads("self");
  FakeChannels Channels;
  const PlacementPolicy Placement(Time, Servers, Loads, Channels, "a", "self");
  Servers.update({"s1", "m", "1.1.1.1:1", "a", 1, false, 1});
  Servers.update({"s2", "m", "1.1.1.1:2", "a", 1, false, 1});
  Servers.applyPeerAvoidance(serverKey("s1"));
  cr_assert_eq(Placement.chooseBatchServer("m", 0)->Entry.Id, "s2");
  Loads.addBatchItem("s2");
  cr_assert_null(Placement.chooseBatchServer("m", 0));
  for (int Report = 0; Report < 100; ++Report) {
    Servers.applyPeerAvoidance(serverKey("s1"));
    Servers.applyPeerAvoidance(serverKey("s2"));
    Time.advance(100ms);
    cr_assert_not_null(Placement.chooseBatchServer("m", 0));
  }
  Servers.recordFailure("s1");
  cr_assert_null(Placement.chooseBatchServer("m", 0));
}

// Replays a wave of callers over 60 VMs that all choose from the same counts,
// before any of them sees what the others chose. Guards against sending all of
// them to the one server with the least load.
Test(PlacementPolicy, ManyVmsWithTheSameCountsSpreadTheirRequests) {
  constexpr int ServerCount = 30;
  constexpr int Slots = 7;
  constexpr int Choices = 60;
  std::map<std::string, int> Requests;
  for (int Vm = 0; Vm < Choices; ++Vm) {
    ManualClock Time;
    ServerDirectory Servers(Time);
    LoadTracker Loads("vm" + std::to_string(Vm));
    FakeChannels Channels;
    PlacementPolicy Placement(Time, Servers, Loads, Channels, "a",
                              "vm" + std::to_string(Vm));
    Placement.setLoadsDelayed(true);
    LoadsByServer Sums;
    for (int I = 0; I < ServerCount; ++I) {
      const std::string Id = "s" + std::to_string(I);
      Servers.update({Id, "m", "1.1.1.1:1", "a", Slots, false, 1});
      // One server has slightly less load than the others, and one is full.
      Sums[serverKey(Id)] = {I == 0 ? 2 : I == 1 ? 3 * Slots : 3, 0};
    }
    Loads.setZoneLoads("a", Sums);
    ++Requests[Placement.placeOnlineRequest("m", {}, hash64(std::to_string(Vm)))
                   .Server->Entry.Id];
  }
  for (const auto &[Server, Count] : Requests)
    cr_assert_leq(Count, Slots, "%s got %d requests", Server.c_str(), Count);
  cr_assert_not(Requests.contains("s1"));
}

// Guards against servers that two VMs avoid for ever, each because the other
// one does: after a burst of failures, items that wait are never placed again.
Test(ServerDirectory, AvoidanceEndsOnVmsThatReportItToEachOther) {
  ManualClock Time;
  Time.advance(1h);
  ServerDirectory First(Time);
  ServerDirectory Second(Time);
  for (ServerDirectory *Vm : {&First, &Second}) {
    Vm->update({"s1", "model", "127.0.0.1:1", "a", 8, false, 1});
    Vm->recordFailure("s1");
  }
  for (int Round = 0; Round < 100; ++Round) {
    Time.advance(100ms);
    for (const std::uint32_t Key : First.avoidedServers())
      Second.applyPeerAvoidance(Key);
    for (const std::uint32_t Key : Second.avoidedServers())
      First.applyPeerAvoidance(Key);
  }
  cr_assert(First.avoidedServers().empty());
  cr_assert_leq(First.find("s1")->AvoidedUntil, Time.now());
  cr_assert_leq(Second.find("s1")->AvoidedUntil, Time.now());
}
