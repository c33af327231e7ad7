#include "BatchJobs/JobRunner.h"

#include "BatchJobs/ItemRequest.h"
#include "Core/Hash.h"
#include "Loop/EventLoop.h"
#include "Serving/LoadTracker.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServerDirectory.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

/// The delay before a preempted item restarts. It lets the VMs exchange their
/// load counts; otherwise the same callers may preempt the item again.
constexpr Duration PreemptionDelay = std::chrono::milliseconds(100);

/// How long one commit is retried before it counts as failed.
constexpr Duration CommitTimeout = std::chrono::seconds(3);

/// The delay before a failed commit is repeated.
constexpr Duration CommitRetryDelay = std::chrono::milliseconds(300);

/// Added to the retention before an item expires, because the store's clock is
/// only known to within the duration of a call to the store.
constexpr std::int64_t RetentionMarginMs = 1000;

/// Returns the service that runs an item of a job on \p Route.
std::string_view serviceOnRoute(const RouteSettings &Route,
                                const ItemRun &Run) {
  return pickService(Route, hash64(Run.Item.Id));
}

} // namespace

JobRunner::JobRunner(JobRunnerDependencies Dependencies)
    : Dependencies(std::move(Dependencies)),
      Loader(this->Dependencies.Loop, this->Dependencies.Store,
             this->Dependencies.Log),
      CrashMonitor(
          this->Dependencies.Loop.clock(), this->Dependencies.Detector,
          this->Dependencies.Crashes, this->Dependencies.Store,
          this->Dependencies.Log, this->Dependencies.Stats,
          [this](const ItemKey &Key) { return this->findItem(Key); },
          [this](const OwnedJob &Job, const ItemRun &Run) {
            return this->serviceOf(Job, Run);
          }),
      Starter(this->Dependencies.Loop.clock(), this->Dependencies.Placement,
              this->Dependencies.Servers, this->Dependencies.Log,
              {this->Dependencies.OtherVmsHaveUrgentItems,
               this->Dependencies.OtherVmsWaitingItems,
               [this](const ItemKey &Key, const KnownServer &Server) {
                 this->startItem(Key, Server);
               },
               [this] { return serversWithSuspects(this->Jobs); }}) {}

const OwnedJob *JobRunner::find(const std::string &JobId) const {
  const auto Found = this->Jobs.find(JobId);
  return Found == this->Jobs.end() ? nullptr : &Found->second;
}

const RouteSettings *JobRunner::routeOf(const OwnedJob &Job) const {
  const ServingSettings *Settings = this->Dependencies.Settings();
  const RouteSettings *Route =
      Settings ? findRoute(*Settings, Job.Metadata.Host, Job.Metadata.Target)
               : nullptr;
  // Where the job's route was, callers' requests may now go to other services.
  return Route && Route->Kind == RequestKind::Batch ? Route : nullptr;
}

std::string_view JobRunner::serviceOf(const OwnedJob &Job,
                                      const ItemRun &Run) const {
  const RouteSettings *Route = this->routeOf(Job);
  return Route ? serviceOnRoute(*Route, Run) : std::string_view();
}

void JobRunner::runJob(const std::string &JobId) {
  const KnownJob *Known = this->Dependencies.Directory.find(JobId);
  if (!Known || this->Releasing || !Known->Metadata.isOpen() ||
      Known->Metadata.Owner != this->Dependencies.Self ||
      this->Jobs.contains(JobId))
    return;
  OwnedJob &Job = this->Jobs[JobId];
  Job.Generation = ++this->LastGeneration;
  Job.Metadata = Known->Metadata;
  Job.Version = Known->Version;
  const bool IsNew =
      Job.Metadata.CommittedItems == 0 && Job.Metadata.Epoch == 1;
  this->Loader.load(
      JobId, IsNew,
      [this, JobId, Generation = Job.Generation] {
        return this->findGeneration(JobId, Generation) != nullptr;
      },
      [this, JobId, Generation = Job.Generation](std::vector<ItemRun> Items) {
        if (OwnedJob *Current = this->findGeneration(JobId, Generation))
          this->setItems(*Current, JobId, std::move(Items));
      });
}

OwnedJob *JobRunner::findGeneration(const std::string &JobId,
                                    std::uint64_t Generation) {
  const auto Found = this->Jobs.find(JobId);
  return Found == this->Jobs.end() || Found->second.Generation != Generation
             ? nullptr
             : &Found->second;
}

