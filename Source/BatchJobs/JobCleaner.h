#ifndef TURMERICPASS_BATCHJOBS_JOBCLEANER_H
#define TURMERICPASS_BATCHJOBS_JOBCLEANER_H

#include "BatchJobs/JobDirectory.h"
#include "Core/Clock.h"

#include <functional>
#include <set>
#include <string>

namespace turmericpass {

class Logger;

/// Removes expired jobs that are finished or cancelled, so that the store does
/// not grow without bound. The metadata is removed last, so that an interrupted
/// removal is detected and resumed.
class JobCleaner {
public:
  /// \p KeepTime is how long a job is retained after its acceptance.
  JobCleaner(RowStore &Rows, JobDirectory &Book, Logger &Log, Duration KeepTime)
      : Rows(Rows), Book(Book), Log(Log), KeepTime(KeepTime) {}

  /// Starts the removal of jobs whose retention has ended at \p StoreMillis,
  /// the current time of the store's clock, and for which \p IsMine returns
  /// true.
  void clean(std::int64_t StoreMillis,
             const std::function<bool(const std::string &JobId)> &IsMine);

private:
  void removeData(const std::string &JobId, std::size_t Kind);
  void removeHead(const std::string &JobId);

  RowStore &Rows;
  JobDirectory &Book;
  Logger &Log;
  Duration KeepTime;
  /// The jobs whose rows are being removed.
  std::set<std::string> Busy;
};

} // namespace turmericpass

#endif
