#ifndef TURMERICPASS_BATCHJOBS_ITEMCRASHMONITOR_H
#define TURMERICPASS_BATCHJOBS_ITEMCRASHMONITOR_H

#include "BatchJobs/ItemTrialLimit.h"
#include "BatchJobs/WaitingItems.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace turmericpass {

class CrashCounter;
class CrashDetector;
class JobStore;
class Logger;
class Metrics;

/// Reports to the ItemCrashPolicy of each item which of its sends crashed their
/// servers, and keeps the counts in the store and in the crash counts that all
/// VMs share.
class ItemCrashMonitor {
public:
  /// Returns an item of this VM, or nullptr.
  using FindItem = std::function<ItemRun *(const ItemKey &)>;
  /// Returns the service that runs an item of a job, or an empty view if there
  /// is none.
  using FindService =
      std::function<std::string_view(const OwnedJob &, const ItemRun &)>;

  ItemCrashMonitor(const Clock &Time, CrashDetector &Detector,
                   CrashCounter &Crashes, JobStore &Store, Logger &Log,
                   Metrics &Stats, FindItem Find, FindService ServiceOf);

  /// Adopts the counts of the items of a job that was read from the store.
  void restore(const std::string &JobId, OwnedJob &Job);
  /// Saves the number of each trial that is due and that ItemTrialLimit allows.
  /// The item may start once that is done: otherwise a VM that is lost during
  /// trials would repeat them.
  void requestTrials(std::map<std::string, OwnedJob> &Jobs);

  /// Reports that the server did not complete the item, which it may have begun
  /// to run. The item does not start again before the server was checked.
  void sendFailed(const ItemKey &Key, ItemRun &Run);
  /// Reports that the current send has received events.
  void eventsReceived(const ItemKey &Key, ItemRun &Run);
  /// Reports that a server ran an item with \p PromptParts completely.
  void completed(const ItemKey &Key, std::string_view PromptParts);

private:
  /// Counts a trial of the item, and saves its number.
  void requestTrial(const ItemKey &Key, ItemRun &Run, Instant Now);
  /// Requests those of the later trials that are due and that the limits of
  /// their services allow. Items with the fewest trials go first.
  void requestLimitedTrials(std::map<std::string, OwnedJob> &Jobs,
                            std::vector<ItemKey> Due, Instant Now);
  /// Returns the number of later trials of each service that are not over.
  std::map<std::string_view, int>
  openLimitedTrials(const std::map<std::string, OwnedJob> &Jobs) const;
  void finishCheck(const ItemKey &Key, const std::string &Server, bool Crashed);

  const Clock &Time;
  CrashDetector &Detector;
  CrashCounter &Crashes;
  JobStore &Store;
  Logger &Log;
  Metrics &Stats;
  FindItem Find;
  FindService ServiceOf;
  std::map<std::string, ItemTrialLimit, std::less<>> LimitsByService;
};

} // namespace turmericpass

#endif
