#include "BatchJobs/JobStore.h"

#include "BatchJobs/JobData.h"
#include "BatchJobs/OwnedJob.h"
#include "Core/Hash.h"
#include "Core/IdSource.h"
#include "Loop/EventLoop.h"
#include "Telemetry/Logger.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

/// The delay before a transaction is retried.
constexpr Duration RetryDelay = std::chrono::milliseconds(60);

/// The number of parts among which the progress of jobs is divided.
constexpr std::uint64_t ProgressParts = 16;

template <typename T, typename F>
Result<std::vector<T>> decodeAll(const Result<std::vector<StoredRow>> &Rows,
                                 F Decode) {
  if (!Rows)
    return tl::make_unexpected(Rows.error());
  std::vector<T> Decoded;
  for (const std::string &Value : joinValues(*Rows)) {
    Result<T> Element = Decode(Value);
    if (!Element)
      return tl::make_unexpected(Element.error());
    Decoded.push_back(std::move(*Element));
  }
  return Decoded;
}

} // namespace

/// A transaction that is retried until its deadline.
struct JobStore::PendingTransaction {
  std::string JobId;
  std::string WriteId;
  RowTransaction Change;
  Instant Deadline;
  /// The row that the change is based on, as JobDirectory::row() identifies it.
  /// The key is empty if there is none.
  std::string ReplacedKey;
  std::string ReplacedIdentity;
  JobDirectory *Directory = nullptr;
  ChangeCallback Done;
  /// Whether an attempt got no answer, so that the store may have applied the
  /// change or may still do so.
  bool MayBeApplied = false;
};

struct JobStore::PendingRangeRead {
  std::string Part;
  std::string Prefix;
  /// Reading stops once this many bytes are read; 0 means no limit.
  std::size_t TargetBytes = 0;
  std::size_t BytesRead = 0;
  std::vector<StoredRow> Rows;
  std::function<void(Result<std::vector<StoredRow>>)> Done;
};

JobStore::JobStore(EventLoop &Loop, RowStore &Rows, IdSource &Ids, Logger &Log)
    : Loop(Loop), Rows(Rows), Ids(Ids), Log(Log) {}

std::string JobStore::progressPart(const std::string &JobId) {
  return "progress-" + std::to_string(hash64(JobId) % ProgressParts);
}

std::vector<JobStore::DataRange>
JobStore::dataRanges(const std::string &JobId) {
  return {{Part, itemsPrefix(JobId)},
          {Part, resultsPrefix(JobId)},
          {progressPart(JobId), progressPrefix(JobId)}};
}

std::shared_ptr<JobStore::PendingTransaction>
JobStore::prepareTransaction(const std::string &JobId, JobMetadata Metadata,
                             Instant Deadline, JobDirectory &Directory,
                             ChangeCallback Done) {
  auto Pending = std::make_shared<PendingTransaction>();
  Pending->JobId = JobId;
  Pending->WriteId = Metadata.WriteId = this->Ids.shortId();
  Pending->Deadline = Deadline;
  Pending->Directory = &Directory;
  Pending->Done = std::move(Done);
  Pending->Change.Part = Part;
  Pending->Change.Conditions = {
      {JobTable, JobDirectory::metadataKey(JobId), 0}};
  Pending->Change.Writes = {
      {JobTable, JobDirectory::metadataKey(JobId), encodeMetadata(Metadata)}};
  return Pending;
}

