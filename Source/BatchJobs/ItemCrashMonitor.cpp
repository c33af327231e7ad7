#include "BatchJobs/ItemCrashMonitor.h"

#include "BatchJobs/JobStore.h"
#include "Serving/CrashCounter.h"
#include "Serving/CrashDetector.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

ItemCrashMonitor::ItemCrashMonitor(const Clock &Time, CrashDetector &Detector,
                                   CrashCounter &Crashes, JobStore &Store,
                                   Logger &Log, Metrics &Stats, FindItem Find,
                                   FindService ServiceOf)
    : Time(Time), Detector(Detector), Crashes(Crashes), Store(Store), Log(Log),
      Stats(Stats), Find(std::move(Find)), ServiceOf(std::move(ServiceOf)) {}

void ItemCrashMonitor::restore(const std::string &JobId, OwnedJob &Job) {
  const Instant Now = this->Time.now();
  for (ItemRun &Run : Job.Items)
    Run.Crashes.restore(
        Run.SavedCrashes,
        this->Crashes.crashesOf(itemSuspect(JobId, Run.Item.Id)), Now);
}

void ItemCrashMonitor::requestTrials(std::map<std::string, OwnedJob> &Jobs) {
  const Instant Now = this->Time.now();
  std::vector<ItemKey> LimitedDue;
  for (auto &[JobId, Job] : Jobs)
    for (std::size_t I = 0; I < Job.Items.size(); ++I) {
      ItemRun &Run = Job.Items[I];
      if (Run.State != ItemState::Pending || !Run.Crashes.isTrialDue(Now))
        continue;
      if (Run.Crashes.isNextTrialLimited())
        LimitedDue.push_back({JobId, I});
      else
        this->requestTrial({JobId, I}, Run, Now);
    }
  if (!LimitedDue.empty())
    this->requestLimitedTrials(Jobs, std::move(LimitedDue), Now);
}

void ItemCrashMonitor::requestLimitedTrials(
    std::map<std::string, OwnedJob> &Jobs, std::vector<ItemKey> Due,
    Instant Now) {
  const auto TrialsOf = [&](const ItemKey &Key) {
    return Jobs.at(Key.JobId).Items[Key.Index].Crashes.counts().Trials;
  };
  std::stable_sort(Due.begin(), Due.end(),
                   [&](const ItemKey &Left, const ItemKey &Right) {
                     return TrialsOf(Left) < TrialsOf(Right);
                   });
  std::map<std::string_view, int> Open = this->openLimitedTrials(Jobs);
  for (const ItemKey &Key : Due) {
    OwnedJob &Job = Jobs.at(Key.JobId);
    ItemRun &Run = Job.Items[Key.Index];
    const std::string_view Service = this->ServiceOf(Job, Run);
    if (Service.empty())
      continue;
    const auto Limit =
        this->LimitsByService.try_emplace(std::string(Service)).first;
    if (Limit->second.available(Open[Service], Now) == 0)
      continue;
    ++Open[Service];
    this->requestTrial(Key, Run, Now);
  }
}

std::map<std::string_view, int> ItemCrashMonitor::openLimitedTrials(
    const std::map<std::string, OwnedJob> &Jobs) const {
  std::map<std::string_view, int> Open;
  for (const auto &[JobId, Job] : Jobs)
    for (const ItemRun &Run : Job.Items)
      if ((Run.State == ItemState::Pending ||
           Run.State == ItemState::Running) &&
          Run.Crashes.isInLimitedTrial())
        ++Open[this->ServiceOf(Job, Run)];
  return Open;
}

void ItemCrashMonitor::requestTrial(const ItemKey &Key, ItemRun &Run,
                                    Instant Now) {
  if (!Run.Crashes.requestTrial(Now))
    return;
  const int Trial = Run.Crashes.counts().Trials;
  this->Store.saveItemProgress(
      Key.JobId, Run.takeProgress(Key.Index), [this, Key, Trial](bool Saved) {
        ItemRun *Current = this->Find(Key);
        if (!Current)
          return;
        Current->Crashes.finishRequest(Saved, this->Time.now());
        this->Stats.add(Saved ? "item_trials_total"
                              : "item_trial_save_failures_total");
        this->Log.log(Saved ? LogLevel::Info : LogLevel::Warning,
                      Saved
                          ? "An item under which servers crashed may be tried."
                          : "Failed to save the trial of an item; it waits.",
                      {{"job", Key.JobId},
                       {"item", Current->Item.Id},
                       {"crashes", Current->Crashes.counts().Crashes},
                       {"trial", Trial}});
      });
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
  const bool WasLimitedTrial = Run->Crashes.isInLimitedTrial();
  Run->Crashes.finishCheck(Crashed, this->Time.now());
  if (!Crashed || Run->State != ItemState::Pending)
    return;
  if (WasLimitedTrial)
    this->LimitsByService[Run->Service].recordCrash(this->Time.now());
  this->Stats.add("item_crashes_total");
  // Another owner must not start to count at 0 again.
  this->Store.saveProgress(Key.JobId, {Run->takeProgress(Key.Index)});
  const ItemCrashCounts &Counts = Run->Crashes.counts();
  const bool IsLimited =
      Run->Crashes.isOnTrial() && Counts.Trials >= ItemCrashPolicy::FirstTrials;
  this->Log.log(IsLimited ? LogLevel::Warning : LogLevel::Info,
                IsLimited ? "Servers crash when they run an item; it is tried "
                            "from time to time."
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
  const bool WasLimitedTrial = Run.Crashes.isInLimitedTrial();
  if (!Run.Crashes.recordEvents(Run.NewEvents))
    return;
  if (WasLimitedTrial)
    this->LimitsByService[Run.Service].recordCleared();
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
  if (Run->Crashes.isInLimitedTrial())
    this->LimitsByService[Run->Service].recordCleared();
  // The item clears the parts that it shares with callers' requests, although
  // only callers' requests count crashes against parts.
  this->Crashes.recordSuccess(
      {itemSuspect(Key.JobId, Run->Item.Id), sharedPromptParts(PromptParts)});
}

} // namespace turmericpass