void JobRunner::setItems(OwnedJob &Job, const std::string &JobId,
                         std::vector<ItemRun> Items) {
  Job.Loading = false;
  Job.Items = std::move(Items);
  this->CrashMonitor.restore(JobId, Job);
  this->Dependencies.Log.log(LogLevel::Info, "Started to run a job on this VM.",
                             {{"job", JobId},
                              {"epoch", Job.Metadata.Epoch},
                              {"items", Job.Items.size()},
                              {"listed", Job.Metadata.CommittedItems}});
  this->failInvalidItems(JobId, Job);
  this->schedule();
}

void JobRunner::handleJobChanges(const std::vector<std::string> &JobIds) {
  for (const std::string &JobId : JobIds) {
    const KnownJob *Known = this->Dependencies.Directory.find(JobId);
    const auto Found = this->Jobs.find(JobId);
    if (Found == this->Jobs.end()) {
      if (Known && Known->Metadata.Owner == this->Dependencies.Self)
        this->runJob(JobId);
      continue;
    }
    if (!Known)
      this->dropJob(JobId, "the job was removed");
    else if (Known->Metadata.Owner != this->Dependencies.Self)
      this->dropJob(JobId, "another VM owns the job");
    else if (Known->Metadata.Cancelled)
      this->dropJob(JobId, "its caller cancelled the job");
    else if (!Found->second.Committing)
      this->refreshMetadata(JobId, Found->second);
  }
}

bool JobRunner::refreshMetadata(const std::string &JobId, OwnedJob &Job) {
  const KnownJob *Known = this->Dependencies.Directory.find(JobId);
  if (!Known || Known->Metadata.Owner != this->Dependencies.Self ||
      Job.adoptMetadata(*Known))
    return true;
  this->dropJob(JobId, "the store has results that were not loaded");
  this->runJob(JobId);
  return false;
}

void JobRunner::dropJob(const std::string &JobId, std::string_view Reason) {
  const auto Found = this->Jobs.find(JobId);
  if (Found == this->Jobs.end())
    return;
  for (ItemRun &Run : Found->second.Items)
    this->stopItem(Run, true);
  this->Dependencies.Log.log(LogLevel::Info, "Dropped a job from this VM.",
                             {{"job", JobId}, {"reason", Reason}});
  this->Jobs.erase(Found);
}

void JobRunner::stopItem(ItemRun &Run, bool CloseConnection) {
  if (Run.ActiveSend == 0)
    return;
  if (CloseConnection)
    this->Dependencies.Channels.cancel(Run.ActiveSend);
  this->ItemsBySend.erase(std::exchange(Run.ActiveSend, 0));
  Run.RunTime += this->Dependencies.Loop.clock().now() - Run.StartedAt;
  this->Dependencies.Loads.removeBatchItem(Run.Server);
  Run.Events.reset();
}

void JobRunner::schedule() {
  if (this->Jobs.empty() || this->Releasing) {
    this->Starter.startItems({});
    return;
  }
  this->preemptItems();
  this->startItems();
}

void JobRunner::preemptItems() {
  const Instant Now = this->Dependencies.Loop.clock().now();
  for (const ItemKey &Key : runningItems(this->Jobs)) {
    ItemRun &Run = this->Jobs.at(Key.JobId).Items[Key.Index];
    if (Now - Run.LastEventAt > Run.stallLimit()) {
      ++Run.Stalls;
      this->Dependencies.Servers.recordFailure(Run.Server);
      this->CrashMonitor.sendFailed(Key, Run);
      this->postponeItem(Key, Run, Duration(0),
                         "the server sent no event before the stall timeout");
      continue;
    }
    const KnownServer *Server = this->Dependencies.Servers.find(Run.Server);
    // A trial is short: it ends with a crash or clears the item.
    if (!Server || Run.Crashes.isOnTrial() ||
        this->Dependencies.Loads.batchItemsToYield(Run.Server,
                                                   Server->Entry.Slots) == 0)
      continue;
    this->Dependencies.Stats.add("items_yielded_total");
    this->postponeItem(Key, Run, PreemptionDelay, "preempted by callers");
  }
}

void JobRunner::failItemsThatCannotRun() {
  const std::int64_t StoreNow = this->Dependencies.StoreMillis();
  const bool SettingsAreCurrent = this->Dependencies.SettingsAreCurrent();
  for (auto &[JobId, Job] : this->Jobs) {
    const RouteSettings *Route = this->routeOf(Job);
    const bool WasMissing = Job.RouteMissingSince.has_value();
    const bool IsRemoved =
        Job.recordRoute(Route != nullptr, SettingsAreCurrent,
                        this->Dependencies.Loop.clock().now());
    if (Job.RouteMissingSince && !WasMissing)
      this->Dependencies.Log.log(
          LogLevel::Warning, "The settings have no route for a job any more.",
          {{"job", JobId},
           {"route", Job.Metadata.Route},
           {"settings_version", this->Dependencies.Settings()->Version}});
    if (IsRemoved)
      this->failPendingItems(JobId, Job, "its route was removed");
    else if (Route &&
             StoreNow - Job.Metadata.AcceptedAtMillis >
                 Route->JobRetention.count() / 1000 + RetentionMarginMs)
      this->failPendingItems(JobId, Job, "it has expired");
  }
}

