#include "BatchJobs/ItemStarter.h"
#include "Core/Hash.h"
#include "Serving/LoadTracker.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServerDirectory.h"
#include "Support/FakeChannels.h"
#include "Telemetry/Logger.h"

#include <criterion/criterion.h>
#include <deque>
#include <set>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

constexpr Duration Tick = 20ms;

/// Why the servers of a service take no items.
enum class Trouble { Gone, Full, Avoided, Leaving };

/// An ItemStarter with services that the test plays. Items that started keep
/// their slots until finishAll().
struct StarterBench {
  ManualClock Time;
  ServerDirectory Servers{Time};
  LoadTracker Loads{"self"};
  FakeChannels Channels;
  NullLogger Log;
  PlacementPolicy Placement{Time, Servers, Loads, Channels, "a", "self"};
  bool OtherVmsHaveUrgentItems = false;
  int OtherVmsWaitingItems = 0;
  /// Deques, because the candidates refer to the texts.
  std::deque<std::string> Ids;
  std::vector<ItemCandidate> Waiting;
  std::vector<std::string> Started;
  std::vector<std::string> BusyServers;
  ItemStarter Starter{Time,
                      Placement,
                      Servers,
                      Log,
                      {[this] { return this->OtherVmsHaveUrgentItems; },
                       [this] { return this->OtherVmsWaitingItems; },
                       [this](const ItemKey &Key, const KnownServer &Server) {
                         this->start(Key, Server);
                       }}};

  void addServers(const std::string &Service, int Count, int Slots = 8) {
    for (int I = 0; I < Count; ++I)
      this->Servers.update({Service + std::to_string(I), Service, "127.0.0.1:1",
                            "a", Slots, false, 1});
  }

  /// Makes the \p Count servers of \p Service unable to take items.
  void breakServers(const std::string &Service, int Count, Trouble Kind) {
    for (int I = 0; I < Count; ++I) {
      const std::string Id = Service + std::to_string(I);
      if (Kind == Trouble::Gone) {
        this->Servers.remove(Id);
      } else if (Kind == Trouble::Full) {
        for (int Slot = 0; Slot < this->Servers.find(Id)->Entry.Slots; ++Slot)
          this->Loads.addOnlineRequest(Id);
      } else if (Kind == Trouble::Avoided) {
        // Consecutive failures lengthen the time to several seconds.
        for (int Failure = 0; Failure < 5; ++Failure)
          this->Servers.recordFailure(Id);
      } else {
        this->Servers.recordLeaving(Id);
      }
    }
  }

  void addItem(const char *Service, Duration TimeLeft) {
    const std::string &Id =
        this->Ids.emplace_back("item" + std::to_string(this->Ids.size()));
    this->Waiting.push_back({{Id, 0}, Id, Service, TimeLeft, 0});
  }

  void start(const ItemKey &Key, const KnownServer &Server) {
    this->Started.push_back(Key.JobId);
    this->BusyServers.push_back(Server.Entry.Id);
    this->Loads.addBatchItem(Server.Entry.Id);
  }

  void runFor(Duration Span) {
    for (Duration Passed(0); Passed < Span; Passed += Tick) {
      this->Time.advance(Tick);
      this->Starter.startItems(this->Waiting);
      const std::set<std::string> Gone(this->Started.begin(),
                                       this->Started.end());
      std::erase_if(this->Waiting, [&](const ItemCandidate &Item) {
        return Gone.contains(Item.Key.JobId);
      });
    }
  }

  void finishAll() {
    for (const std::string &Server : std::exchange(this->BusyServers, {}))
      this->Loads.removeBatchItem(Server);
  }

  int waitingOf(std::string_view Service) const {
    return static_cast<int>(std::count_if(
        this->Waiting.begin(), this->Waiting.end(),
        [&](const ItemCandidate &Item) { return Item.Service == Service; }));
  }
};

} // namespace

