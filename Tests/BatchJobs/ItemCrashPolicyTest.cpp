#include "BatchJobs/ItemCrashPolicy.h"

#include "Core/Clock.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// Plays an item that crashes every server after \p Events events, for
/// \p Span. Counts are saved as ItemCrashMonitor does, and after each send that
/// \p IsVmLost selects, another VM goes on with the saved counts without having
/// seen the crash.
struct CrashingItem {
  ManualClock Time;
  ItemCrashPolicy Policy;
  ItemCrashCounts Saved;
  int Crashes = 0;
  int Sends = 0;
  int SendsAfterThirdCrash = 0;
  std::vector<Instant> SentAt;
  Instant ThirdCrashAt;
  int Cleared = 0;

  template <typename F> void run(Duration Span, int Events, F IsVmLost) {
    const Instant End = Time.now() + Span;
    for (; Time.now() < End; Time.advance(10ms)) {
      if (Policy.requestTrial(Time.now())) {
        Saved = Policy.counts();
        Policy.finishRequest(true, Time.now());
      }
      if (Policy.mayStart(Time.now()))
        this->crash(Events, IsVmLost(Sends));
    }
  }

  void crash(int Events, bool VmIsLost) {
    ++Sends;
    SentAt.push_back(Time.now());
    SendsAfterThirdCrash += Crashes >= 3 ? 1 : 0;
    Policy.recordStart();
    for (int Event = 1; Event <= Events; ++Event)
      Cleared += Policy.recordEvents(Event) ? 1 : 0;
    Time.advance(50ms);
    if (++Crashes == 3)
      ThirdCrashAt = Time.now();
    if (VmIsLost) {
      Policy = ItemCrashPolicy();
      Policy.restore(Saved, 0, Time.now());
      return;
    }
    if (!Policy.beginCheck(Events))
      return;
    Time.advance(60ms);
    Policy.finishCheck(true, Time.now());
    Saved = Policy.counts();
  }
};

/// Lets the item have \p Count crashes without events.
void crashTimes(CrashingItem &Item, int Count) {
  while (Item.Crashes < Count)
    Item.run(10ms, 0, [](int) { return false; });
}

/// The time after its third crash in which a request is not counted yet, the
/// number of sends that callers accept afterwards, and the time in which they
/// count them.
constexpr Duration ContactTime = 3s;
constexpr int MaxLateSends = 3;
constexpr Duration WatchedTime = 30s;

/// How long a job has after the last crash. Each of its items must reach a
/// server in that time.
constexpr Duration CompletionTime = 18s;

/// Checks that the sends of a crashing item from the one at \p First on are
/// spread, and that the item is never given up.
void checkSpread(const CrashingItem &Item, std::size_t First) {
  for (std::size_t I = First; I < Item.SentAt.size(); ++I) {
    const Duration Gap = Item.SentAt[I] - Item.SentAt[I - 1];
    cr_assert_geq(Gap, ItemCrashPolicy::LaterTrialDelay, "send %zu", I);
    cr_assert_lt(Gap, CompletionTime, "send %zu", I);
  }
  cr_assert_lt(Item.Time.now() - Item.SentAt.back(), CompletionTime);
}

} // namespace

// Guards against an item that is sent to all servers again and again although
// it crashes each of them, also if it does so after some events only.
Test(ItemCrashPolicy, CrashingItemIsSentSeldom) {
  for (const int Events : {0, 1, 7, 8, 20, 64}) {
    CrashingItem Item;
    Item.run(1h, Events, [](int) { return false; });
    cr_assert_eq(Item.Cleared, 0, "%d events", Events);
    checkSpread(Item, 6);
    const auto LateSends = std::count_if(
        Item.SentAt.begin(), Item.SentAt.end(), [&](Instant Each) {
          return Each > Item.ThirdCrashAt + ContactTime &&
                 Each < Item.ThirdCrashAt + WatchedTime;
        });
    cr_assert_leq(LateSends, MaxLateSends, "%d events", Events);
  }
}