void JobRunner::failInvalidItems(const std::string &JobId, OwnedJob &Job) {
  for (std::size_t I = 0; I < Job.Items.size(); ++I)
    if (Job.Items[I].State == ItemState::Pending)
      if (const Result<void> Status = checkItem(Job.Items[I].Item); !Status)
        this->finishItem({JobId, I}, Job.Items[I], false,
                         Status.error().Message);
}

void JobRunner::failPendingItems(const std::string &JobId, OwnedJob &Job,
                                 std::string_view Reason) {
  for (std::size_t I = 0; I < Job.Items.size(); ++I)
    if (Job.Items[I].State == ItemState::Pending)
      this->finishItem({JobId, I}, Job.Items[I], false, Reason);
}

std::vector<ItemCandidate> JobRunner::itemCandidates() const {
  const std::int64_t StoreNow = this->Dependencies.StoreMillis();
  std::vector<ItemCandidate> Candidates;
  for (ItemKey &Key :
       waitingItems(this->Jobs, this->Dependencies.Loop.clock().now())) {
    const OwnedJob &Job = this->Jobs.at(Key.JobId);
    const RouteSettings *Route = this->routeOf(Job);
    if (!Route)
      continue;
    const ItemRun &Run = Job.Items[Key.Index];
    const Duration Age =
        std::chrono::milliseconds(StoreNow - Job.Metadata.AcceptedAtMillis);
    Candidates.push_back(
        {std::move(Key), Run.Item.Id, serviceOnRoute(*Route, Run),
         Route->JobTargetLatency - Age, Run.LastEventId.value_or(0),
         Run.Crashes.isSuspect()});
  }
  return Candidates;
}

void JobRunner::startItems() {
  this->failItemsThatCannotRun();
  this->CrashMonitor.requestTrials(this->Jobs);
  this->Starter.startItems(this->itemCandidates());
}

void JobRunner::startItem(const ItemKey &Key, const KnownServer &Server) {
  const OwnedJob &Job = this->Jobs.at(Key.JobId);
  ItemRun &Run = this->Jobs.at(Key.JobId).Items[Key.Index];
  const ServingSettings *Settings = this->Dependencies.Settings();
  BackendRequest Order = makeItemRequest(
      Job.Metadata, Run, Server.Entry, this->Dependencies.Protocol,
      Settings && !Settings->Organisations.empty());
  Run.Server = Server.Entry.Id;
  Run.Service = Server.Entry.Service;
  Run.State = ItemState::Running;
  Run.NewEvents = 0;
  Run.StartedAt = Run.LastEventAt = this->Dependencies.Loop.clock().now();
  if (!Run.FirstStartedAt)
    Run.FirstStartedAt = Run.StartedAt;
  Run.Crashes.recordStart();
  Run.ActiveSend = this->Dependencies.Channels.send(std::move(Order), *this);
  this->ItemsBySend.emplace(Run.ActiveSend, Key);
  this->Dependencies.Loads.addBatchItem(Run.Server);
}

ItemRun *JobRunner::findItemOfSend(SendId Id, ItemKey &Key) {
  const auto Found = this->ItemsBySend.find(Id);
  if (Found == this->ItemsBySend.end())
    return nullptr;
  Key = Found->second;
  return this->findItem(Key);
}

ItemRun *JobRunner::findItem(const ItemKey &Key) {
  const auto Job = this->Jobs.find(Key.JobId);
  return Job == this->Jobs.end() || Key.Index >= Job->second.Items.size()
             ? nullptr
             : &Job->second.Items[Key.Index];
}

void JobRunner::postponeItem(const ItemKey &Key, ItemRun &Run, Duration Delay,
                             std::string_view Reason) {
  this->stopItem(Run, true);
  Run.State = ItemState::Pending;
  Run.Crashes.recordEndWithoutCrash();
  Run.EarliestStart = this->Dependencies.Loop.clock().now() + Delay;
  this->Dependencies.Log.log(LogLevel::Info, "An item was postponed.",
                             {{"job", Key.JobId},
                              {"item", Run.Item.Id},
                              {"server", Run.Server},
                              {"last_event", Run.LastEventId.value_or(0)},
                              {"failures", Run.Failures},
                              {"pause_ms", toMillis(Delay)},
                              {"reason", Reason}});
}

