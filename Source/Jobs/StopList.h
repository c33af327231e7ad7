#ifndef TURMERICPASS_JOBS_STOPLIST_H
#define TURMERICPASS_JOBS_STOPLIST_H

#include "Core/Clock.h"
#include "Platform/Table.h"

#include <set>

namespace turmericpass {

/// How often a working batcher reads the list, so that a cancellation is seen
/// within a second.
constexpr Duration StopListPeriod = std::chrono::milliseconds(800);
/// While the list cannot be read, items are started for at most this long
/// after the last reading.
constexpr Duration StoppingJobsMaxAge = std::chrono::seconds(3);

/// The jobs that must stop, as the table last had them. One read serves all
/// jobs of a batcher.
class StopList {
public:
  StopList(Table &Rows, const Clock &Time) : Rows(Rows), Time(Time) {}

  /// Reads the list when it is due; call it every 100 ms while the batcher
  /// holds chunks.
  void tick();

  bool contains(const std::string &JobId) const {
    return this->Jobs.contains(JobId);
  }

  /// True if the list is recent enough to start items.
  bool fresh() const;

private:
  void readPage(const std::string &After, Instant Sent);
  void onPage(const Result<std::vector<TableRow>> &Page, Instant Sent);

  Table &Rows;
  const Clock &Time;
  std::set<std::string> Jobs;
  std::set<std::string> Reading;
  Instant Next{};
  Instant AsOf{};
  bool Known = false;
  bool Busy = false;
};

} // namespace turmericpass

#endif
