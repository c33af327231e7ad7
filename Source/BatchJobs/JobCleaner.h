#ifndef TURMERICPASS_BATCHJOBS_JOBCLEANER_H
#define TURMERICPASS_BATCHJOBS_JOBCLEANER_H

#include "BatchJobs/JobDirectory.h"
#include "Core/Clock.h"

#include <functional>
#include <set>
#include <string>

namespace turmericpass {

class Logger;

/// Removes jobs that were finished or ended long ago, so that the store does
/// not fill up. Results go first and the head last, so that an interrupted
/// removal is found again.
class JobCleaner {
public:
  /// \p KeepTime is how long after its acceptance a job stays readable.
  JobCleaner(RowStore &Rows, JobDirectory &Book, Logger &Log, Duration KeepTime)
      : Rows(Rows), Book(Book), Log(Log), KeepTime(KeepTime) {}

  /// Starts to remove jobs that are old at \p StoreMillis and that \p IsMine
  /// gives to this VM.
  void clean(std::int64_t StoreMillis,
             const std::function<bool(const std::string &JobId)> &IsMine);

private:
  void removeData(const std::string &JobId, std::size_t Kind);
  void removeHead(const std::string &JobId);

  RowStore &Rows;
  JobDirectory &Book;
  Logger &Log;
  Duration KeepTime;
  /// Jobs whose rows are being removed.
  std::set<std::string> Busy;
};

} // namespace turmericpass

#endif
