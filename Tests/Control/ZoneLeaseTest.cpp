#include "Control/ZoneLease.h"
#include "Control/FleetOrderPlanner.h"
#include "Core/IdSource.h"
#include "Support/ControlFleet.h"
#include "Support/MemoryTable.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

struct Candidate {
  Candidate(const std::shared_ptr<MemoryTable::Content> &Rows,
            const Clock &Time, const std::string &Name, std::uint64_t Seed)
      : Rows(Rows), Ids(Seed), Lease(this->Rows, this->Ids, Time, "z0", Name) {}

  MemoryTable Rows;
  IdSource Ids;
  ZoneLease Lease;
};

/// Returns a zone with the engines e0 to e2, of which e1 ignores fencing
/// numbers.
FleetSettings makeEngines(std::uint32_t LoadsPerMinute) {
  FleetSettings Settings = makeFleet(1, 1);
  Settings.Platform.WeightLoadsPerMinute = LoadsPerMinute;
  Settings.Services["chat"] = {"chat", ServiceKind::Model, "m2"};
  for (int I = 0; I < 3; ++I) {
    const std::string Name = "e" + std::to_string(I);
    Settings.Servers[Name] = {Name, "chat", "z0", "127.0.9.9:1", 8, I != 1};
  }
  return Settings;
}

std::size_t countKind(const std::vector<FleetOrder> &Orders, OrderKind Kind) {
  return static_cast<std::size_t>(
      std::count_if(Orders.begin(), Orders.end(), [&](const FleetOrder &Order) {
        return Order.Kind == Kind;
      }));
}

} // namespace

// Guards against two controllers that send orders to the same engines.
Test(ZoneLease, PausedHolderIsReplacedUnderAHigherNumber) {
  ManualClock Time;
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Candidate First(Rows, Time, "n0", 1);
  Candidate Second(Rows, Time, "n1", 2);
  First.Lease.tick(true);
  cr_assert(First.Lease.fencing() == 1);
  bool Overlap = false;
  // The first candidate is paused until the second one has taken over the
  // lease.
  for (int I = 0; I < 14; ++I) {
    Second.Lease.tick(true);
    Overlap |= First.Lease.holds() && Second.Lease.holds();
    Time.advance(1s);
  }
  cr_assert(!Overlap);
  cr_assert(!First.Lease.holds());
  cr_assert(Second.Lease.fencing() == 2);
  First.Lease.tick(true);
  cr_assert(!First.Lease.holds());
}

// Guards against sending orders to an engine that ignores fencing numbers while
// it may still execute an order of the previous holder.
Test(ZoneLease, NewHolderWaitsForThePreviousOrdersDeadline) {
  ManualClock Time;
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Candidate Holder(Rows, Time, "n0", 1);
  Holder.Lease.tick(true);
  cr_assert(Holder.Lease.holds() && !Holder.Lease.holdsExclusively());
  const Instant AcquiredAt = Time.now();
  while (!Holder.Lease.holdsExclusively() && Time.now() - AcquiredAt < 1min) {
    Time.advance(1s);
    Holder.Lease.tick(true);
  }
  cr_assert(Time.now() - AcquiredAt ==
            ZoneLease::OrderDeadline + ZoneLease::ArrivalMargin);
}

// Guards against a holder that loses its lease because of a lost reply, and
// against one that assumes a renewal that did not take effect.
Test(ZoneLease, LostRepliesAreSettledByReadingBack) {
  ManualClock Time;
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Candidate Holder(Rows, Time, "n0", 1);
  Holder.Rows.Faults.Next = {StoreFault::None, StoreFault::ReplyLost};
  Holder.Lease.tick(true);
  cr_assert(Holder.Lease.fencing() == 1);
  Time.advance(ZoneLease::RenewPeriod);
  Holder.Rows.Faults.Next = {StoreFault::None, StoreFault::LateEffect};
  Holder.Lease.tick(true);
  // The outcome of the renewal is unknown, so the term still runs from the
  // write before it.
  Time.advance(ZoneLease::HolderTerm - ZoneLease::RenewPeriod);
  cr_assert(!Holder.Lease.holds());
}

