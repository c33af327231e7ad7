#include "BatchJobs/JobRunner.h"

#include "BatchJobs/ItemRequest.h"
#include "Core/Hash.h"
#include "Loop/EventLoop.h"
#include "Serving/CrashCounter.h"
#include "Serving/CrashDetector.h"
#include "Serving/LoadTracker.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServerDirectory.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

constexpr int UnprocessableStatus = 422;

/// How long an item pauses after its server refused it or broke off.
/// An item that gave way waits until the counts of all VMs have gone round;
/// started at once, it would meet the same callers at the next server.
constexpr Duration YieldPause = std::chrono::milliseconds(100);
constexpr Duration RefusedPause = std::chrono::milliseconds(60);
constexpr Duration BrokenPause = std::chrono::milliseconds(150);
constexpr Duration FailedPause = std::chrono::milliseconds(250);
/// How long an item pauses that may crash its servers; it can still be given
/// up when its retention ends.
constexpr Duration BarredPause = std::chrono::seconds(20);

/// A running item without an event for so long is taken to another server.
/// Callers' streams have pauses of some hundred milliseconds at most.
constexpr Duration ItemStall = std::chrono::milliseconds(1500);

/// A request that crashes its servers does so when it begins to run. An item
/// that had more events than this is not suspected when its server crashes.
constexpr int MostCrashEvents = 2;

/// Free slots that late items leave at each server while items of other VMs
/// wait that can be on time.
constexpr int SlotsForUrgent = 2;

/// How long one commit is tried before its outcome is looked at again.
constexpr Duration CommitTime = std::chrono::seconds(3);

/// The pause before a commit that was not made is tried again.
constexpr Duration CommitRetryPause = std::chrono::milliseconds(300);

/// Added to the retention before an item is given up, since the store's clock
/// is known to within a call's duration.
constexpr std::int64_t RetentionMarginMs = 1000;

} // namespace

JobRunner::JobRunner(JobRunnerDependencies Parts)
    : Dependencies(std::move(Parts)),
      Loader(this->Dependencies.Loop, this->Dependencies.Store,
             this->Dependencies.Log) {}

const OwnedJob *JobRunner::find(const std::string &JobId) const {
  const auto Found = this->Jobs.find(JobId);
  return Found == this->Jobs.end() ? nullptr : &Found->second;
}

const RouteSettings *JobRunner::routeOf(const OwnedJob &Job) const {
  const ServingSettings *Settings = this->Dependencies.Settings();
  return Settings ? findRoute(*Settings, Job.Head.Host, Job.Head.Target)
                  : nullptr;
}

void JobRunner::own(const std::string &JobId) {
  const KnownJob *Known = this->Dependencies.Book.find(JobId);
  if (!Known || this->Releasing || !Known->Head.isOpen() ||
      Known->Head.Owner != this->Dependencies.Self ||
      this->Jobs.contains(JobId))
    return;
  OwnedJob &Job = this->Jobs[JobId];
  Job.Head = Known->Head;
  Job.Version = Known->Version;
  const bool IsNew = Job.Head.ListedItems == 0 && Job.Head.Epoch == 1;
  this->Loader.load(
      JobId, IsNew, [this, JobId] { return this->Jobs.contains(JobId); },
      [this, JobId](std::vector<ItemRun> Items) {
        this->loaded(JobId, std::move(Items));
      });
}

void JobRunner::loaded(const std::string &JobId, std::vector<ItemRun> Items) {
  const auto Found = this->Jobs.find(JobId);
  if (Found == this->Jobs.end() || !Found->second.Loading)
    return;
  OwnedJob &Job = Found->second;
  Job.Loading = false;
  Job.Items = std::move(Items);
  this->Dependencies.Log.log(LogLevel::Info, "A job runs here now.",
                             {{"job", JobId},
                              {"epoch", Job.Head.Epoch},
                              {"items", Job.Items.size()},
                              {"listed", Job.Head.ListedItems}});
  this->schedule();
}

