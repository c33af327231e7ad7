#ifndef TURMERICPASS_BATCHJOBS_JOBRUNNER_H
#define TURMERICPASS_BATCHJOBS_JOBRUNNER_H

#include "BatchJobs/ItemCrashMonitor.h"
#include "BatchJobs/ItemStarter.h"
#include "BatchJobs/JobLoader.h"
#include "Serving/BackendProtocol.h"
#include "Serving/ServingSettings.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace turmericpass {

class CrashCounter;
class CrashDetector;
class EventLoop;
class LoadTracker;
class Logger;
class Metrics;
class PlacementPolicy;
class ServerDirectory;

/// The objects and functions that JobRunner depends on.
struct JobRunnerDependencies {
  EventLoop &Loop;
  BackendChannels &Channels;
  JobStore &Store;
  JobDirectory &Directory;
  ServerDirectory &Servers;
  LoadTracker &Loads;
  const PlacementPolicy &Placement;
  CrashCounter &Crashes;
  CrashDetector &Detector;
  const BackendProtocol &Protocol;
  Logger &Log;
  Metrics &Stats;
  /// Returns the settings in force, or nullptr before the first ones arrived.
  std::function<const ServingSettings *()> Settings;
  /// Returns whether Settings() is the newest version in the store.
  std::function<bool()> SettingsAreCurrent;
  /// Returns the time of the store's clock in milliseconds.
  std::function<std::int64_t()> StoreMillis;
  /// Returns whether another VM has waiting items that can still meet their
  /// deadline.
  std::function<bool()> OtherVmsHaveUrgentItems;
  /// Returns the number of items that wait for a slot on other VMs.
  std::function<int()> OtherVmsWaitingItems;
  /// The incarnation of this VM, which identifies it as the owner of a job.
  std::string Self;
};

/// Runs the items of the jobs that this VM owns on server slots that callers'
/// requests leave free, and commits the results to the store.
class JobRunner : private SendHandler {
public:
  explicit JobRunner(JobRunnerDependencies Dependencies);

  /// Starts to run a job if this VM is its owner in the store.
  void runJob(const std::string &JobId);
  /// Handles metadata changes of these jobs in the store: starts jobs that this
  /// VM owns now and drops those that it no longer owns or that were cancelled
  /// or removed.
  void handleJobChanges(const std::vector<std::string> &JobIds);

  /// Preempts items whose slots are needed for callers' requests and starts
  /// items on free slots.
  void schedule();

  /// Saves the progress of unfinished items, so that little work is repeated if
  /// this VM is lost.
  void saveProgress();

  /// Stops all items and gives up the ownership of all jobs, so that other VMs
  /// take them over. Commits finished results and saves progress.
  void releaseJobs();

  bool owns(const std::string &JobId) const {
    return this->Jobs.contains(JobId);
  }
  bool isReleasing() const { return this->Releasing; }
  std::size_t ownedJobCount() const { return this->Jobs.size(); }
  /// Returns whether an item that can still meet its deadline waits for a slot.
  bool hasUrgentItems() const { return this->Starter.hasUrgentItems(); }
  /// Returns the number of items that wait for a slot.
  int waitingItemCount() const { return this->Starter.waitingItemCount(); }
  const OwnedJob *find(const std::string &JobId) const;

private:
  void answerHead(SendId Id, const RawHead &Head) override;
  void answerBody(SendId Id, std::string_view Bytes) override;
  void answerDone(SendId Id) override;
  void sendFailed(SendId Id, SendFailure Failure,
                  std::string_view Detail) override;

  /// Returns the item \p Key, or nullptr if this VM does not run its job.
  ItemRun *findItem(const ItemKey &Key);
  /// Returns the job if \p Generation of it is still the current one, or else
  /// nullptr.
  OwnedJob *findGeneration(const std::string &JobId, std::uint64_t Generation);
  void setItems(OwnedJob &Job, const std::string &JobId,
                std::vector<ItemRun> Items);
  /// Updates the job with the metadata in the directory, if this VM owns it
  /// there. Returns false if the job has to be loaded from the store again,
  /// which was started.
  bool refreshMetadata(const std::string &JobId, OwnedJob &Job);
  void dropJob(const std::string &JobId, std::string_view Reason);
  /// Returns the item that request \p Id runs and sets \p Key, or returns
  /// nullptr if the request does not run an item any more.
  ItemRun *findItemOfSend(SendId Id, ItemKey &Key);
  /// Postpones items without recent events, and preempts items whose slots are
  /// needed for callers' requests.
  void preemptItems();
  void startItems();
  /// Fails the pending items of jobs whose retention has ended or whose route
  /// was removed.
  void failItemsThatCannotRun();
  /// Fails items that cannot be sent as a request. VMs of earlier versions may
  /// have accepted such items.
  void failInvalidItems(const std::string &JobId, OwnedJob &Job);
  void failPendingItems(const std::string &JobId, OwnedJob &Job,
                        std::string_view Reason);
  /// Returns the items that wait for a slot, in the order in which to start
  /// them.
  std::vector<ItemCandidate> itemCandidates() const;
  /// Sends a waiting item to \p Server.
  void startItem(const ItemKey &Key, const KnownServer &Server);
  void stopItem(ItemRun &Run, bool CloseConnection);
  void postponeItem(const ItemKey &Key, ItemRun &Run, Duration Delay,
                    std::string_view Reason);
  /// Handles a response with an error status: fails the item or postpones it.
  void handleFailure(const ItemKey &Key, ItemRun &Run, int Status);
  /// Ends an answer that no proper server gives, and postpones the item.
  void rejectAnswer(const ItemKey &Key, ItemRun &Run, std::string_view Reason);
  void finishItem(const ItemKey &Key, ItemRun &Run, bool Succeeded,
                  std::string_view Reason);
  /// Starts to commit results of the job unless a commit is in flight already.
  void startCommit(const std::string &JobId);
  void handleCommitOutcome(const std::string &JobId, std::uint64_t Generation,
                           JobStore::ChangeOutcome Outcome);
  /// Saves the progress of the job's unfinished items. Returns how many
  /// changed.
  std::size_t saveProgressOf(const std::string &JobId, OwnedJob &Job);
  /// Returns the batch route of the job, or nullptr if the settings have none.
  const RouteSettings *routeOf(const OwnedJob &Job) const;
  /// Returns the service that runs an item of the job, or an empty view if the
  /// settings have none.
  std::string_view serviceOf(const OwnedJob &Job, const ItemRun &Run) const;

  JobRunnerDependencies Dependencies;
  JobLoader Loader;
  ItemCrashMonitor CrashMonitor;
  std::map<std::string, OwnedJob> Jobs;
  std::uint64_t LastGeneration = 0;
  std::unordered_map<SendId, ItemKey> ItemsBySend;
  ItemStarter Starter;
  bool Releasing = false;
};

} // namespace turmericpass

#endif
