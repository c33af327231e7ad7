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

/// A zone with engines e0 to e2, of which e1 ignores fencing numbers.
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

// Guards against two controllers that order the same engines.
Test(ZoneLease, PausedHolderIsReplacedUnderAHigherNumber) {
  ManualClock Time;
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Candidate First(Rows, Time, "n0", 1);
  Candidate Second(Rows, Time, "n1", 2);
  First.Lease.tick(true);
  cr_assert(First.Lease.fencing() == 1);
  bool Overlap = false;
  // The first one is paused: it does nothing until the other has taken over.
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

// Guards against orders to an engine that ignores fencing numbers while an
// order of the previous holder may still be carried out there.
Test(ZoneLease, NewHolderWaitsForThePreviousOrdersDeadline) {
  ManualClock Time;
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Candidate Holder(Rows, Time, "n0", 1);
  Holder.Lease.tick(true);
  cr_assert(Holder.Lease.holds() && !Holder.Lease.holdsExclusively());
  const Instant Won = Time.now();
  while (!Holder.Lease.holdsExclusively() && Time.now() - Won < 1min) {
    Time.advance(1s);
    Holder.Lease.tick(true);
  }
  cr_assert(Time.now() - Won == ZoneLease::OrderDeadline + ZoneLease::Margin);
}

// Guards against a holder that loses its lease to a lost reply, and against
// one that believes in a renewal that never happened.
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
  // The renewal is not known to have happened, so the term runs from before.
  Time.advance(ZoneLease::HolderTerm - ZoneLease::RenewPeriod);
  cr_assert(!Holder.Lease.holds());
}

// Guards against a lease that goes on after an engine refused its number.
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
  const std::vector<EngineState> Seen = {{"e0", {"m2"}}, {"e1", {}}};
  Time.advance(1min);
  cr_assert(Orders.decide(Settings, Seen, {}, {0, false}).empty());
  cr_assert(Orders.decide(Settings, Seen, {}, {4, false}).empty());
  const auto Given = Orders.decide(Settings, Seen, {}, {4, true});
  cr_assert(Given.size() == 1 && Given[0].Server == "e1" &&
            Given[0].Fencing == 4 && Given[0].DeadlineMs == 5000);
  // The order is not repeated before its deadline, and then it is.
  cr_assert(Orders.decide(Settings, Seen, {}, {4, true}).empty());
  Time.advance(ZoneLease::OrderDeadline);
  cr_assert(Orders.decide(Settings, Seen, {}, {4, true}).size() == 1);
  // What was seen to be done is not ordered again.
  Time.advance(ZoneLease::OrderDeadline);
  cr_assert(Orders.decide(Settings, {{"e1", {"m2"}}}, {}, {4, true}).empty());
}

// Guards against a zone that loses a model because every copy looked spare.
Test(FleetOrderPlanner, LastCopyInTheZoneIsNeverUnloaded) {
  ManualClock Time;
  FleetOrderPlanner Orders(Time, "z0");
  const FleetSettings Settings = makeEngines(600);
  std::vector<EngineState> Seen = {
      {"e0", {"m1", "m2"}}, {"e1", {"m1", "m2"}}, {"e2", {"m1", "m2"}}};
  const auto Given = Orders.decide(Settings, Seen, {"e2"}, {1, true});
  // The copy on a server that leaves does not count as kept.
  cr_assert(countKind(Given, OrderKind::Unload) == 1);
  cr_assert(Given[0].Model == "m1");
  // While the unload is pending, the other copy is the last one.
  cr_assert(Orders.decide(Settings, Seen, {"e2"}, {1, true}).empty());
  Seen[0].Models = {"m2"};
  Time.advance(1min);
  cr_assert(Orders.decide(Settings, Seen, {"e2"}, {1, true}).empty());
}

// Guards against a weight store that is overrun after a takeover.
Test(FleetOrderPlanner, LoadsKeepToTheWeightStoresRate) {
  ManualClock Time;
  FleetOrderPlanner Orders(Time, "z0");
  const FleetSettings Settings = makeEngines(6);
  const std::vector<EngineState> Seen = {{"e0", {}}, {"e1", {}}, {"e2", {}}};
  Time.advance(1h);
  Orders.startTerm();
  std::size_t Loads = 0;
  std::set<std::string> Served;
  for (int Second = 0; Second < 60; ++Second) {
    for (const FleetOrder &Order :
         Orders.decide(Settings, Seen, {}, {1, true})) {
      ++Loads;
      Served.insert(Order.Server);
      Orders.failed(Order);
    }
    Time.advance(1s);
  }
  cr_assert(Loads >= 5 && Loads <= 6, "%zu loads", Loads);
  // An engine that always fails does not take the loads of the others.
  cr_assert(Served.size() == 3);
}
