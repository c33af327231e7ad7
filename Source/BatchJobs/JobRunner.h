#ifndef TURMERICPASS_BATCHJOBS_JOBRUNNER_H
#define TURMERICPASS_BATCHJOBS_JOBRUNNER_H

#include "BatchJobs/ItemSchedulingPolicy.h"
#include "BatchJobs/JobLoader.h"
#include "BatchJobs/WaitingItems.h"
#include "Serving/BackendProtocol.h"
#include "Serving/ServingSettings.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace turmericpass {

class CrashDetector;
class CrashCounter;
class EventLoop;
class LoadTracker;
class Logger;
class Metrics;
class PlacementPolicy;
class ServerDirectory;

/// What JobRunner works with.
struct JobRunnerDependencies {
  EventLoop &Loop;
  BackendChannels &Channels;
  JobStore &Store;
  JobDirectory &Book;
  ServerDirectory &Servers;
  LoadTracker &Loads;
  const PlacementPolicy &Placement;
  CrashCounter &Crashes;
  CrashDetector &Detector;
  const BackendProtocol &Protocol;
  Logger &Log;
  Metrics &Stats;
  /// The settings in force; nullptr before the first ones came.
  std::function<const ServingSettings *()> Settings;
  /// The store's clock in milliseconds.
  std::function<std::int64_t()> StoreMillis;
  /// Whether items of other VMs wait that can still be on time.
  std::function<bool()> OtherVmsHaveUrgentItems;
  /// This incarnation of this VM, as it stands in heads of jobs.
  std::string Self;
};

/// Runs the items of the jobs that this VM owns on slots that no caller needs,
/// and commits their results.
class JobRunner : private SendHandler {
public:
  explicit JobRunner(JobRunnerDependencies Parts);

  /// Starts to run a job of which the store says that this VM owns it.
  void own(const std::string &JobId);
  /// The heads of these jobs changed in the store.
  void handleJobChanges(const std::vector<std::string> &JobIds);

  /// Gives slots back that callers need and starts items on free ones.
  void schedule();

  /// Writes down how far the items came, so that little is done again if this
  /// VM is lost.
  void saveProgress();

  /// Stops all items and hands the jobs to other VMs, with what their items
  /// have produced so far.
  void release();

  bool owns(const std::string &JobId) const {
    return this->Jobs.contains(JobId);
  }
  bool isReleasing() const { return this->Releasing; }
  std::size_t owned() const { return this->Jobs.size(); }
  /// Whether an item waits for a slot that can still be on time.
  bool hasUrgentItems() const { return this->Urgent; }
  const OwnedJob *find(const std::string &JobId) const;

private:
  void answerHead(SendId Id, const RawHead &Head) override;
  void answerBody(SendId Id, std::string_view Bytes) override;
  void answerDone(SendId Id) override;
  void sendFailed(SendId Id, SendFailure Failure,
                  std::string_view Detail) override;

  void loaded(const std::string &JobId, std::vector<ItemRun> Items);
  void drop(const std::string &JobId, std::string_view Why);
  ItemRun *itemOf(SendId Id, ItemKey &Key);
  void yieldSlots();
  void startItems();
  void giveUpExpired();
  bool canBeOnTime(const OwnedJob &Job, const ItemRun &Run) const;
  /// Starts a waiting item at a server that keeps \p ReservedSlots free slots
  /// after it, or puts it off. Returns false if no server has a slot for it.
  bool startItem(const ItemKey &Key, int ReservedSlots);
  void stop(ItemRun &Run, bool CloseConnection);
  void postpone(const ItemKey &Key, ItemRun &Run, Duration Pause,
                std::string_view Why);
  void failedOnce(const ItemKey &Key, ItemRun &Run, int Status);
  void finish(const ItemKey &Key, ItemRun &Run, bool Succeeded,
              std::string_view Why);
  void commit(const std::string &JobId);
  /// Commits as many of the waiting results as one change takes, with the job
  /// owned by \p Owner after it. Returns how many these are.
  std::size_t commitResults(const std::string &JobId, const OwnedJob &Job,
                            const std::string &Owner,
                            const std::vector<ItemProgress> &Progress,
                            JobStore::ChangeDone Done);
  void committed(const std::string &JobId, JobStore::ChangeOutcome Outcome);
  const RouteSettings *routeOf(const OwnedJob &Job) const;

  JobRunnerDependencies Dependencies;
  JobLoader Loader;
  std::map<std::string, OwnedJob> Jobs;
  std::unordered_map<SendId, ItemKey> Sends;
  ItemSchedulingPolicy Order;
  bool Urgent = false;
  bool Releasing = false;
};

} // namespace turmericpass

#endif
