#include "BatchJobs/ItemSchedulingPolicy.h"
#include "BatchJobs/WaitingItems.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

OwnedJob makeJob(std::int64_t AcceptedAtMillis,
                 const std::vector<std::optional<std::uint64_t>> &LastEvents) {
  OwnedJob Job;
  Job.Metadata.AcceptedAtMillis = AcceptedAtMillis;
  for (const auto &LastEventId : LastEvents) {
    Job.Items.emplace_back();
    Job.Items.back().LastEventId = LastEventId;
  }
  return Job;
}

} // namespace

// Guards against items that start too late to meet their deadline because the
// estimate ignores the time during which callers' requests preempt them.
Test(ItemOrder, TimeThatCallersTakeCounts) {
  ItemSchedulingPolicy Order;
  cr_assert(Order.canBeOnTime(1ms, 0),
            "an item cannot be on time although there are no samples");
  Order.recordCompletion(4s, 8s, 100);
  cr_assert_not(Order.canBeOnTime(7s, 0));
  cr_assert(Order.canBeOnTime(9s, 0));
  cr_assert(Order.canBeOnTime(5s, 50));
}

// Guards against a single item whose elapsed time includes an outage of the
// store, and after which every other item is estimated to be late.
Test(ItemOrder, OneLongWaitDoesNotHoldTheOthersBack) {
  ItemSchedulingPolicy Order;
  Order.recordCompletion(0s, 2s, 0);
  Order.recordCompletion(4s, 400s, 100);
  cr_assert(Order.canBeOnTime(17s, 0));
}

// Guards against a backlog in which every item starts and none completes while
// callers' requests preempt items. Items that need the least work start first,
// whichever job they belong to.
Test(WaitingItems, ThoseThatCameFarthestGoFirst) {
  std::map<std::string, OwnedJob> Jobs;
  Jobs["old"] = makeJob(100, {std::nullopt, 5, std::nullopt});
  Jobs["new"] = makeJob(200, {90, std::nullopt});
  Jobs["new"].Items.emplace_back();
  Jobs["new"].Items.back().State = ItemState::Running;
  const std::vector<ItemKey> Order = waitingItems(Jobs, Instant(1s));
  cr_assert_eq(Order.size(), 5);
  const auto Is = [&](std::size_t At, const char *JobId, std::size_t Index) {
    return Order[At].JobId == JobId && Order[At].Index == Index;
  };
  cr_assert(Is(0, "new", 0));
  cr_assert(Is(1, "old", 1));
  cr_assert(Is(2, "old", 0));
  cr_assert(Is(3, "old", 2));
  cr_assert(Is(4, "new", 1));
}

// Guards against an item that restarts before the delay after a failure ends.
Test(WaitingItems, PausingItemsAreLeftOut) {
  std::map<std::string, OwnedJob> Jobs;
  Jobs["j"] = makeJob(100, {3});
  Jobs["j"].Items[0].EarliestStart = Instant(2s);
  cr_assert(waitingItems(Jobs, Instant(1s)).empty());
  cr_assert_eq(waitingItems(Jobs, Instant(2s)).size(), 1);
}

// Guards against an item that moves from server to server without end, because
// all of them send events more slowly than a fixed limit allows.
Test(ItemRun, StallLimitFollowsThePaceOfTheItem) {
  ManualClock Time;
  ItemRun Run;
  Run.LastEventAt = Time.now();
  cr_assert(Run.stallLimit() == Duration(1500ms));
  ++Run.Stalls;
  cr_assert(Run.stallLimit() == Duration(3s));
  for (std::uint64_t Id = 0; Id < 2; ++Id) {
    Time.advance(2s);
    StreamEvent Event;
    Event.Id = Id;
    cr_assert(Run.appendEvent(Event, Time.now()));
  }
  cr_assert(Run.stallLimit() == Duration(8s));
  StreamEvent Gap;
  Gap.Id = 7;
  cr_assert_not(Run.appendEvent(Gap, Time.now()));
}
