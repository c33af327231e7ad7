#include "Support/StarterBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

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

// Guards against two suspects on one server, whose next crash would not show
// which of them is the cause, and against other items that wait behind suspects
// without a server.
Test(ItemStarter, SuspectsStartOnDifferentServers) {
  for (const bool Delayed : {false, true}) {
    StarterBench Bench;
    Bench.addServers("m", 3);
    Bench.Placement.setLoadsDelayed(Delayed);
    for (int I = 0; I < 8; ++I) {
      Bench.addItem("m", 10s);
      Bench.Waiting.back().IsSuspect = I < 5;
    }
    Bench.runFor(Tick);
    Bench.Starter.startItems({});
    const auto Suspects =
        std::count_if(Bench.Waiting.begin(), Bench.Waiting.end(),
                      [](const ItemCandidate &Item) { return Item.IsSuspect; });
    cr_assert_eq(Suspects, 2, "%td suspects wait", Suspects);
    cr_assert_eq(Bench.Waiting.size(), 2);
    const std::set<std::string> SuspectServers(Bench.BusyServers.begin(),
                                               Bench.BusyServers.begin() + 3);
    cr_assert_eq(SuspectServers.size(), 3);
  }
}