void JobRunner::finishItem(const ItemKey &Key, ItemRun &Run, bool Succeeded,
                           std::string_view Reason) {
  Run.State = ItemState::Finished;
  OwnedJob &Job = this->Jobs.at(Key.JobId);
  const RouteSettings *Route = this->routeOf(Job);
  this->Dependencies.Log.log(
      LogLevel::Info, "An item finished.",
      {{"job", Key.JobId},
       {"item", Run.Item.Id},
       {"server", Run.Server},
       {"settings_version", Route ? Route->SettingsVersion : 0},
       {"succeeded", Succeeded},
       {"failures", Run.Failures},
       {"age_ms",
        this->Dependencies.StoreMillis() - Job.Metadata.AcceptedAtMillis},
       {"reason", Reason}});
  this->Dependencies.Stats.add(std::string("items_total{succeeded=\"") +
                               (Succeeded ? "true" : "false") + "\"}");
  Job.UncommittedResults.push_back(
      {Run.Item.Id, Succeeded, std::exchange(Run.Output, {})});
  if (!Succeeded)
    Job.UncommittedResults.back().Output.clear();
  this->startCommit(Key.JobId);
}

void JobRunner::startCommit(const std::string &JobId) {
  OwnedJob &Job = this->Jobs.at(JobId);
  if (Job.Committing || Job.UncommittedResults.empty())
    return;
  Job.Committing = true;
  JobStore::StartedCommit Commit = this->Dependencies.Store.commitResults(
      JobId, Job, Job.Metadata.Owner,
      this->Dependencies.Loop.clock().now() + CommitTimeout,
      this->Dependencies.Directory,
      [this, JobId,
       Generation = Job.Generation](JobStore::ChangeOutcome Outcome) {
        this->handleCommitOutcome(JobId, Generation, Outcome);
      });
  Job.StartedCommits.insert(std::move(Commit.WriteId));
}

void JobRunner::handleCommitOutcome(const std::string &JobId,
                                    std::uint64_t Generation,
                                    JobStore::ChangeOutcome Outcome) {
  OwnedJob *Current = this->findGeneration(JobId, Generation);
  if (!Current) {
    // The job was dropped in the meantime. If this VM owns it again, it must
    // learn of the results in the store.
    this->handleJobChanges({JobId});
    return;
  }
  OwnedJob &Job = *Current;
  Job.Committing = false;
  if (!this->refreshMetadata(JobId, Job))
    return;
  if (Job.Metadata.CommittedItems >= Job.Metadata.TotalItems) {
    this->dropJob(JobId, "all its results are in the store");
    return;
  }
  // After a conflict the metadata shows a new owner or the cancellation.
  this->handleJobChanges({JobId});
  if (!this->Jobs.contains(JobId) || Job.UncommittedResults.empty())
    return;
  if (Outcome == JobStore::ChangeOutcome::Done)
    this->startCommit(JobId);
  else
    this->Dependencies.Loop.after(CommitRetryDelay, [this, JobId] {
      if (this->Jobs.contains(JobId))
        this->startCommit(JobId);
    });
}

void JobRunner::saveProgress() {
  for (auto &[JobId, Job] : this->Jobs)
    this->saveProgressOf(JobId, Job);
}

std::size_t JobRunner::saveProgressOf(const std::string &JobId, OwnedJob &Job) {
  const std::vector<ItemProgress> Progress = Job.takeUnsavedProgress();
  if (!Progress.empty())
    this->Dependencies.Store.saveProgress(JobId, Progress);
  return Progress.size();
}

void JobRunner::releaseJobs() {
  this->Releasing = true;
  for (auto &[JobId, Job] : this->Jobs) {
    for (ItemRun &Run : Job.Items) {
      this->stopItem(Run, true);
      Run.Crashes.prepareHandOver();
    }
    const std::size_t Begun = this->saveProgressOf(JobId, Job);
    const JobStore::StartedCommit Commit =
        this->Dependencies.Store.commitResults(
            JobId, Job, "",
            this->Dependencies.Loop.clock().now() + CommitTimeout,
            this->Dependencies.Directory, [](JobStore::ChangeOutcome) {});
    this->Dependencies.Log.log(LogLevel::Info, "Released a job to other VMs.",
                               {{"job", JobId},
                                {"begun", Begun},
                                {"finished", Job.UncommittedResults.size()},
                                {"committed", Commit.Count}});
  }
  this->Jobs.clear();
}

} // namespace turmericpass
