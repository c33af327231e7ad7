#include "BatchJobs/ItemCrashMonitor.h"

#include "BatchJobs/JobStore.h"
#include "Serving/CrashCounter.h"
#include "Serving/CrashDetector.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <utility>

namespace turmericpass {

ItemCrashMonitor::ItemCrashMonitor(const Clock &Time, CrashDetector &Detector,
                                   CrashCounter &Crashes, JobStore &Store,
                                   Logger &Log, Metrics &Stats, FindItem Find)
    : Time(Time), Detector(Detector), Crashes(Crashes), Store(Store), Log(Log),
      Stats(Stats), Find(std::move(Find)) {}

void ItemCrashMonitor::restore(const std::string &JobId, OwnedJob &Job) {
  const Instant Now = this->Time.now();
  for (ItemRun &Run : Job.Items)
    Run.Crashes.restore(
        Run.SavedCrashes,
        this->Crashes.crashesOf(itemSuspect(JobId, Run.Item.Id)), Now);
}

void ItemCrashMonitor::requestTrials(const std::string &JobId, OwnedJob &Job) {
  const Instant Now = this->Time.now();
  for (std::size_t I = 0; I < Job.Items.size(); ++I) {
    ItemRun &Run = Job.Items[I];
    if (Run.State != ItemState::Pending || !Run.Crashes.requestTrial(Now))
      continue;
    const ItemKey Key{JobId, I};
    const int Trial = Run.Crashes.counts().Trials;
    this->Store.saveItemProgress(
        JobId, Run.takeProgress(I), [this, Key, Trial](bool Saved) {
          ItemRun *Current = this->Find(Key);
          if (!Current)
            return;
          Current->Crashes.finishRequest(Saved, this->Time.now());
          this->Stats.add(Saved ? "item_trials_total"
                                : "item_trial_save_failures_total");
          this->Log.log(
              Saved ? LogLevel::Info : LogLevel::Warning,
              Saved ? "An item under which servers crashed may be tried."
                    : "Failed to save the trial of an item; it waits.",
              {{"job", Key.JobId},
               {"item", Current->Item.Id},
               {"crashes", Current->Crashes.counts().Crashes},
               {"trial", Trial}});
        });
  }
}

void ItemCrashMonitor::sendFailed(const ItemKey &Key, ItemRun &Run) {
  if (!Run.Crashes.beginCheck(Run.NewEvents))
    return;
  this->Detector.checkForCrash(Run.Server,
                               {itemSuspect(Key.JobId, Run.Item.Id), {}},
                               [this, Key, Server = Run.Server](bool Crashed) {
                                 this->finishCheck(Key, Server, Crashed);
                               });
}

void ItemCrashMonitor::finishCheck(const ItemKey &Key,
                                   const std::string &Server, bool Crashed) {
  ItemRun *Run = this->Find(Key);
  if (!Run || !Run->Crashes.isCheckPending())
    return;
  Run->Crashes.finishCheck(Crashed, this->Time.now());
  if (!Crashed || Run->State != ItemState::Pending)
    return;
  this->Stats.add("item_crashes_total");
  // Another owner must not start to count at 0 again.
  this->Store.saveProgress(Key.JobId, {Run->takeProgress(Key.Index)});
  const ItemCrashCounts &Counts = Run->Crashes.counts();
  const bool IsExhausted = Run->Crashes.isExhausted();
  this->Log.log(IsExhausted ? LogLevel::Warning : LogLevel::Info,
                IsExhausted ? "An item waits until its job ends, because "
                              "servers crash when they run it."
                            : "A server crashed while it ran an item.",
                {{"job", Key.JobId},
                 {"item", Run->Item.Id},
                 {"server", Server},
                 {"crashes", Counts.Crashes},
                 {"trials", Counts.Trials},
                 {"events", Counts.EventsBeforeCrash}});
}

void ItemCrashMonitor::eventsReceived(const ItemKey &Key, ItemRun &Run) {
  const ItemCrashCounts Before = Run.Crashes.counts();
  if (!Run.Crashes.recordEvents(Run.NewEvents))
    return;
  this->Crashes.recordSuccess({itemSuspect(Key.JobId, Run.Item.Id), {}});
  this->Log.log(LogLevel::Info,
                "Cleared an item under which servers had crashed.",
                {{"job", Key.JobId},
                 {"item", Run.Item.Id},
                 {"server", Run.Server},
                 {"crashes", Before.Crashes},
                 {"events", Run.NewEvents}});
}

void ItemCrashMonitor::completed(const ItemKey &Key,
                                 std::string_view PromptParts) {
  const ItemRun *Run = this->Find(Key);
  if (!Run)
    return;
  // The item clears the parts that it shares with callers' requests, although
  // only callers' requests count crashes against parts.
  this->Crashes.recordSuccess(
      {itemSuspect(Key.JobId, Run->Item.Id), sharedPromptParts(PromptParts)});
}

} // namespace turmericpass
