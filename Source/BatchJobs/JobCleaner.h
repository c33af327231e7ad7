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
  /// \p Retention is how long a job is retained after its acceptance.
  JobCleaner(RowStore &Rows, JobDirectory &Directory, Logger &Log,
             Duration Retention)
      : Rows(Rows), Directory(Directory), Log(Log), Retention(Retention) {}

  /// Starts the removal of jobs whose retention has ended at \p StoreMillis,
  /// the current time of the store's clock, and for which \p IsAssignedToThisVm
  /// returns true.
  void clean(
      std::int64_t StoreMillis,
      const std::function<bool(const std::string &JobId)> &IsAssignedToThisVm);

private:
  /// Removes the rows with the job's data prefix \p RangeIndex and the
  /// following prefixes, and then the metadata.
  void removeData(const std::string &JobId, std::size_t RangeIndex);
  void removeMetadata(const std::string &JobId);

  RowStore &Rows;
  JobDirectory &Directory;
  Logger &Log;
  Duration Retention;
  /// The jobs whose rows are being removed.
  std::set<std::string> JobsBeingRemoved;
};

} // namespace turmericpass

#endif
