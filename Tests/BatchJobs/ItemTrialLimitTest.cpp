#include "BatchJobs/ItemTrialLimit.h"

#include "BatchJobs/ItemCrashMonitor.h"
#include "Support/RunnerBench.h"

#include <criterion/criterion.h>

#include <set>
#include <vector>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// Plays the trials of items under which servers crashed so often that their
/// trials are limited. The clock of the trials is advanced by the test.
struct LimitedTrials {
  RunnerBench Bench;
  ManualClock Time;
  std::map<std::string, OwnedJob> Jobs;
  std::string ServiceOfOthers = "model";
  ItemCrashMonitor Monitor{
      Time,
      Bench.Detector,
      Bench.Crashes,
      Bench.Store,
      Bench.Log,
      Bench.Stats,
      [this](const ItemKey &Key) {
        return &this->Jobs.at(Key.JobId).Items[Key.Index];
      },
      [this](const OwnedJob &, const ItemRun &Run) -> std::string_view {
        return Run.Item.Id.starts_with("other") ? this->ServiceOfOthers
                                                : "model";
      }};

  /// The number of trials that were requested.
  int Requested = 0;

  void add(const std::string &Id) {
    ItemRun &Run = Jobs["j"].Items.emplace_back();
    Run.Item.Id = Id;
    Run.Server = "s1";
    Run.Service = Id.starts_with("other") ? ServiceOfOthers : "model";
    Run.Crashes.restore({6, ItemCrashPolicy::FirstTrials, 0}, 0, Time.now());
  }

  ItemRun &item(std::size_t Index) { return Jobs.at("j").Items[Index]; }

  int countedTrials() const {
    int Sum = 0;
    for (const ItemRun &Run : Jobs.at("j").Items)
      Sum += Run.Crashes.counts().Trials;
    return Sum;
  }

  /// Requests trials and starts the items that may start. Returns them.
  std::vector<std::size_t> startTrials() {
    const int Before = this->countedTrials();
    Monitor.requestTrials(Jobs);
    this->Requested += this->countedTrials() - Before;
    cr_assert(runUntil(Bench.Loop, [&] {
      return Bench.Stats.value("item_trials_total") == this->Requested;
    }));
    std::vector<std::size_t> Started;
    for (std::size_t I = 0; I < Jobs.at("j").Items.size(); ++I)
      if (ItemRun &Run = this->item(I);
          Run.State == ItemState::Pending && Run.Crashes.mayStart(Time.now())) {
        Run.State = ItemState::Running;
        Run.Crashes.recordStart();
        Started.push_back(I);
      }
    return Started;
  }

  void crash(std::size_t Index) {
    this->item(Index).State = ItemState::Pending;
    const std::size_t Sends = Bench.Channels.All.size();
    Monitor.sendFailed({"j", Index}, this->item(Index));
    cr_assert(runUntil(Bench.Loop,
                       [&] { return Bench.Channels.All.size() > Sends; }));
    Bench.Channels.fail(Bench.Channels.last().Id, SendFailure::NotSent);
    cr_assert_not(this->item(Index).Crashes.isCheckPending());
  }

  void clear(std::size_t Index) {
    this->item(Index).NewEvents = ItemCrashPolicy::ClearingEvents;
    Monitor.eventsReceived({"j", Index}, this->item(Index));
    cr_assert_not(this->item(Index).Crashes.isSuspect());
  }
};

} // namespace

// Guards against a job with many items that crash servers, which would take
// down a service by their number, and against items among them that are never
// tried.
Test(ItemTrialLimit, CrashingItemsAreTriedOneAfterTheOther) {
  constexpr std::size_t Items = 6;
  LimitedTrials Trials;
  for (std::size_t I = 0; I < Items; ++I)
    Trials.add("item" + std::to_string(I));
  std::vector<Instant> SentAt;
  std::set<std::size_t> Tried;
  const Instant End =
      Trials.Time.now() + ItemTrialLimit::PauseAfterCrash * (Items + 1);
  for (; Trials.Time.now() < End; Trials.Time.advance(1s))
    for (const std::size_t Index : Trials.startTrials()) {
      if (!SentAt.empty())
        cr_assert_geq(Trials.Time.now() - SentAt.back(),
                      ItemTrialLimit::PauseAfterCrash);
      SentAt.push_back(Trials.Time.now());
      Tried.insert(Index);
      Trials.crash(Index);
    }
  cr_assert_eq(Tried.size(), Items);
}

// Guards against innocent items that wait for each other's trials until their
// job ends.
Test(ItemTrialLimit, ManyInnocentItemsAreClearedSoon) {
  constexpr std::size_t Items = 40;
  LimitedTrials Trials;
  for (std::size_t I = 0; I < Items; ++I)
    Trials.add("item" + std::to_string(I));
  Trials.Time.advance(ItemCrashPolicy::LaterTrialDelay);
  std::size_t Cleared = 0;
  for (int Round = 0; Round < 6; ++Round)
    for (const std::size_t Index : Trials.startTrials()) {
      Trials.clear(Index);
      ++Cleared;
    }
  cr_assert_eq(Cleared, Items, "%zu were cleared", Cleared);
}

// Guards against an innocent item that waits behind items that crash servers at
// each of their trials.
Test(ItemTrialLimit, ItemsWithTheFewestTrialsGoFirst) {
  LimitedTrials Trials;
  Trials.add("crashing0");
  Trials.add("crashing1");
  for (int Round = 0; Round < 2; ++Round) {
    Trials.Time.advance(ItemTrialLimit::PauseAfterCrash);
    const std::vector<std::size_t> Started = Trials.startTrials();
    cr_assert_eq(Started.size(), 1);
    Trials.crash(Started.front());
  }
  Trials.add("innocent");
  Trials.Time.advance(ItemTrialLimit::PauseAfterCrash);
  cr_assert(Trials.startTrials() == std::vector<std::size_t>{2});
  Trials.clear(2);
}

// Guards against an item that waits for the trial of an item of a service that
// has no servers.
Test(ItemTrialLimit, ServicesAreLimitedApart) {
  LimitedTrials Trials;
  Trials.ServiceOfOthers = "gone";
  Trials.add("other");
  Trials.add("item");
  Trials.Time.advance(ItemCrashPolicy::LaterTrialDelay);
  cr_assert_eq(Trials.startTrials().size(), 2);
}