// Guards against an innocent item that is never listed, because servers crashed
// under it by chance more often than a crashing item may be sent (review/11).
Test(ItemCrashPolicy, ItemUnderWhichServersOftenCrashedIsSentAgain) {
  for (int Crashes = 1; Crashes <= 20; ++Crashes) {
    CrashingItem Item;
    crashTimes(Item, Crashes);
    Item.run(CompletionTime, 0, [](int) { return false; });
    cr_assert_gt(Item.Sends, Crashes, "not sent after %d crashes", Crashes);
  }
}

// Guards against an item that is sent again and again because each VM that
// takes its job over counts from 0, or because the VM that tried it is lost
// before it saw the crash.
Test(ItemCrashPolicy, TrialsOutliveTheLossOfTheVm) {
  CrashingItem Item;
  Item.run(1h, 0, [](int Sends) { return Sends > 3; });
  checkSpread(Item, 6);
  const std::size_t SentBefore = Item.SentAt.size();
  Item.Policy = ItemCrashPolicy();
  Item.Policy.restore(Item.Saved, 0, Item.Time.now());
  const Instant RestoredAt = Item.Time.now();
  Item.run(1h, 0, [](int) { return false; });
  cr_assert_geq(Item.SentAt[SentBefore] - RestoredAt,
                ItemCrashPolicy::LaterTrialDelay);
  checkSpread(Item, SentBefore + 1);
}

// Guards against the same if the progress row was not written before all VMs
// were lost, and only the shared crash records tell of the crashes.
Test(ItemCrashPolicy, SharedCrashesCount) {
  CrashingItem Item;
  Item.Policy.restore({}, 3, Item.Time.now());
  cr_assert(Item.Policy.isOnTrial());
  Item.run(1h, 0, [](int) { return false; });
  checkSpread(Item, 3);
}

// Guards against trials within the time in which the crashed servers restart,
// which would keep all servers of a service down.
Test(ItemCrashPolicy, TrialsAreSpread) {
  CrashingItem Item;
  crashTimes(Item, 3);
  const Instant ThirdCrash = Item.Time.now();
  Item.run(3s, 0, [](int) { return false; });
  cr_assert_leq(Item.SendsAfterThirdCrash, 1);
  Item.run(7s, 0, [](int) { return false; });
  cr_assert_leq(Item.SendsAfterThirdCrash, 2);
  Item.run(15s, 0, [](int) { return false; });
  cr_assert_leq(Item.SendsAfterThirdCrash, 3);
  cr_assert_geq(Item.Time.now() - ThirdCrash, Duration(25s));
}

// Guards against a trial that is repeated after a loss of the VM, because its
// number was not saved when it started.
Test(ItemCrashPolicy, TrialStartsOnceItsNumberIsSaved) {
  CrashingItem Item;
  crashTimes(Item, 3);
  ItemCrashPolicy &Policy = Item.Policy;
  cr_assert_not(Policy.requestTrial(Item.Time.now()), "the trial is not due");
  Item.Time.advance(3s);
  cr_assert(Policy.requestTrial(Item.Time.now()));
  cr_assert_eq(Policy.counts().Trials, 1);
  cr_assert_not(Policy.mayStart(Item.Time.now()));
  cr_assert_not(Policy.requestTrial(Item.Time.now()), "the save is in flight");
  Policy.finishRequest(false, Item.Time.now());
  Item.Time.advance(2s);
  cr_assert_not(Policy.mayStart(Item.Time.now()));
  cr_assert(Policy.requestTrial(Item.Time.now()));
  cr_assert_eq(Policy.counts().Trials, 1, "a failed save used up a trial");
  Policy.finishRequest(true, Item.Time.now());
  cr_assert(Policy.mayStart(Item.Time.now()));
}

