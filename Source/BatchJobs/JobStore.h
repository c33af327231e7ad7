#ifndef TURMERICPASS_BATCHJOBS_JOBSTORE_H
#define TURMERICPASS_BATCHJOBS_JOBSTORE_H

#include "BatchJobs/JobDirectory.h"
#include "Core/Clock.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace turmericpass {

struct OwnedJob;

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
  /// Returns the part of the progress of \p JobId. Each owner saves progress
  /// every few seconds, which is more than the transactions that one part
  /// takes in a large fleet, and acceptances and results must not wait for it.
  static std::string progressPart(const std::string &JobId);
  /// The keys of a job's data, by the part that they are in.
  struct DataRange {
    std::string Part;
    std::string Prefix;
  };
  static std::vector<DataRange> dataRanges(const std::string &JobId);

  JobStore(EventLoop &Loop, RowStore &Rows, IdSource &Ids, Logger &Log);

  enum class ChangeOutcome {
    Done,
    /// Another writer changed a row first. The JobDirectory passed to the call
    /// holds the new rows.
    Conflict,
    /// The store rejected the transaction or was unreachable. The change was
    /// not applied and will not be applied later.
    NotDone,
    /// The store did not answer. The change may have been applied or may still
    /// be applied.
    Unknown,
  };
  using ChangeCallback = std::function<void(ChangeOutcome)>;

  /// Writes a new job, provided that no job with this id exists and that the
  /// admission row of its route is still the one that \p Directory knows. Items
  /// that do not fit into the same transaction are written in earlier ones.
  /// Retries until \p Deadline.
  void acceptJob(const std::string &JobId, const JobMetadata &Metadata,
                 const std::vector<JobItem> &Items, Instant Deadline,
                 JobDirectory &Directory, ChangeCallback Done);

  /// Returns how many of \p Results, counted from the first, fit into one
  /// transaction. The number is at least 1 unless \p Results is empty.
  std::size_t countFittingResults(const std::vector<ItemResult> &Results) const;

  /// A commit whose outcome is not known yet.
  struct StartedCommit {
    /// The number of results.
    std::size_t Count = 0;
    /// JobMetadata::WriteId of the metadata that the commit writes.
    std::string WriteId;
  };

  /// Commits as many uncommitted results of \p Job as fit into one transaction
  /// and sets the owner of the job to \p Owner.
  StartedCommit commitResults(const std::string &JobId, const OwnedJob &Job,
                              const std::string &Owner, Instant Deadline,
                              JobDirectory &Directory, ChangeCallback Done);

  /// Replaces the job's metadata if the row with the same JobMetadata::WriteId
  /// as \p Metadata is still the current one. The same transaction writes
  /// \p Results to the positions from \p First on. Retries until \p Deadline.
  /// Returns JobMetadata::WriteId of the new metadata.
  std::string updateJob(const std::string &JobId, const JobMetadata &Metadata,
                        const std::vector<ItemResult> &Results,
                        std::uint64_t First, Instant Deadline,
                        JobDirectory &Directory, ChangeCallback Done);

  /// Writes \p Progress. Failures are not reported because they only cause
  /// work to be repeated. Progress is the first part of an output, which is the
  /// same in each run, so it does not matter which VM wrote it last.
  void saveProgress(const std::string &JobId,
                    const std::vector<ItemProgress> &Progress);
  /// Writes the progress of one item and reports whether it is in the store.
  void saveItemProgress(const std::string &JobId, const ItemProgress &Progress,
                        std::function<void(bool Saved)> Done);

  using MetadataCallback = std::function<void(Result<const KnownJob *>)>;
  /// Reads the job's metadata from the store into \p Directory. Fails with
  /// NotFound if the job does not exist.
  void readMetadata(const std::string &JobId, JobDirectory &Directory,
                    MetadataCallback Done);

  using ItemsCallback = std::function<void(Result<std::vector<JobItem>>)>;
  void readItems(const std::string &JobId, ItemsCallback Done);

  using ResultsCallback = std::function<void(Result<std::vector<ItemResult>>)>;
  /// Reads results from position \p First on, about \p TargetBytes in total but
  /// at least one result if there is any. If \p TargetBytes is 0, reads all.
  void readResults(const std::string &JobId, std::uint64_t First,
                   std::size_t TargetBytes, ResultsCallback Done);

  using ProgressCallback =
      std::function<void(Result<std::vector<ItemProgress>>)>;
  void readProgress(const std::string &JobId, ProgressCallback Done);

private:
  struct PendingTransaction;
  struct PendingRangeRead;
  /// Creates a transaction that writes \p Metadata, provided that there is no
  /// such job.
  std::shared_ptr<PendingTransaction>
  prepareTransaction(const std::string &JobId, JobMetadata Metadata,
                     Instant Deadline, JobDirectory &Directory,
                     ChangeCallback Done);
  /// Writes \p ItemRows in transactions of their own and then sends
  /// \p Acceptance.
  void writeItemsFirst(const std::shared_ptr<PendingTransaction> &Acceptance,
                       const std::vector<RowWrite> &ItemRows);
  std::vector<RowWrite> makeProgressRows(const std::string &JobId,
                                         const ItemProgress &Item) const;
  /// Sends the transaction once the version of the row that it replaces is
  /// known exactly. A newer version may be that of a change by another VM,
  /// which the transaction would undo.
  void sendWithExactVersion(std::shared_ptr<PendingTransaction> Pending);
  void readReplacedRow(std::shared_ptr<PendingTransaction> Pending);
  void sendTransaction(std::shared_ptr<PendingTransaction> Pending);
  void completeTransaction(PendingTransaction &Pending,
                           const TransactionResult &Answer);
  void readNextPage(std::shared_ptr<PendingRangeRead> Pending,
                    std::string From);
  void readRange(const std::string &PartName, const std::string &Prefix,
                 const std::string &From, std::size_t TargetBytes,
                 std::function<void(Result<std::vector<StoredRow>>)> Done);

  EventLoop &Loop;
  RowStore &Rows;
  IdSource &Ids;
  Logger &Log;
};

} // namespace turmericpass

#endif