void JobStore::acceptJob(const std::string &JobId, const JobMetadata &Metadata,
                         const std::vector<JobItem> &Items, Instant Deadline,
                         JobDirectory &Directory, ChangeCallback Done) {
  std::shared_ptr<PendingTransaction> Pending = this->prepareTransaction(
      JobId, Metadata, Deadline, Directory, std::move(Done));
  RowTransaction &Change = Pending->Change;
  const std::string Key =
      JobDirectory::admissionKey(Metadata.Route, Metadata.Organisation);
  const JobDirectory::Admission Before =
      Directory.admission(Metadata.Route, Metadata.Organisation);
  Pending->ReplacedKey = Key;
  Pending->ReplacedIdentity = Before.Value;
  Change.Conditions.push_back({JobTable, Key, 0});
  Change.Writes.push_back(
      {JobTable, Key,
       JobDirectory::admissionValue(
           Before.AcceptedTokens + Metadata.TotalTokens, Pending->WriteId)});
  const std::vector<RowWrite> ItemRows = splitValue(
      DataTable, itemsPrefix(JobId), encodeItems(Items), this->Rows.limits());
  if (addRowsIfWithinLimits(Change, ItemRows, this->Rows.limits()))
    this->sendWithExactVersion(std::move(Pending));
  else
    this->writeItemsFirst(Pending, ItemRows);
}

void JobStore::writeItemsFirst(
    const std::shared_ptr<PendingTransaction> &Acceptance,
    const std::vector<RowWrite> &ItemRows) {
  auto ItemWrite = std::make_shared<PendingTransaction>();
  ItemWrite->JobId = Acceptance->JobId;
  ItemWrite->Deadline = Acceptance->Deadline;
  ItemWrite->Directory = Acceptance->Directory;
  ItemWrite->Change.Part = Part;
  // Item rows of an existing job must not be overwritten.
  ItemWrite->Change.Conditions = {
      {JobTable, JobDirectory::metadataKey(Acceptance->JobId), 0}};
  // At least one row fits because RowLimits::ValueBytes is at most a quarter of
  // RowLimits::TransactionBytes.
  std::size_t FittingRows = 0;
  while (FittingRows < ItemRows.size() &&
         addRowsIfWithinLimits(ItemWrite->Change, {ItemRows[FittingRows]},
                               this->Rows.limits()))
    ++FittingRows;
  const std::vector<RowWrite> RemainingRows(
      ItemRows.begin() + static_cast<std::ptrdiff_t>(FittingRows),
      ItemRows.end());
  ItemWrite->Done = [this, Acceptance, RemainingRows](ChangeOutcome Outcome) {
    // A job exists only once its metadata is written, so any failure here means
    // that the job was not accepted.
    if (Outcome != ChangeOutcome::Done)
      Acceptance->Done(Outcome == ChangeOutcome::Conflict
                           ? ChangeOutcome::Conflict
                           : ChangeOutcome::NotDone);
    else if (RemainingRows.empty())
      this->sendWithExactVersion(Acceptance);
    else
      this->writeItemsFirst(Acceptance, RemainingRows);
  };
  this->sendTransaction(std::move(ItemWrite));
}

std::size_t
JobStore::countFittingResults(const std::vector<ItemResult> &Results) const {
  const RowLimits &Limits = this->Rows.limits();
  // The job's metadata takes one condition and one write.
  std::size_t Entries = 2;
  std::size_t Bytes = Limits.ValueBytes;
  std::size_t Fitting = 0;
  for (const ItemResult &Item : Results) {
    const std::size_t Size = encodeResult(Item).size();
    Entries += std::max<std::size_t>(1, (Size + Limits.ValueBytes - 1) /
                                            Limits.ValueBytes);
    Bytes += Size;
    const bool Fits =
        Entries <= Limits.Entries && Bytes <= Limits.TransactionBytes;
    // The first result always counts, so that every commit makes progress.
    if (!Fits && Fitting > 0)
      break;
    ++Fitting;
  }
  return Fitting;
}

JobStore::StartedCommit
JobStore::commitResults(const std::string &JobId, const OwnedJob &Job,
                        const std::string &Owner, Instant Deadline,
                        JobDirectory &Directory, ChangeCallback Done) {
  // After an outage, more results may wait than fit into one transaction.
  const std::size_t Count = this->countFittingResults(Job.UncommittedResults);
  const std::vector<ItemResult> Results(Job.UncommittedResults.begin(),
                                        Job.UncommittedResults.begin() +
                                            static_cast<std::ptrdiff_t>(Count));
  JobMetadata Metadata = Job.metadataAfterCommit(Count);
  Metadata.Owner = Owner;
  return {Count,
          this->updateJob(JobId, Metadata, Results, Job.Metadata.CommittedItems,
                          Deadline, Directory, std::move(Done))};
}