void JobRunner::handleJobChanges(const std::vector<std::string> &JobIds) {
  for (const std::string &JobId : JobIds) {
    const KnownJob *Known = this->Dependencies.Book.find(JobId);
    const auto Found = this->Jobs.find(JobId);
    if (Found == this->Jobs.end()) {
      if (Known && Known->Head.Owner == this->Dependencies.Self)
        this->own(JobId);
      continue;
    }
    if (!Known)
      this->drop(JobId, "the job was removed");
    else if (Known->Head.Owner != this->Dependencies.Self)
      this->drop(JobId, "another VM owns the job");
    else if (Known->Head.Ended)
      this->drop(JobId, "its caller ended the job");
    else if (!Found->second.Committing)
      Found->second.adoptHead(*Known);
  }
}

void JobRunner::drop(const std::string &JobId, std::string_view Why) {
  const auto Found = this->Jobs.find(JobId);
  if (Found == this->Jobs.end())
    return;
  for (ItemRun &Run : Found->second.Items)
    this->stop(Run, true);
  this->Dependencies.Log.log(LogLevel::Info,
                             "A job does not run here any more.",
                             {{"job", JobId}, {"reason", Why}});
  this->Jobs.erase(Found);
}

void JobRunner::stop(ItemRun &Run, bool CloseConnection) {
  if (Run.Sent == 0)
    return;
  if (CloseConnection)
    this->Dependencies.Channels.cancel(Run.Sent);
  this->Sends.erase(std::exchange(Run.Sent, 0));
  Run.RunTime += this->Dependencies.Loop.clock().now() - Run.StartedAt;
  this->Dependencies.Loads.removeBatchItem(Run.Server);
  Run.Events.reset();
}

void JobRunner::schedule() {
  if (this->Jobs.empty() || this->Releasing)
    return;
  this->yieldSlots();
  this->startItems();
}

