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

/// Reads and writes jobs in the store. Every change of a job is a transaction
/// on the version of its head, so that of two writers one fails.
class JobStore {
public:
  /// The table of heads, small and followed by every VM, and that of items,
  /// results and progress, read when needed. One part holds both, since a
  /// transaction stays within one part.
  static constexpr const char *JobTable = "turmericpass-jobs";
  static constexpr const char *DataTable = "turmericpass-job-data";
  static constexpr const char *Part = "jobs";

  /// What the keys of the job's rows in the data table begin with.
  static std::vector<std::string> dataPrefixes(const std::string &JobId);

  JobStore(EventLoop &Loop, RowStore &Rows, IdSource &Ids, Logger &Log);

  enum class ChangeOutcome {
    Done,
    /// Another writer changed the row; the book has its new state.
    Overtaken,
    /// The store refused or was away; nothing changed and nothing will.
    NotDone,
    /// Not known; the change may have been made or may still be made.
    Unknown,
  };
  using ChangeDone = std::function<void(ChangeOutcome)>;

  /// Writes a new job on condition that its route's admission row is as \p Book
  /// has it and that there is no such job. Items that do not fit into the same
  /// transaction are written before it. Tries until \p Until.
  void accept(const std::string &JobId, const JobMetadata &Head,
              const std::vector<JobItem> &Items, Instant Until,
              JobDirectory &Book, ChangeDone Done);

  /// Returns how many of \p Results, from the first one on, fit into one
  /// change(); at least one if there is one.
  std::size_t fittingResults(const std::vector<ItemResult> &Results) const;

  /// Replaces the head whose version is \p Version, and writes \p Results from
  /// position \p First on and as much of \p Progress as fits.
  void change(const std::string &JobId, const JobMetadata &Head,
              std::uint64_t Version, const std::vector<ItemResult> &Results,
              std::uint64_t First, const std::vector<ItemProgress> &Progress,
              Instant Until, JobDirectory &Book, ChangeDone Done);

  /// Writes \p Progress if the head still has \p Version. A failure only costs
  /// work that is done again, so nobody is told.
  void saveProgress(const std::string &JobId, std::uint64_t Version,
                    const std::vector<ItemProgress> &Progress);

  using HeadDone = std::function<void(Result<const KnownJob *>)>;
  /// Reads the head from the store into \p Book; NotFound if there is none.
  void readHead(const std::string &JobId, JobDirectory &Book, HeadDone Done);

  using ItemsDone = std::function<void(Result<std::vector<JobItem>>)>;
  void readItems(const std::string &JobId, ItemsDone Done);

  using ResultsDone = std::function<void(Result<std::vector<ItemResult>>)>;
  /// Reads results from position \p First on, at least one if there is one,
  /// and about \p Bytes at most; 0 means all.
  void readResults(const std::string &JobId, std::uint64_t First,
                   std::size_t Bytes, ResultsDone Done);

  using ProgressDone = std::function<void(Result<std::vector<ItemProgress>>)>;
  void readProgress(const std::string &JobId, ProgressDone Done);

private:
  struct Attempt;
  struct RangeRead;
  /// Begins a transaction that writes \p Head over the one with \p Version.
  std::shared_ptr<Attempt> prepare(const std::string &JobId, JobMetadata Head,
                                   std::uint64_t Version, Instant Until,
                                   JobDirectory &Book, ChangeDone Done);
  /// Writes \p ItemRows and then attempts \p Accepting.
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