std::string JobStore::updateJob(const std::string &JobId,
                                const JobMetadata &Metadata,
                                const std::vector<ItemResult> &Results,
                                std::uint64_t First, Instant Deadline,
                                JobDirectory &Directory, ChangeCallback Done) {
  std::shared_ptr<PendingTransaction> Pending = this->prepareTransaction(
      JobId, Metadata, Deadline, Directory, std::move(Done));
  Pending->ReplacedKey = JobDirectory::metadataKey(JobId);
  Pending->ReplacedIdentity = Metadata.WriteId;
  RowTransaction &Change = Pending->Change;
  for (const ItemResult &Item : Results)
    for (RowWrite &Row :
         splitValue(DataTable, resultsPrefix(JobId) + positionKey(First++),
                    encodeResult(Item), this->Rows.limits()))
      Change.Writes.push_back(std::move(Row));
  std::string WriteId = Pending->WriteId;
  this->sendWithExactVersion(std::move(Pending));
  return WriteId;
}

std::vector<RowWrite>
JobStore::makeProgressRows(const std::string &JobId,
                           const ItemProgress &Item) const {
  return splitValue(DataTable, progressPrefix(JobId) + positionKey(Item.Index),
                    encodeProgress(Item), this->Rows.limits());
}

void JobStore::saveProgress(const std::string &JobId,
                            const std::vector<ItemProgress> &Progress) {
  RowTransaction Empty;
  Empty.Part = progressPart(JobId);
  RowTransaction Change = Empty;
  const auto SendIfNotEmpty = [this](RowTransaction &Transaction) {
    if (!Transaction.Writes.empty())
      this->Rows.transact(std::move(Transaction),
                          [](const TransactionResult &) {});
  };
  for (const ItemProgress &Item : Progress) {
    const std::vector<RowWrite> Rows = this->makeProgressRows(JobId, Item);
    if (addRowsIfWithinLimits(Change, Rows, this->Rows.limits()))
      continue;
    SendIfNotEmpty(Change);
    Change = Empty;
    addRowsIfWithinLimits(Change, Rows, this->Rows.limits());
  }
  SendIfNotEmpty(Change);
}

void JobStore::saveItemProgress(const std::string &JobId,
                                const ItemProgress &Progress,
                                std::function<void(bool Saved)> Done) {
  RowTransaction Change;
  Change.Part = progressPart(JobId);
  Change.Writes = this->makeProgressRows(JobId, Progress);
  this->Rows.transact(std::move(Change),
                      [Done = std::move(Done)](const TransactionResult &R) {
                        Done(R.Outcome == TransactionOutcome::Committed);
                      });
}

void JobStore::sendWithExactVersion(
    std::shared_ptr<PendingTransaction> Pending) {
  const JobDirectory::KnownRow Replaced =
      Pending->Directory->row(Pending->ReplacedKey);
  if (Replaced.Identity != Pending->ReplacedIdentity) {
    // The callers of updateJob() do not expect an outcome before it returns.
    this->Loop.after(Duration(0), [Pending = std::move(Pending)] {
      Pending->Done(ChangeOutcome::Conflict);
    });
    return;
  }
  if (!Replaced.Version.isExact()) {
    this->readReplacedRow(std::move(Pending));
    return;
  }
  for (RowCondition &Condition : Pending->Change.Conditions)
    if (Condition.Key == Pending->ReplacedKey)
      Condition.Version = Replaced.Version.Newest;
  this->sendTransaction(std::move(Pending));
}

