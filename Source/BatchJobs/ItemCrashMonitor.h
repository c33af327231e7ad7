#ifndef TURMERICPASS_BATCHJOBS_ITEMCRASHMONITOR_H
#define TURMERICPASS_BATCHJOBS_ITEMCRASHMONITOR_H

#include "BatchJobs/WaitingItems.h"

#include <functional>
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

  ItemCrashMonitor(const Clock &Time, CrashDetector &Detector,
                   CrashCounter &Crashes, JobStore &Store, Logger &Log,
                   Metrics &Stats, FindItem Find);

  /// Adopts the counts of the items of a job that was read from the store.
  void restore(const std::string &JobId, OwnedJob &Job);
  /// Saves the number of each trial that is due. The item may start once that
  /// is done: otherwise a VM that is lost during trials would repeat them.
  void requestTrials(const std::string &JobId, OwnedJob &Job);

  /// Reports that the server did not complete the item, which it may have begun
  /// to run. The item does not start again before the server was checked.
  void sendFailed(const ItemKey &Key, ItemRun &Run);
  /// Reports that the current send has received events.
  void eventsReceived(const ItemKey &Key, ItemRun &Run);
  /// Reports that a server ran an item with \p PromptParts completely.
  void completed(const ItemKey &Key, std::string_view PromptParts);

private:
  void finishCheck(const ItemKey &Key, const std::string &Server, bool Crashed);

  const Clock &Time;
  CrashDetector &Detector;
  CrashCounter &Crashes;
  JobStore &Store;
  Logger &Log;
  Metrics &Stats;
  FindItem Find;
};

} // namespace turmericpass

#endif