// Guards against keeping a lease after an engine has refused its fencing
// number.
Test(ZoneLease, RefusedNumberEndsTheLeaseAndIsExceeded) {
  ManualClock Time;
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Candidate Holder(Rows, Time, "n0", 1);
  Holder.Lease.tick(true);
  Holder.Lease.relinquish();
  cr_assert(!Holder.Lease.holds());
  for (int I = 0; I < 14; ++I) {
    Holder.Lease.tick(true);
    Time.advance(1s);
  }
  cr_assert(Holder.Lease.fencing() == 2);
}

Test(FleetOrderPlanner, EnginesWithoutFencingGetOrdersOnlyFromALoneHolder) {
  ManualClock Time;
  FleetOrderPlanner Orders(Time, "z0");
  const FleetSettings Settings = makeEngines(600);
  const std::vector<EngineState> Observed = {{"e0", {"m2"}}, {"e1", {}}};
  Time.advance(1min);
  cr_assert(Orders.decide(Settings, Observed, {}, {0, false}).empty());
  cr_assert(Orders.decide(Settings, Observed, {}, {4, false}).empty());
  const auto Issued = Orders.decide(Settings, Observed, {}, {4, true});
  cr_assert(Issued.size() == 1 && Issued[0].Server == "e1" &&
            Issued[0].Fencing == 4 && Issued[0].DeadlineMs == 5000);
  // The order is repeated after its deadline, but not before.
  cr_assert(Orders.decide(Settings, Observed, {}, {4, true}).empty());
  Time.advance(ZoneLease::OrderDeadline);
  cr_assert(Orders.decide(Settings, Observed, {}, {4, true}).size() == 1);
  // A load whose effect was observed is not ordered again.
  Time.advance(ZoneLease::OrderDeadline);
  cr_assert(Orders.decide(Settings, {{"e1", {"m2"}}}, {}, {4, true}).empty());
}

// Guards against unloading all copies of a model because each one alone appears
// dispensable.
Test(FleetOrders, LastCopyInTheZoneIsNeverUnloaded) {
  ManualClock Time;
  FleetOrderPlanner Orders(Time, "z0");
  const FleetSettings Settings = makeEngines(600);
  std::vector<EngineState> Observed = {
      {"e0", {"m1", "m2"}}, {"e1", {"m1", "m2"}}, {"e2", {"m1", "m2"}}};
  const auto Issued = Orders.decide(Settings, Observed, {"e2"}, {1, true});
  // The copy on a leaving server does not count as kept.
  cr_assert(countKind(Issued, OrderKind::Unload) == 1);
  cr_assert(Issued[0].Model == "m1");
  // While the unload is pending, the other copy is the last one.
  cr_assert(Orders.decide(Settings, Observed, {"e2"}, {1, true}).empty());
  Observed[0].Models = {"m2"};
  Time.advance(1min);
  cr_assert(Orders.decide(Settings, Observed, {"e2"}, {1, true}).empty());
}

// Guards against overloading the weight store after a takeover of the lease.
Test(FleetOrders, LoadsKeepToTheWeightStoresRate) {
  ManualClock Time;
  FleetOrderPlanner Orders(Time, "z0");
  const FleetSettings Settings = makeEngines(6);
  const std::vector<EngineState> Observed = {
      {"e0", {}}, {"e1", {}}, {"e2", {}}};
  Time.advance(1h);
  Orders.startTerm();
  std::size_t Loads = 0;
  std::set<std::string> LoadedServers;
  for (int Second = 0; Second < 60; ++Second) {
    for (const FleetOrder &Order :
         Orders.decide(Settings, Observed, {}, {1, true})) {
      ++Loads;
      LoadedServers.insert(Order.Server);
      Orders.markFailed(Order);
    }
    Time.advance(1s);
  }
  cr_assert(Loads >= 5 && Loads <= 6, "%zu loads", Loads);
  // An engine whose loads always fail does not use up the loads of the others.
  cr_assert(LoadedServers.size() == 3);
}