// Guards against items that wait behind those of a service whose servers are
// gone, full, avoided or leaving, while their own servers are idle. Plays each
// trouble with different orders, lateness, and with delayed loads.
Test(ItemStarter, ServiceThatTakesNoItemsHoldsUpNoOther) {
  for (const Trouble Kind :
       {Trouble::Gone, Trouble::Full, Trouble::Avoided, Trouble::Leaving})
    for (std::uint64_t Seed = 0; Seed < 64; ++Seed) {
      StarterBench Bench;
      Bench.addServers("broken", 3);
      Bench.addServers("idle", 3);
      Bench.breakServers("broken", 3, Kind);
      Bench.Placement.setLoadsDelayed(Seed % 2 == 1);
      Bench.Starter.startItems({});
      for (std::uint64_t I = 0; I < 20; ++I) {
        const std::uint64_t Draw = hash64(std::to_string(I), Seed);
        // Nothing is known of the run time yet, so the sign decides.
        const Duration TimeLeft = Draw & 1U ? 10s : -10s;
        Bench.addItem(I == 0 || Draw & 2U ? "broken" : "idle", TimeLeft);
      }
      Bench.runFor(1s);
      cr_assert_eq(Bench.waitingOf("idle"), 0, "trouble %d, seed %lu: %d wait",
                   static_cast<int>(Kind), static_cast<unsigned long>(Seed),
                   Bench.waitingOf("idle"));
      cr_assert_gt(Bench.waitingOf("broken"), 0);
    }
}

// Guards against items of one service that start in another order because of
// those of other services.
Test(ItemStarter, ItemsOfAServiceKeepTheirOrder) {
  StarterBench Bench;
  Bench.addServers("x", 1, 2);
  Bench.addServers("y", 1, 1);
  for (int I = 0; I < 30; ++I)
    Bench.addItem(I % 3 == 0 ? "y" : "x", 10s);
  for (int Round = 0; Round < 20; ++Round) {
    Bench.runFor(Tick);
    Bench.finishAll();
  }
  cr_assert(Bench.Waiting.empty());
  for (const bool IsY : {false, true}) {
    int Last = -1;
    for (const std::string &Id : Bench.Started) {
      const int Number = std::stoi(Id.substr(4));
      if ((Number % 3 == 0) != IsY)
        continue;
      cr_assert_gt(Number, Last);
      Last = Number;
    }
  }
}

// Guards against late items of a busy service that never start, because the
// starts of another service's late items take the turns reserved for late ones.
Test(ItemStarter, LateItemsOfOneServiceTakeNoTurnsOfAnother) {
  StarterBench Bench;
  Bench.addServers("busy", 1, 1);
  Bench.addServers("idle", 1, 1);
  Bench.addItem("busy", -10s);
  const std::string LateItem = Bench.Ids.back();
  for (int Round = 0; Round < 40; ++Round) {
    Bench.addItem("busy", 10s);
    Bench.addItem("idle", -10s);
    Bench.runFor(Tick);
    Bench.finishAll();
  }
  cr_assert(std::count(Bench.Started.begin(), Bench.Started.end(), LateItem));
}

// Guards against late items of other VMs that leave slots free everywhere for
// urgent items that no server can run.
Test(ItemStarter, OnlyItemsWithAServerAreUrgentForOtherVms) {
  StarterBench Bench;
  Bench.addServers("m", 1, 1);
  Bench.addItem("m", 10s);
  Bench.addItem("m", 10s);
  Bench.runFor(Tick);
  cr_assert(Bench.Starter.hasUrgentItems());
  Bench.Servers.remove("m0");
  Bench.runFor(Tick);
  cr_assert_not(Bench.Starter.hasUrgentItems());
  cr_assert_eq(Bench.Starter.waitingItemCount(), 1);
}

// Guards against items that are never sent to idle servers with one or two
// slots, because other VMs have urgent items or loads become known late.
Test(ItemStarter, ItemsStartOnIdleServersWithFewSlots) {
  for (const int Slots : {1, 2})
    for (const bool Delayed : {false, true})
      for (const Duration TimeLeft : {-10s, 10s}) {
        StarterBench Bench;
        Bench.OtherVmsHaveUrgentItems = true;
        Bench.addServers("m", 3, Slots);
        Bench.Placement.setLoadsDelayed(Delayed);
        Bench.Starter.startItems({});
        for (int I = 0; I < 3; ++I)
          Bench.addItem("m", TimeLeft);
        Bench.runFor(1s);
        cr_assert(Bench.Waiting.empty(), "slots %d, delayed %d: %zu wait",
                  Slots, Delayed, Bench.Waiting.size());
      }
}
