#ifndef TURMERICPASS_BATCHJOBS_JOBDIRECTORY_H
#define TURMERICPASS_BATCHJOBS_JOBDIRECTORY_H

#include "BatchJobs/JobRecords.h"
#include "Rows/RowStore.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericpass {

class Logger;

/// The version of a row as far as it is known. The answer to a transaction may
/// have a newer version than the rows that the transaction wrote.
struct KnownVersion {
  /// The version of the row, or a newer one.
  std::uint64_t Newest = 0;
  /// The version of the row, or that of the row which it replaced. Another
  /// value of the row with a higher version is newer.
  std::uint64_t Floor = 0;

  bool isExact() const { return this->Newest == this->Floor; }
};

/// The metadata of a job as last read from the store.
struct KnownJob {
  JobMetadata Metadata;
  /// The version of the metadata row, which is 0 if the metadata could not be
  /// decoded.
  KnownVersion Version;
};

/// The metadata of every job as this VM last read it from the store. Performs
/// no I/O.
class JobDirectory {
public:
  explicit JobDirectory(Logger &Log) : Log(Log) {}

  /// Apply the complete set of rows, or only the rows that changed, as the feed
  /// reports them. Return the ids of the jobs that changed since the last call,
  /// including changes by merge(). \p Rows of replace() need not include writes
  /// after \p Version, so a job that is known from a later write is kept.
  std::vector<std::string> replace(const std::vector<StoredRow> &Rows,
                                   std::uint64_t Version);
  std::vector<std::string> update(const std::vector<StoredRow> &Rows);

  /// Applies rows that were learned apart from the feed, from an answer to a
  /// transaction or to a read. The next call of replace() or update() returns
  /// their jobs, because the feed does not report a known version again.
  void merge(const std::vector<StoredRow> &Rows);

  /// Applies what a committed transaction of this VM did to rows on which it
  /// had a condition. \p AnsweredVersion is the version in the answer of the
  /// store.
  void mergeCommitted(const RowTransaction &Change,
                      std::uint64_t AnsweredVersion);

  /// Returns nullptr if the job is unknown or its metadata could not be
  /// decoded.
  const KnownJob *find(const std::string &JobId) const;
  /// Returns the error for a job that does not exist.
  static tl::unexpected<Error> noSuchJob(const std::string &JobId);
  /// Returns all jobs by id. Those whose metadata could not be decoded have
  /// version 0.
  const std::map<std::string, KnownJob> &all() const { return this->Jobs; }

  /// The admission row of an organisation on a route. Every acceptance of a job
  /// of the organisation under the route rewrites it, so that concurrent
  /// acceptances on different VMs conflict. Jobs without an organisation have a
  /// row of their own.
  struct Admission {
    KnownVersion Version;
    /// The tokens of all accepted jobs that are still in the store, finished
    /// ones included.
    std::uint64_t AcceptedTokens = 0;
    /// The value of the row: the tokens and the id of the transaction.
    std::string Value;
  };
  Admission admission(const std::string &Route,
                      const std::string &Organisation) const;

  /// Returns an upper bound of the tokens of \p Organisation that wait under
  /// \p Route: the
  /// accepted tokens minus those of items that are known to have a result and
  /// of jobs that are known to be cancelled. Stale metadata can only make the
  /// result too high.
  std::uint64_t waitingTokens(const std::string &Route,
                              const std::string &Organisation) const;

  /// What distinguishes the known value of a row from others, and its version.
  struct KnownRow {
    /// The id of the write, or the value of an admission row; empty if there is
    /// no row.
    std::string Identity;
    KnownVersion Version;
  };
  KnownRow row(const std::string &Key) const;

  /// Return the keys of the rows in JobStore::JobTable.
  static std::string metadataKey(const std::string &JobId);
  static std::string admissionKey(const std::string &Route,
                                  const std::string &Organisation);
  /// Returns the value of an admission row. \p WriteId identifies the
  /// transaction that writes it.
  static std::string admissionValue(std::uint64_t AcceptedTokens,
                                    const std::string &WriteId);

private:
  /// Applies one row and appends the id of its job to \p Changed if the job
  /// changed.
  void apply(const StoredRow &Row, std::vector<std::string> &Changed);
  void applyAdmission(const StoredRow &Row);
  void applyRemoval(const StoredRow &Row, const std::string &JobId,
                    std::vector<std::string> &Changed);
  /// Applies a row that this VM wrote in place of the one with version
  /// \p Replaced. The version of \p Row is that of the answer.
  void applyWritten(const StoredRow &Row, std::uint64_t Replaced,
                    std::vector<std::string> &Changed);

  /// Returns \p Changed and the jobs that merge() changed, each once.
  std::vector<std::string>
  withMergedChanges(const std::vector<std::string> &Changed);

  Logger &Log;
  std::set<std::string> MergedChanges;
  std::map<std::string, KnownJob> Jobs;
  /// By key of the row.
  std::map<std::string, Admission> Admissions;
};

} // namespace turmericpass

#endif