void JobStore::readReplacedRow(std::shared_ptr<PendingTransaction> Pending) {
  RowRange Range;
  Range.Table = JobTable;
  Range.Part = Part;
  Range.From = Pending->ReplacedKey;
  Range.To = Range.From + '\x01';
  Range.Limit = 1;
  this->Rows.read(std::move(Range), [this, Pending = std::move(Pending)](
                                        const Result<RowPage> &Page) {
    const bool HasTimeLeft =
        this->Loop.clock().now() + RetryDelay < Pending->Deadline;
    if (Page && HasTimeLeft) {
      Pending->Directory->merge(Page->Rows);
      const JobDirectory::KnownRow Replaced =
          Pending->Directory->row(Pending->ReplacedKey);
      // The row may be gone, or its value may not be readable.
      if (Page->Rows.empty() || !Replaced.Version.isExact())
        Pending->Done(ChangeOutcome::Conflict);
      else
        this->sendWithExactVersion(Pending);
    } else if (HasTimeLeft) {
      this->Loop.after(
          RetryDelay, [this, Pending] { this->sendWithExactVersion(Pending); });
    } else {
      this->Log.log(LogLevel::Info, "The row of a job could not be read.",
                    {{"job", Pending->JobId},
                     {"key", Pending->ReplacedKey},
                     {"detail", Page ? "too late" : Page.error().Message}});
      Pending->Done(ChangeOutcome::NotDone);
    }
  });
}

void JobStore::sendTransaction(std::shared_ptr<PendingTransaction> Pending) {
  RowTransaction Change = Pending->Change;
  this->Rows.transact(std::move(Change), [this, Pending = std::move(Pending)](
                                             const TransactionResult &Answer) {
    if (Answer.Outcome == TransactionOutcome::Unknown)
      Pending->MayBeApplied = true;
    const bool IsFinal = Answer.Outcome == TransactionOutcome::Committed ||
                         Answer.Outcome == TransactionOutcome::Conflict;
    // A retry cannot apply the change twice: if an earlier attempt was applied,
    // the condition on the version of the job's metadata fails.
    if (!IsFinal && this->Loop.clock().now() + RetryDelay < Pending->Deadline) {
      this->Loop.after(RetryDelay, [this, Pending = Pending] {
        this->sendTransaction(Pending);
      });
      return;
    }
    this->completeTransaction(*Pending, Answer);
  });
}

void JobStore::completeTransaction(PendingTransaction &Pending,
                                   const TransactionResult &Answer) {
  ChangeOutcome Outcome = ChangeOutcome::NotDone;
  if (Answer.Outcome == TransactionOutcome::Committed) {
    Pending.Directory->mergeCommitted(Pending.Change, Answer.Version);
    Outcome = ChangeOutcome::Done;
  } else if (Answer.Outcome == TransactionOutcome::Conflict) {
    Pending.Directory->merge(Answer.Current);
    const KnownJob *Known = Pending.Directory->find(Pending.JobId);
    Outcome = Known && Known->Metadata.WriteId == Pending.WriteId
                  ? ChangeOutcome::Done
                  : ChangeOutcome::Conflict;
  } else if (Pending.MayBeApplied) {
    Outcome = ChangeOutcome::Unknown;
  }
  if (Outcome != ChangeOutcome::Done)
    this->Log.log(LogLevel::Info, "A job update was not confirmed.",
                  {{"job", Pending.JobId},
                   {"outcome", toName(Answer.Outcome)},
                   {"may_be_made", Pending.MayBeApplied},
                   {"detail", Answer.Detail}});
  Pending.Done(Outcome);
}

void JobStore::readMetadata(const std::string &JobId, JobDirectory &Directory,
                            MetadataCallback Done) {
  RowRange Range;
  Range.Table = JobTable;
  Range.Part = Part;
  Range.From = JobDirectory::metadataKey(JobId);
  Range.To = Range.From + '\x01';
  Range.Limit = 1;
  this->Rows.read(std::move(Range), [JobId, &Directory, Done = std::move(Done)](
                                        Result<RowPage> Page) {
    if (!Page) {
      Done(tl::make_unexpected(Page.error()));
      return;
    }
    Directory.merge(Page->Rows);
    if (Page->Rows.empty())
      Done(JobDirectory::noSuchJob(JobId));
    else if (const KnownJob *Known = Directory.find(JobId))
      Done(Known);
    else
      Done(failure(ErrorCode::Malformed,
                   "The head of job " + JobId + " cannot be read."));
  });
}

