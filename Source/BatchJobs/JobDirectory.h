#ifndef TURMERICPASS_BATCHJOBS_JOBDIRECTORY_H
#define TURMERICPASS_BATCHJOBS_JOBDIRECTORY_H

#include "BatchJobs/JobRecords.h"
#include "Rows/RowStore.h"

#include <map>
#include <string>
#include <vector>

namespace turmericpass {

class Logger;

/// A job as the store has it.
struct KnownJob {
  JobMetadata Head;
  /// The version of the head's row.
  std::uint64_t Version = 0;
};

/// Every job as this VM last saw it in the store. It has no I/O.
class JobDirectory {
public:
  explicit JobDirectory(Logger &Log) : Log(Log) {}

  /// Takes over all rows, or the rows that changed. Returns the ids of the
  /// jobs that changed.
  std::vector<std::string> replace(const std::vector<StoredRow> &Rows);
  std::vector<std::string> update(const std::vector<StoredRow> &Rows);

  const KnownJob *find(const std::string &JobId) const;
  const std::map<std::string, KnownJob> &all() const { return this->Jobs; }

  /// What every acceptance under a route rewrites, so that two of them never
  /// pass unseen by each other.
  struct Admission {
    std::uint64_t Version = 0;
    /// The tokens of all jobs that were ever accepted and are in the store.
    std::uint64_t AcceptedTokens = 0;
    /// The row's value: the tokens, and what names the transaction.
    std::string Value;
  };
  Admission admission(const std::string &Route) const;

  /// The tokens that may wait under \p Route: those accepted less those known
  /// to be listed or ended. A book that lags counts too many, never too few.
  std::uint64_t waitingTokens(const std::string &Route) const;

  /// Keys of the rows in the table of heads.
  static std::string headKey(const std::string &JobId);
  static std::string admissionKey(const std::string &Route);
  /// The value of an admission row. \p WriteId names the transaction.
  static std::string admissionValue(std::uint64_t AcceptedTokens,
                                    const std::string &WriteId);

private:
  void apply(const StoredRow &Row, std::vector<std::string> &Changed);

  Logger &Log;
  std::map<std::string, KnownJob> Jobs;
  std::map<std::string, Admission> Admissions;
};

} // namespace turmericpass

#endif
