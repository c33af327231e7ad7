#ifndef TURMERICPASS_BATCHJOBS_JOBRUNNER_H
#define TURMERICPASS_BATCHJOBS_JOBRUNNER_H

#include "BatchJobs/ItemOrder.h"
#include "BatchJobs/JobLoader.h"
#include "BatchJobs/WaitingItems.h"
#include "Serving/BackendDialect.h"
#include "Serving/ServingSettings.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace turmericpass {

class CrashDetector;
class CrashRecord;
class EventLoop;
class LoadBook;
class Logger;
class Metrics;
class PlacementPolicy;
class ServerDirectory;

/// What JobRunner works with.
struct RunnerParts {
  EventLoop &Loop;
  BackendChannels &Channels;
  JobStore &Store;
  JobBook &Book;
  ServerDirectory &Servers;
  LoadBook &Loads;
  const PlacementPolicy &Placement;
  CrashRecord &Crashes;
  CrashDetector &Detector;
  const BackendDialect &Dialect;
  Logger &Log;
  Metrics &Stats;
  /// The settings in force; nullptr before the first ones came.
  std::function<const ServingSettings *()> Settings;
  /// The store's clock in milliseconds.
  std::function<std::int64_t()> StoreMillis;
  /// Whether items of other VMs wait that can still be on time.
  std::function<bool()> OthersAreUrgent;
  /// This incarnation of this VM, as it stands in heads of jobs.
  std::string Self;
};

/// Runs the items of the jobs that this VM owns on slots that no caller needs,
/// and commits their results.
class JobRunner : private SendHandler {
public:
  explicit JobRunner(RunnerParts Parts);

  /// Starts to run a job of which the store says that this VM owns it.
  void own(const std::string &JobId);
  /// The heads of these jobs changed in the store.
  void headsChanged(const std::vector<std::string> &JobIds);

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
  bool isUrgent() const { return this->Urgent; }
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
  /// Starts a waiting item at a server that keeps \p LeaveFree free slots after
  /// it, or puts it off. Returns false if no server has a slot for it.
  bool startItem(const ItemKey &Key, int LeaveFree);
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

  RunnerParts With;
  JobLoader Loader;
  std::map<std::string, OwnedJob> Jobs;
  std::unordered_map<SendId, ItemKey> Sends;
  ItemOrder Order;
  bool Urgent = false;
  bool Releasing = false;
};

} // namespace turmericpass

#endif