// Guards against an innocent item that is never sent again, because servers
// refused its trials or were slow.
Test(ItemCrashPolicy, SendsWithoutACrashUseUpNoTrial) {
  CrashingItem Item;
  crashTimes(Item, 3);
  Item.Time.advance(3s);
  cr_assert(Item.Policy.requestTrial(Item.Time.now()));
  Item.Policy.finishRequest(true, Item.Time.now());
  for (int I = 0; I < 20; ++I) {
    cr_assert(Item.Policy.mayStart(Item.Time.now()));
    Item.Policy.recordStart();
    if (I % 2 == 0) {
      cr_assert(Item.Policy.beginCheck(0));
      cr_assert_not(Item.Policy.mayStart(Item.Time.now()));
      Item.Policy.finishCheck(false, Item.Time.now());
    }
    Item.Policy.recordEndWithoutCrash();
  }
  cr_assert_eq(Item.Policy.counts().Trials, 1);
  cr_assert_eq(Item.Policy.counts().Crashes, 3);
}

// Guards against bystanders that stay apart from other items, or wait for
// trials, although they outlived the event at which servers crashed.
Test(ItemCrashPolicy, ItemThatOutlivesItsCrashesIsCleared) {
  for (const int Crashes : {1, 2, 3, 5}) {
    CrashingItem Item;
    crashTimes(Item, Crashes);
    cr_assert(Item.Policy.isSuspect());
    for (int Event = 1; Event < ItemCrashPolicy::ClearingEvents; ++Event)
      cr_assert_not(Item.Policy.recordEvents(Event));
    cr_assert(Item.Policy.recordEvents(ItemCrashPolicy::ClearingEvents));
    cr_assert_not(Item.Policy.isSuspect());
    cr_assert_eq(Item.Policy.counts().Trials, 0);
    Item.Policy.recordEndWithoutCrash();
    Item.Time.advance(1min);
    cr_assert(Item.Policy.mayStart(Item.Time.now()));
  }
}

// Guards against suspicion of items that ran for long before a server crashed.
Test(ItemCrashPolicy, ItemWithManyEventsIsNoSuspect) {
  ItemCrashPolicy Policy;
  cr_assert_not(Policy.beginCheck(ItemCrashPolicy::MaxEventsOfSuspect + 1));
  cr_assert_not(Policy.isSuspect());
}

// Guards against a crash that is forgotten because the VM stops while the
// server is checked, and against trials lost at a stop before they started.
Test(ItemCrashPolicy, HandOverSettlesTheCounts) {
  CrashingItem Item;
  crashTimes(Item, 2);
  cr_assert(Item.Policy.beginCheck(5));
  Item.Policy.prepareHandOver();
  cr_assert_eq(Item.Policy.counts().Crashes, 3);
  cr_assert_eq(Item.Policy.counts().EventsBeforeCrash, 5);
  Item.Time.advance(1min);
  cr_assert(Item.Policy.requestTrial(Item.Time.now()));
  Item.Policy.finishRequest(true, Item.Time.now());
  ItemCrashPolicy Running = Item.Policy;
  Item.Policy.prepareHandOver();
  cr_assert_eq(Item.Policy.counts().Trials, 0);
  Running.recordStart();
  Running.prepareHandOver();
  cr_assert_eq(Running.counts().Trials, 1);
}

// Guards against undefined behaviour on the counts of a damaged row.
Test(ItemCrashPolicy, DamagedCountsAreBounded) {
  ItemCrashPolicy Policy;
  Policy.restore({INT32_MAX, INT32_MIN, INT32_MAX}, UINT32_MAX, Instant());
  cr_assert_eq(Policy.counts().Trials, 0);
  cr_assert(Policy.beginCheck(1));
  Policy.finishCheck(true, Instant());
  cr_assert(Policy.isOnTrial());
  cr_assert_not(Policy.recordEvents(1));
}
