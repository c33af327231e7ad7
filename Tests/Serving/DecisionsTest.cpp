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

// Guards against a request that a shorter prefix or another host takes.
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

// Guards against a split that sends a service more or less than its weight.
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

// Guards against events that are lost or changed where pieces meet.
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
    RC_ASSERT(Whole + Splitter.rest() == Bytes);
  }));
}

// Guards against VMs that together give way with too few items, so that callers
// wait, or with more than needed.
Test(LoadTracker, AllVmsTogetherYieldWhatCallersNeed) {
  cr_assert(rc::check([] {
    const auto Count = *rc::gen::inRange<std::size_t>(1, 8);
    const int Slots = *rc::gen::inRange(1, 12);
    std::vector<std::string> Names;
    std::vector<ServerLoad> Use;
    ServerLoad Sum;
    for (std::size_t I = 0; I < Count; ++I) {
      Names.push_back("node" + std::to_string(I));
      Use.push_back({*rc::gen::inRange(0, 4), *rc::gen::inRange(0, 6)});
      Sum.Online += Use.back().Online;
      Sum.Batch += Use.back().Batch;
    }
    int Yielded = 0;
    for (std::size_t I = 0; I < Count; ++I) {
      LoadTracker Book(Names[I]);
      for (int N = 0; N < Use[I].Online; ++N)
        Book.addOnlineRequest("s");
      for (int N = 0; N < Use[I].Batch; ++N)
        Book.addBatchItem("s");
      for (std::size_t Peer = 0; Peer < Count; ++Peer)
        if (Peer != I)
          Book.setPeerLoads(Names[Peer], {{serverKey("s"), Use[Peer]}});
      const int Part = Book.batchItemsToYield("s", Slots);
      RC_ASSERT(Part <= Use[I].Batch);
      Yielded += Part;
    }
    const int Needed =
        std::max(0, std::min(Sum.Batch, Sum.Online + Sum.Batch - Slots));
    RC_ASSERT(Yielded == Needed);
  }));
}

// Guards against a leaving, vanished or restarted server that gets requests as
// before.
Test(ServerDirectory, OnlyServersThatTakeRequestsAreUsable) {
  ManualClock Time;
  ServerDirectory Servers(Time);
  Servers.update({"s1", "m", "1.1.1.1:1", "a", 8, false, 10});
  Servers.update({"s2", "m", "1.1.1.1:2", "a", 8, true, 10});
  Servers.update({"s3", "other", "1.1.1.1:3", "a", 8, false, 10});
  cr_assert_eq(Servers.usable("m").size(), 1);
  Servers.failed("s1");
  cr_assert(Servers.find("s1")->AvoidedUntil > Time.now());
  cr_assert(Servers.update({"s1", "m", "1.1.1.1:1", "a", 8, false, 11}));
  cr_assert(Servers.find("s1")->AvoidedUntil <= Time.now());
  Servers.remove("s1");
  cr_assert(Servers.usable("m").empty());
}

// Guards against servers that are dropped although their entries only lapsed
// while the list was away, and against one that is used for ever.
Test(ServerDirectory, MissingServersAreUsedForAWhileAfterAGap) {
  ManualClock Time;
  ServerDirectory Servers(Time);
  Servers.update({"s1", "m", "1.1.1.1:1", "a", 8, false, 10});
  Servers.replace({}, Time.now() + 2s);
  cr_assert_eq(Servers.usable("m").size(), 1);
  Time.advance(2s);
  cr_assert(Servers.usable("m").empty());
  Servers.update({"s1", "m", "1.1.1.1:1", "a", 8, false, 10});
  cr_assert_eq(Servers.usable("m").size(), 1);
}

// Replays a wave of callers over a fleet that batch items fill, and guards
// against callers that queue at one server while slots could be given up at
// another one.
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
    cr_assert_eq(Loads.total("s" + std::to_string(I)).Online, Slots);
  cr_assert_null(Placement.chooseBatchServer("m", 0));
}

// Guards against items that are started on slots which callers use.
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
  Servers.failed("s");
  cr_assert_null(Placement.chooseBatchServer("m", 0));
}
