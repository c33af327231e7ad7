#ifndef TURMERICPASS_BATCHJOBS_JOBSTORE_H
#define TURMERICPASS_BATCHJOBS_JOBSTORE_H

#include "BatchJobs/JobDirectory.h"
#include "Core/Clock.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace turmericpass {

class EventLoop;
class IdSource;
class Logger;

/// Reads and writes jobs in the store. Every update of a job is a transaction
/// that is conditional on the version of the job's metadata, so that of two
/// concurrent writers only one succeeds.
class JobStore {
public:
  /// The first table holds the metadata of all jobs; it is small, and every VM
  /// follows its changes. The second one holds items, results and progress,
  /// which are read on demand. Both are in the same part of the store because a
  /// transaction cannot span parts.
  static constexpr const char *JobTable = "turmericpass-jobs";
  static constexpr const char *DataTable = "turmericpass-job-data";
  static constexpr const char *Part = "jobs";

  /// Returns the key prefixes of the job's rows in the data table.
  static std::vector<std::string> dataPrefixes(const std::string &JobId);

  JobStore(EventLoop &Loop, RowStore &Rows, IdSource &Ids, Logger &Log);

  enum class ChangeOutcome {
    Done,
    /// Another writer changed a row first. The book passed to the call holds
    /// the new rows.
    Overtaken,
    /// The store rejected the transaction or was unreachable. The change was
    /// not applied and will not be applied later.
    NotDone,
    /// The store did not answer. The change may have been applied or may still
    /// be applied.
    Unknown,
  };
  using ChangeDone = std::function<void(ChangeOutcome)>;

  /// Writes a new job, provided that no job with this id exists and that the
  /// admission row of its route has the version that \p Book knows. Items that
  /// do not fit into the same transaction are written in earlier ones. Retries
  /// until \p Until.
  void accept(const std::string &JobId, const JobMetadata &Head,
              const std::vector<JobItem> &Items, Instant Until,
              JobDirectory &Book, ChangeDone Done);

  /// Returns how many of \p Results, counted from the first, fit into one
  /// transaction. The number is at least 1 unless \p Results is empty.
  std::size_t fittingResults(const std::vector<ItemResult> &Results) const;

  /// Replaces the job's metadata if it still has \p Version. The same
  /// transaction writes \p Results to the positions from \p First on, and as
  /// much of \p Progress as fits. Retries until \p Until.
  void change(const std::string &JobId, const JobMetadata &Head,
              std::uint64_t Version, const std::vector<ItemResult> &Results,
              std::uint64_t First, const std::vector<ItemProgress> &Progress,
              Instant Until, JobDirectory &Book, ChangeDone Done);

  /// Writes \p Progress if the job's metadata still has \p Version.
  /// Failures are not reported because they only cause work to be repeated.
  void saveProgress(const std::string &JobId, std::uint64_t Version,
                    const std::vector<ItemProgress> &Progress);

  using HeadDone = std::function<void(Result<const KnownJob *>)>;
  /// Reads the job's metadata from the store into \p Book. Fails with NotFound
  /// if the job does not exist.
  void readHead(const std::string &JobId, JobDirectory &Book, HeadDone Done);

  using ItemsDone = std::function<void(Result<std::vector<JobItem>>)>;
  void readItems(const std::string &JobId, ItemsDone Done);

  using ResultsDone = std::function<void(Result<std::vector<ItemResult>>)>;
  /// Reads results from position \p First on, about \p Bytes in total but at
  /// least one result if there is any. If \p Bytes is 0, reads all of them.
  void readResults(const std::string &JobId, std::uint64_t First,
                   std::size_t Bytes, ResultsDone Done);

  using ProgressDone = std::function<void(Result<std::vector<ItemProgress>>)>;
  void readProgress(const std::string &JobId, ProgressDone Done);

private:
  struct Attempt;
  struct RangeRead;
  /// Creates a transaction that replaces the job's metadata of version
  /// \p Version with \p Head.
  std::shared_ptr<Attempt> prepare(const std::string &JobId, JobMetadata Head,
                                   std::uint64_t Version, Instant Until,
                                   JobDirectory &Book, ChangeDone Done);
  /// Writes \p ItemRows in transactions of their own and then sends
  /// \p Accepting.
  void storeAhead(const std::shared_ptr<Attempt> &Accepting,
                  const std::vector<RowWrite> &ItemRows);
  std::vector<RowWrite> progressRows(const std::string &JobId,
                                     const ItemProgress &Item) const;
  void attempt(std::shared_ptr<Attempt> Tried);
  void concluded(Attempt &Tried, const TransactionResult &Answer);
  void readRange(std::shared_ptr<RangeRead> Reading, std::string From);
  void read(const std::string &Prefix, const std::string &From,
            std::size_t Bytes,
            std::function<void(Result<std::vector<StoredRow>>)> Done);

  EventLoop &Loop;
  RowStore &Rows;
  IdSource &Ids;
  Logger &Log;
};

} // namespace turmericpass

#endif