void JobStore::readRange(
    const std::string &PartName, const std::string &Prefix,
    const std::string &From, std::size_t TargetBytes,
    std::function<void(Result<std::vector<StoredRow>>)> Done) {
  auto Pending = std::make_shared<PendingRangeRead>();
  Pending->Part = PartName;
  Pending->Prefix = Prefix;
  Pending->TargetBytes = TargetBytes;
  Pending->Done = std::move(Done);
  this->readNextPage(std::move(Pending), From);
}

void JobStore::readNextPage(std::shared_ptr<PendingRangeRead> Pending,
                            std::string From) {
  RowRange Range;
  Range.Table = DataTable;
  Range.Part = Pending->Part;
  Range.From = std::move(From);
  Range.To = prefixEnd(Pending->Prefix);
  this->Rows.read(std::move(Range), [this, Pending = std::move(Pending)](
                                        Result<RowPage> Page) {
    if (!Page) {
      Pending->Done(tl::make_unexpected(Page.error()));
      return;
    }
    for (StoredRow &Row : Page->Rows) {
      Pending->BytesRead += Row.Value.size();
      Pending->Rows.push_back(std::move(Row));
    }
    const bool Enough =
        Pending->TargetBytes != 0 && Pending->BytesRead >= Pending->TargetBytes;
    if (Page->Truncated && !Enough && !Pending->Rows.empty()) {
      this->readNextPage(Pending, Pending->Rows.back().Key + '\x01');
      return;
    }
    // If the range was truncated, the last value may lack some of its rows and
    // is dropped, unless it is the only one.
    if (Page->Truncated) {
      const std::string LastKey = Pending->Rows.back().Key;
      const std::string LastValuePrefix =
          LastKey.substr(0, LastKey.rfind('/') + 1);
      if (!Pending->Rows.front().Key.starts_with(LastValuePrefix))
        std::erase_if(Pending->Rows, [&](const StoredRow &Row) {
          return Row.Key.starts_with(LastValuePrefix);
        });
    }
    Pending->Done(std::move(Pending->Rows));
  });
}

void JobStore::readItems(const std::string &JobId, ItemsCallback Done) {
  const std::string Prefix = itemsPrefix(JobId);
  this->readRange(
      Part, Prefix, Prefix, 0,
      [JobId,
       Done = std::move(Done)](const Result<std::vector<StoredRow>> &Rows) {
        if (!Rows) {
          Done(tl::make_unexpected(Rows.error()));
          return;
        }
        const std::vector<std::string> Values = joinValues(*Rows);
        if (Values.empty())
          Done(failure(ErrorCode::NotFound,
                       "Job " + JobId + " has no items in the store."));
        else
          Done(decodeItems(Values.front()));
      });
}

void JobStore::readResults(const std::string &JobId, std::uint64_t First,
                           std::size_t TargetBytes, ResultsCallback Done) {
  const std::string Prefix = resultsPrefix(JobId);
  this->readRange(
      Part, Prefix, Prefix + positionKey(First), TargetBytes,
      [Done = std::move(Done)](const Result<std::vector<StoredRow>> &Rows) {
        Done(decodeAll<ItemResult>(Rows, decodeResult));
      });
}

void JobStore::readProgress(const std::string &JobId, ProgressCallback Done) {
  const std::string Prefix = progressPrefix(JobId);
  this->readRange(
      progressPart(JobId), Prefix, Prefix, 0,
      [Done = std::move(Done)](const Result<std::vector<StoredRow>> &Rows) {
        Done(decodeAll<ItemProgress>(Rows, decodeProgress));
      });
}

} // namespace turmericpass
