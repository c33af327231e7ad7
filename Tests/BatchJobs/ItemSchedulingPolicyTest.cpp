#include "BatchJobs/ItemSchedulingPolicy.h"
#include "BatchJobs/WaitingItems.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

OwnedJob jobOf(std::int64_t AcceptedAtMillis,
               const std::vector<std::optional<std::uint64_t>> &LastEvents) {
  OwnedJob Job;
  Job.Head.AcceptedAtMillis = AcceptedAtMillis;
  for (const auto &LastEvent : LastEvents) {
    Job.Items.emplace_back();
    Job.Items.back().LastEvent = LastEvent;
  }
  return Job;
}

} // namespace

// Guards against items that are started too late to be on time, because waves
// of callers take their slots again and again before they end.
Test(ItemSchedulingPolicy, TimeThatCallersTakeCounts) {
  ItemSchedulingPolicy Order;
  cr_assert(Order.canBeOnTime(1ms, 0), "nothing is known yet");
  Order.finished(4s, 8s, 100);
  cr_assert_not(Order.canBeOnTime(7s, 0));
  cr_assert(Order.canBeOnTime(9s, 0));
  cr_assert(Order.canBeOnTime(5s, 50));
}

// Guards against one item that waited for the store, and after which no other
// one seems to be on time.
Test(ItemSchedulingPolicy, OneLongWaitDoesNotHoldTheOthersBack) {
  ItemSchedulingPolicy Order;
  Order.finished(0s, 2s, 0);
  Order.finished(4s, 400s, 100);
  cr_assert(Order.canBeOnTime(17s, 0));
}

// Guards against a backlog in which every item is begun and none is finished:
// with waves of callers, the slots that are left go to the items that need the
// least, whichever job they belong to.
Test(WaitingItems, ThoseThatCameFarthestGoFirst) {
  std::map<std::string, OwnedJob> Jobs;
  Jobs["old"] = jobOf(100, {std::nullopt, 5, std::nullopt});
  Jobs["new"] = jobOf(200, {90, std::nullopt});
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

// Guards against an item that starts again before the pause after a failure.
Test(WaitingItems, PausingItemsAreLeftOut) {
  std::map<std::string, OwnedJob> Jobs;
  Jobs["j"] = jobOf(100, {3});
  Jobs["j"].Items[0].NotBefore = Instant(2s);
  cr_assert(waitingItems(Jobs, Instant(1s)).empty());
  cr_assert_eq(waitingItems(Jobs, Instant(2s)).size(), 1);
}
