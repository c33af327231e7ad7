#ifndef TURMERICPASS_BATCHJOBS_JOBBOOK_H
#define TURMERICPASS_BATCHJOBS_JOBBOOK_H

#include "BatchJobs/JobRecords.h"
#include "Rows/RowStore.h"

#include <map>
#include <string>
#include <vector>

namespace turmericpass {

class Logger;

/// A job as the store has it.
struct KnownJob {
  JobHead Head;
  /// The version of the head's row.
  std::uint64_t Version = 0;
};

/// Every job as this VM last saw it in the store. It has no I/O.
class JobBook {
public:
  explicit JobBook(Logger &Log) : Log(Log) {}

  /// Takes over all rows, or the rows that changed. Returns the ids of the
  /// jobs that changed.
  std::vector<std::string> replace(const std::vector<StoredRow> &Rows);
  std::vector<std::string> update(const std::vector<StoredRow> &Rows);

  const KnownJob *find(const std::string &JobId) const;
  const std::map<std::string, KnownJob> &all() const { return this->Jobs; }

  /// The tokens of items that are accepted under \p Route, not listed and not
  /// ended. An item that finished but is not listed counts still.
  std::uint64_t waitingTokens(const std::string &Route) const;

  /// The version of the row that each acceptance under \p Route rewrites. A
  /// transaction on this version sees every job accepted before.
  std::uint64_t admissionVersion(const std::string &Route) const;

  /// Keys of the rows in the table of heads.
  static std::string headKey(const std::string &JobId);
  static std::string admissionKey(const std::string &Route);

private:
  void apply(const StoredRow &Row, std::vector<std::string> &Changed);

  Logger &Log;
  std::map<std::string, KnownJob> Jobs;
  std::map<std::string, std::uint64_t> AdmissionVersions;
};

} // namespace turmericpass

#endif
