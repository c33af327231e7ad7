#ifndef TURMERICPASS_JOBS_STOPPINGJOBS_H
#define TURMERICPASS_JOBS_STOPPINGJOBS_H

#include "Core/Clock.h"
#include "Platform/Table.h"

#include <set>

namespace turmericpass {

/// The interval at which a batcher with chunks reads the list. A cancellation
/// is detected within a second.
constexpr Duration StoppingJobsReadPeriod = std::chrono::milliseconds(800);
/// How long items may still be started after the last successful read of the
/// list.
constexpr Duration StoppingJobsMaxAge = std::chrono::seconds(3);

/// The jobs that must stop, as last read from the table. One read serves all
/// jobs of a batcher.
class StoppingJobs {
public:
  StoppingJobs(Table &Rows, const Clock &Time) : Rows(Rows), Time(Time) {}

  /// Reads the list when a read is due. Call this every 100 ms while the
  /// batcher holds chunks.
  void tick();

  bool contains(const std::string &JobId) const {
    return this->JobIds.contains(JobId);
  }

  /// Returns true if the list is recent enough to start items.
  bool isFresh() const;

private:
  void readPage(const std::string &After, Instant Sent);
  void onPage(const Result<std::vector<TableRow>> &Page, Instant Sent);

  Table &Rows;
  const Clock &Time;
  std::set<std::string> JobIds;
  std::set<std::string> PendingJobIds;
  Instant NextRead{};
  Instant LastRead{};
  bool WasRead = false;
  bool Busy = false;
};

} // namespace turmericpass

#endif