void JobRunner::yieldSlots() {
  const Instant Now = this->Dependencies.Loop.clock().now();
  std::vector<std::pair<std::uint64_t, ItemKey>> Running;
  for (auto &[JobId, Job] : this->Jobs)
    for (std::size_t I = 0; I < Job.Items.size(); ++I) {
      ItemRun &Run = Job.Items[I];
      if (Run.Sent != 0 && Now - Run.LastEventAt > ItemStall) {
        this->Dependencies.Servers.recordFailure(Run.Server);
        this->postpone({JobId, I}, Run, Duration(0),
                       "the server sent nothing for too long");
      }
      if (Run.Sent != 0)
        Running.push_back({Run.LastEvent.value_or(0), {JobId, I}});
    }
  // Those that came least far give way, so that the others get done.
  std::sort(Running.begin(), Running.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  for (const auto &[Events, Key] : Running) {
    ItemRun &Run = this->Jobs.at(Key.JobId).Items[Key.Index];
    const KnownServer *Server = this->Dependencies.Servers.find(Run.Server);
    if (!Server || this->Dependencies.Loads.batchItemsToYield(
                       Run.Server, Server->Entry.Slots) == 0)
      continue;
    this->Dependencies.Stats.add("items_yielded_total");
    this->postpone(Key, Run, YieldPause, "callers need the slot");
  }
}

void JobRunner::giveUpExpired() {
  const std::int64_t StoreNow = this->Dependencies.StoreMillis();
  for (auto &[JobId, Job] : this->Jobs) {
    const RouteSettings *Route = this->routeOf(Job);
    if (!Route || StoreNow - Job.Head.AcceptedAtMillis <=
                      Route->JobRetention.count() / 1000 + RetentionMarginMs)
      continue;
    for (std::size_t I = 0; I < Job.Items.size(); ++I)
      if (Job.Items[I].State == ItemState::Pending)
        this->finish({JobId, I}, Job.Items[I], false,
                     "its retention time is over");
  }
}

bool JobRunner::canBeOnTime(const OwnedJob &Job, const ItemRun &Run) const {
  const RouteSettings *Route = this->routeOf(Job);
  const Duration Age = std::chrono::milliseconds(
      this->Dependencies.StoreMillis() - Job.Head.AcceptedAtMillis);
  return Route && this->Order.canBeOnTime(Route->JobTargetLatency - Age,
                                          Run.LastEvent.value_or(0));
}

void JobRunner::startItems() {
  this->giveUpExpired();
  std::vector<ItemKey> OnTime;
  std::vector<ItemKey> Late;
  for (ItemKey &Key :
       waitingItems(this->Jobs, this->Dependencies.Loop.clock().now())) {
    const OwnedJob &Job = this->Jobs.at(Key.JobId);
    const bool Can = this->canBeOnTime(Job, Job.Items[Key.Index]);
    (Can ? OnTime : Late).push_back(std::move(Key));
  }
  if (this->Order.isLateTurn() && !Late.empty() &&
      this->startItem(Late.front(), 0)) {
    this->Order.started(false);
    Late.erase(Late.begin());
  }
  this->Urgent = false;
  for (const ItemKey &Key : OnTime) {
    this->Urgent = !this->startItem(Key, 0);
    if (this->Urgent)
      return;
    this->Order.started(true);
  }
  // Urgent items elsewhere may wait for other reasons than a lack of slots, so
  // late ones are held back only where slots are scarce.
  const int ReservedSlots =
      this->Dependencies.OtherVmsHaveUrgentItems() ? SlotsForUrgent : 0;
  for (const ItemKey &Key : Late) {
    if (!this->startItem(Key, ReservedSlots))
      return;
    this->Order.started(false);
  }
}

bool JobRunner::startItem(const ItemKey &Key, int ReservedSlots) {
  const OwnedJob &Job = this->Jobs.at(Key.JobId);
  ItemRun &Run = this->Jobs.at(Key.JobId).Items[Key.Index];
  const RouteSettings *Route = this->routeOf(Job);
  if (!Route)
    return true;
  const std::uint64_t Fingerprint =
      CrashCounter::fingerprint(Run.Item.Target, Run.Item.Body);
  if (this->Dependencies.Crashes.isBlocked(Fingerprint)) {
    this->postpone(Key, Run, BarredPause, "it broke three servers off");
    return true;
  }
  const KnownServer *Server = this->Dependencies.Placement.chooseBatchServer(
      pickService(*Route, hash64(Run.Item.Id)), ReservedSlots);
  if (!Server)
    return false;
  BackendRequest Order = makeItemRequest(Job.Head, Run, Server->Entry,
                                         this->Dependencies.Protocol);
  Run.Server = Server->Entry.Id;
  Run.State = ItemState::Running;
  Run.NewEvents = 0;
  Run.StartedAt = Run.LastEventAt = this->Dependencies.Loop.clock().now();
  if (!Run.FirstStartedAt)
    Run.FirstStartedAt = Run.StartedAt;
  Run.Sent = this->Dependencies.Channels.send(std::move(Order), *this);
  this->Sends.emplace(Run.Sent, Key);
  this->Dependencies.Loads.addBatchItem(Run.Server);
  return true;
}

ItemRun *JobRunner::itemOf(SendId Id, ItemKey &Key) {
  const auto Found = this->Sends.find(Id);
  if (Found == this->Sends.end())
    return nullptr;
  Key = Found->second;
  const auto Job = this->Jobs.find(Key.JobId);
  return Job == this->Jobs.end() ? nullptr : &Job->second.Items[Key.Index];
}

void JobRunner::postpone(const ItemKey &Key, ItemRun &Run, Duration Pause,
                         std::string_view Why) {
  this->stop(Run, true);
  Run.State = ItemState::Pending;
  Run.NotBefore = this->Dependencies.Loop.clock().now() + Pause;
  this->Dependencies.Log.log(LogLevel::Info, "An item was put back.",
                             {{"job", Key.JobId},
                              {"item", Run.Item.Id},
                              {"server", Run.Server},
                              {"last_event", Run.LastEvent.value_or(0)},
                              {"failures", Run.Failures},
                              {"pause_ms", toMillis(Pause)},
                              {"reason", Why}});
}

void JobRunner::answerHead(SendId Id, const RawHead &Head) {
  ItemKey Key;
  ItemRun *Run = this->itemOf(Id, Key);
  if (!Run)
    return;
  if (this->Dependencies.Protocol.indicatesNotRun(Head)) {
    if (Head.Status == this->Dependencies.Protocol.WrongServerStatus)
      this->Dependencies.Servers.recordFailure(Run->Server);
    this->postpone(Key, *Run, RefusedPause, "the server did not take it");
    return;
  }
  this->Dependencies.Servers.recordSuccess(Run->Server);
  if (Head.Status < 200 || Head.Status >= 300)
    this->failedOnce(Key, *Run, Head.Status);
}

void JobRunner::failedOnce(const ItemKey &Key, ItemRun &Run, int Status) {
  ++Run.Failures;
  const OwnedJob &Job = this->Jobs.at(Key.JobId);
  const RouteSettings *Route = this->routeOf(Job);
  const int Most = Route ? Route->MaxAttempts : 1;
  if (Status == UnprocessableStatus) {
    this->stop(Run, true);
    this->finish(Key, Run, false, "the server says that it cannot be done");
  } else if (Status == 500 && Run.Failures >= Most) {
    this->stop(Run, true);
    this->finish(Key, Run, false, "it failed as often as its route allows");
  } else {
    this->postpone(Key, Run, FailedPause,
                   "the server answered " + std::to_string(Status));
  }
}

void JobRunner::answerBody(SendId Id, std::string_view Bytes) {
  ItemKey Key;
  ItemRun *Run = this->itemOf(Id, Key);
  if (!Run)
    return;
  this->Dependencies.Servers.recordActivity(Run->Server);
  for (const StreamEvent &Event : Run->Events.feed(Bytes)) {
    if (!Event.Id)
      continue;
    const std::uint64_t Expected = Run->LastEvent ? *Run->LastEvent + 1 : 0;
    if (Run->LastEvent && *Event.Id != Expected) {
      // Joined, the two pieces would leave a gap or repeat an event.
      Run->LastEvent.reset();
      Run->Output.clear();
      this->postpone(Key, *Run, BrokenPause,
                     "the events do not follow each other");
      return;
    }
    if (Run->LastEvent)
      Run->Output += '\n';
    Run->Output += Event.Data;
    Run->LastEvent = Event.Id;
    ++Run->NewEvents;
    Run->LastEventAt = this->Dependencies.Loop.clock().now();
  }
}

void JobRunner::answerDone(SendId Id) {
  ItemKey Key;
  ItemRun *Run = this->itemOf(Id, Key);
  if (!Run)
    return;
  if (!Run->Events.incompleteEvent().empty()) {
    this->postpone(Key, *Run, BrokenPause, "the last event is cut");
    return;
  }
  this->Dependencies.Crashes.resetCount(
      CrashCounter::fingerprint(Run->Item.Target, Run->Item.Body));
  this->stop(*Run, false);
  this->Order.finished(Run->RunTime,
                       this->Dependencies.Loop.clock().now() -
                           *Run->FirstStartedAt,
                       Run->LastEvent.value_or(0));
  this->finish(Key, *Run, true, "complete");
  this->schedule();
}

void JobRunner::sendFailed(SendId Id, SendFailure Failure,
                           std::string_view Detail) {
  ItemKey Key;
  ItemRun *Run = this->itemOf(Id, Key);
  if (!Run)
    return;
  this->stop(*Run, false);
  this->Dependencies.Servers.recordFailure(Run->Server);
  if (Failure != SendFailure::NotSent && Run->NewEvents <= MostCrashEvents)
    this->Dependencies.Detector.checkForCrash(
        Run->Server,
        CrashCounter::fingerprint(Run->Item.Target, Run->Item.Body));
  this->postpone(Key, *Run, BrokenPause, Detail);
}

void JobRunner::finish(const ItemKey &Key, ItemRun &Run, bool Succeeded,
                       std::string_view Why) {
  Run.State = ItemState::Finished;
  OwnedJob &Job = this->Jobs.at(Key.JobId);
  this->Dependencies.Log.log(
      LogLevel::Info, "An item is finished.",
      {{"job", Key.JobId},
       {"item", Run.Item.Id},
       {"server", Run.Server},
       {"succeeded", Succeeded},
       {"failures", Run.Failures},
       {"age_ms", this->Dependencies.StoreMillis() - Job.Head.AcceptedAtMillis},
       {"reason", Why}});
  this->Dependencies.Stats.add(std::string("items_total{succeeded=\"") +
                               (Succeeded ? "true" : "false") + "\"}");
  Job.Uncommitted.push_back(
      {Run.Item.Id, Succeeded, std::exchange(Run.Output, {})});
  if (!Succeeded)
    Job.Uncommitted.back().Output.clear();
  this->commit(Key.JobId);
}

void JobRunner::commit(const std::string &JobId) {
  OwnedJob &Job = this->Jobs.at(JobId);
  if (Job.Committing || Job.Uncommitted.empty())
    return;
  Job.Committing = true;
  this->commitResults(JobId, Job, Job.Head.Owner, {},
                      [this, JobId](JobStore::ChangeOutcome Outcome) {
                        this->committed(JobId, Outcome);
                      });
}

std::size_t JobRunner::commitResults(const std::string &JobId,
                                     const OwnedJob &Job,
                                     const std::string &Owner,
                                     const std::vector<ItemProgress> &Progress,
                                     JobStore::ChangeDone Done) {
  // After the store was away more results may wait than one change takes.
  const std::size_t Count =
      this->Dependencies.Store.fittingResults(Job.Uncommitted);
  const std::vector<ItemResult> Results(Job.Uncommitted.begin(),
                                        Job.Uncommitted.begin() +
                                            static_cast<std::ptrdiff_t>(Count));
  JobMetadata Head = Job.headAfterCommit(Count);
  Head.Owner = Owner;
  this->Dependencies.Store.change(
      JobId, Head, Job.Version, Results, Job.Head.ListedItems, Progress,
      this->Dependencies.Loop.clock().now() + CommitTime,
      this->Dependencies.Book, std::move(Done));
  return Count;
}

void JobRunner::committed(const std::string &JobId,
                          JobStore::ChangeOutcome Outcome) {
  const auto Found = this->Jobs.find(JobId);
  if (Found == this->Jobs.end())
    return;
  OwnedJob &Job = Found->second;
  Job.Committing = false;
  if (const KnownJob *Known = this->Dependencies.Book.find(JobId);
      Known && Known->Head.Owner == this->Dependencies.Self)
    Job.adoptHead(*Known);
  if (Job.Head.ListedItems >= Job.Head.TotalItems) {
    this->drop(JobId, "all its results are listed");
    return;
  }
  // After a conflict the head shows who took the job, or that it ended.
  this->handleJobChanges({JobId});
  if (!this->Jobs.contains(JobId) || Job.Uncommitted.empty())
    return;
  if (Outcome == JobStore::ChangeOutcome::Done)
    this->commit(JobId);
  else
    this->Dependencies.Loop.after(CommitRetryPause, [this, JobId] {
      if (this->Jobs.contains(JobId))
        this->commit(JobId);
    });
}

void JobRunner::saveProgress() {
  for (auto &[JobId, Job] : this->Jobs) {
    // A commit in flight changes the head's version.
    if (Job.Committing)
      continue;
    const std::vector<ItemProgress> Progress = Job.takeUnsavedProgress();
    if (!Progress.empty())
      this->Dependencies.Store.saveProgress(JobId, Job.Version, Progress);
  }
}

void JobRunner::release() {
  this->Releasing = true;
  for (auto &[JobId, Job] : this->Jobs) {
    for (ItemRun &Run : Job.Items)
      this->stop(Run, true);
    const std::vector<ItemProgress> Progress = Job.takeUnsavedProgress();
    const std::size_t Committed = this->commitResults(
        JobId, Job, "", Progress, [](JobStore::ChangeOutcome) {});
    this->Dependencies.Log.log(LogLevel::Info, "A job is handed over.",
                               {{"job", JobId},
                                {"begun", Progress.size()},
                                {"finished", Job.Uncommitted.size()},
                                {"committed", Committed}});
  }
  this->Jobs.clear();
}

} // namespace turmericpass
