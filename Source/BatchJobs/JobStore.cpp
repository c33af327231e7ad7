#include "BatchJobs/JobStore.h"

#include "BatchJobs/JobData.h"
#include "Core/IdSource.h"
#include "Loop/EventLoop.h"
#include "Telemetry/Logger.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

/// The pause between two tries of a transaction.
constexpr Duration RetryPause = std::chrono::milliseconds(60);

template <typename T, typename F>
Result<std::vector<T>> decodeAll(const Result<std::vector<StoredRow>> &Rows,
                                 F Decode) {
  if (!Rows)
    return tl::make_unexpected(Rows.error());
  std::vector<T> Decoded;
  for (const std::string &Value : joinValues(*Rows)) {
    Result<T> One = Decode(Value);
    if (!One)
      return tl::make_unexpected(One.error());
    Decoded.push_back(std::move(*One));
  }
  return Decoded;
}

} // namespace

/// One transaction with its tries.
struct JobStore::Attempt {
  std::string JobId;
  std::string WriteId;
  RowTransaction Change;
  Instant Until;
  JobDirectory *Book = nullptr;
  ChangeDone Done;
  /// A try had no answer, so the change may have been made.
  bool MayBeMade = false;
};

struct JobStore::RangeRead {
  std::string Prefix;
  std::size_t Bytes = 0;
  std::size_t Read = 0;
  std::vector<StoredRow> Rows;
  std::function<void(Result<std::vector<StoredRow>>)> Done;
};

JobStore::JobStore(EventLoop &Loop, RowStore &Rows, IdSource &Ids, Logger &Log)
    : Loop(Loop), Rows(Rows), Ids(Ids), Log(Log) {}

std::vector<std::string> JobStore::dataPrefixes(const std::string &JobId) {
  return {itemsPrefix(JobId), resultsPrefix(JobId), progressPrefix(JobId)};
}

std::shared_ptr<JobStore::Attempt>
JobStore::prepare(const std::string &JobId, JobMetadata Head,
                  std::uint64_t Version, Instant Until, JobDirectory &Book,
                  ChangeDone Done) {
  auto Tried = std::make_shared<Attempt>();
  Tried->JobId = JobId;
  Tried->WriteId = Head.WriteId = this->Ids.shortId();
  Tried->Until = Until;
  Tried->Book = &Book;
  Tried->Done = std::move(Done);
  Tried->Change.Part = Part;
  Tried->Change.Conditions = {
      {JobTable, JobDirectory::headKey(JobId), Version}};
  Tried->Change.Writes = {
      {JobTable, JobDirectory::headKey(JobId), encodeHead(Head)}};
  return Tried;
}

void JobStore::accept(const std::string &JobId, const JobMetadata &Head,
                      const std::vector<JobItem> &Items, Instant Until,
                      JobDirectory &Book, ChangeDone Done) {
  std::shared_ptr<Attempt> Tried =
      this->prepare(JobId, Head, 0, Until, Book, std::move(Done));
  RowTransaction &Change = Tried->Change;
  const std::string Key = JobDirectory::admissionKey(Head.Route);
  const JobDirectory::Admission Before = Book.admission(Head.Route);
  Change.Conditions.push_back({JobTable, Key, Before.Version});
  Change.Writes.push_back(
      {JobTable, Key,
       JobDirectory::admissionValue(Before.AcceptedTokens + Head.TotalTokens,
                                    Tried->WriteId)});
  const std::vector<RowWrite> ItemRows = splitValue(
      DataTable, itemsPrefix(JobId), encodeItems(Items), this->Rows.limits());
  if (addIfItFits(Change, ItemRows, this->Rows.limits()))
    this->attempt(std::move(Tried));
  else
    this->storeAhead(Tried, ItemRows);
}

void JobStore::storeAhead(const std::shared_ptr<Attempt> &Accepting,
                          const std::vector<RowWrite> &ItemRows) {
  auto Ahead = std::make_shared<Attempt>();
  Ahead->JobId = Accepting->JobId;
  Ahead->Until = Accepting->Until;
  Ahead->Book = Accepting->Book;
  Ahead->Change.Part = Part;
  // The rows of a job that exists are not written again.
  Ahead->Change.Conditions = {
      {JobTable, JobDirectory::headKey(Accepting->JobId), 0}};
  // RowLimits leaves room for several rows of any size in a transaction.
  std::size_t Fitting = 0;
  while (Fitting < ItemRows.size() &&
         addIfItFits(Ahead->Change, {ItemRows[Fitting]}, this->Rows.limits()))
    ++Fitting;
  const std::vector<RowWrite> Rest(
      ItemRows.begin() + static_cast<std::ptrdiff_t>(Fitting), ItemRows.end());
  Ahead->Done = [this, Accepting, Rest](ChangeOutcome Outcome) {
    // Without its head the job does not exist, so nothing was accepted.
    if (Outcome != ChangeOutcome::Done)
      Accepting->Done(Outcome == ChangeOutcome::Overtaken
                          ? ChangeOutcome::Overtaken
                          : ChangeOutcome::NotDone);
    else if (Rest.empty())
      this->attempt(Accepting);
    else
      this->storeAhead(Accepting, Rest);
  };
  this->attempt(std::move(Ahead));
}

std::size_t
JobStore::fittingResults(const std::vector<ItemResult> &Results) const {
  const RowLimits &Limits = this->Rows.limits();
  // The head is a condition and a write.
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
    // One is tried in any case, so that a commit never waits for nothing.
    if (!Fits && Fitting > 0)
      break;
    ++Fitting;
  }
  return Fitting;
}

void JobStore::change(const std::string &JobId, const JobMetadata &Head,
                      std::uint64_t Version,
                      const std::vector<ItemResult> &Results,
                      std::uint64_t First,
                      const std::vector<ItemProgress> &Progress, Instant Until,
                      JobDirectory &Book, ChangeDone Done) {
  std::shared_ptr<Attempt> Tried =
      this->prepare(JobId, Head, Version, Until, Book, std::move(Done));
  RowTransaction &Change = Tried->Change;
  for (const ItemResult &Item : Results)
    for (RowWrite &Row :
         splitValue(DataTable, resultsPrefix(JobId) + positionKey(First++),
                    encodeResult(Item), this->Rows.limits()))
      Change.Writes.push_back(std::move(Row));
  // Progress that does not fit costs work that is done again, no result.
  for (const ItemProgress &Item : Progress)
    if (!addIfItFits(Change, this->progressRows(JobId, Item),
                     this->Rows.limits()))
      break;
  this->attempt(std::move(Tried));
}

std::vector<RowWrite> JobStore::progressRows(const std::string &JobId,
                                             const ItemProgress &Item) const {
  return splitValue(DataTable, progressPrefix(JobId) + positionKey(Item.Index),
                    encodeProgress(Item), this->Rows.limits());
}

void JobStore::saveProgress(const std::string &JobId, std::uint64_t Version,
                            const std::vector<ItemProgress> &Progress) {
  RowTransaction Empty;
  Empty.Part = Part;
  Empty.Conditions = {{JobTable, JobDirectory::headKey(JobId), Version}};
  RowTransaction Change = Empty;
  const auto Send = [this](RowTransaction &Full) {
    if (!Full.Writes.empty())
      this->Rows.transact(std::move(Full), [](const TransactionResult &) {});
  };
  for (const ItemProgress &Item : Progress) {
    const std::vector<RowWrite> Rows = this->progressRows(JobId, Item);
    if (addIfItFits(Change, Rows, this->Rows.limits()))
      continue;
    Send(Change);
    Change = Empty;
    addIfItFits(Change, Rows, this->Rows.limits());
  }
  Send(Change);
}

void JobStore::attempt(std::shared_ptr<Attempt> Tried) {
  RowTransaction Change = Tried->Change;
  this->Rows.transact(std::move(Change), [this, Tried = std::move(Tried)](
                                             const TransactionResult &Answer) {
    if (Answer.Outcome == TransactionOutcome::Unknown)
      Tried->MayBeMade = true;
    const bool Final = Answer.Outcome == TransactionOutcome::Committed ||
                       Answer.Outcome == TransactionOutcome::Conflict;
    // The same transaction again is harmless: if an earlier try was made, the
    // condition on the head's version does not hold any more.
    if (!Final && this->Loop.clock().now() + RetryPause < Tried->Until) {
      this->Loop.after(RetryPause,
                       [this, Tried = Tried] { this->attempt(Tried); });
      return;
    }
    this->concluded(*Tried, Answer);
  });
}

void JobStore::concluded(Attempt &Tried, const TransactionResult &Answer) {
  ChangeOutcome Outcome = ChangeOutcome::NotDone;
  if (Answer.Outcome == TransactionOutcome::Committed) {
    std::vector<StoredRow> Written;
    for (const RowWrite &Row : Tried.Change.Writes)
      if (Row.Table == JobTable)
        Written.push_back(
            {Row.Table, Part, Row.Key, Row.Value, Answer.Version, false});
    Tried.Book->update(Written);
    Outcome = ChangeOutcome::Done;
  } else if (Answer.Outcome == TransactionOutcome::Conflict) {
    Tried.Book->update(Answer.Current);
    const KnownJob *Known = Tried.Book->find(Tried.JobId);
    Outcome = Known && Known->Head.WriteId == Tried.WriteId
                  ? ChangeOutcome::Done
                  : ChangeOutcome::Overtaken;
  } else if (Tried.MayBeMade) {
    Outcome = ChangeOutcome::Unknown;
  }
  if (Outcome != ChangeOutcome::Done)
    this->Log.log(LogLevel::Info, "A change of a job was not made as asked.",
                  {{"job", Tried.JobId},
                   {"outcome", toName(Answer.Outcome)},
                   {"may_be_made", Tried.MayBeMade},
                   {"detail", Answer.Detail}});
  Tried.Done(Outcome);
}

void JobStore::readHead(const std::string &JobId, JobDirectory &Book,
                        HeadDone Done) {
  RowRange Range;
  Range.Table = JobTable;
  Range.Part = Part;
  Range.From = JobDirectory::headKey(JobId);
  Range.To = Range.From + '\x01';
  Range.Limit = 1;
  this->Rows.read(std::move(Range), [JobId, &Book, Done = std::move(Done)](
                                        Result<RowPage> Page) {
    if (!Page) {
      Done(tl::make_unexpected(Page.error()));
      return;
    }
    Book.update(Page->Rows);
    if (Page->Rows.empty())
      Done(failure(ErrorCode::NotFound, "There is no job " + JobId + "."));
    else if (const KnownJob *Known = Book.find(JobId))
      Done(Known);
    else
      Done(failure(ErrorCode::Malformed,
                   "The head of job " + JobId + " cannot be read."));
  });
}

void JobStore::read(const std::string &Prefix, const std::string &From,
                    std::size_t Bytes,
                    std::function<void(Result<std::vector<StoredRow>>)> Done) {
  auto Reading = std::make_shared<RangeRead>();
  Reading->Prefix = Prefix;
  Reading->Bytes = Bytes;
  Reading->Done = std::move(Done);
  this->readRange(std::move(Reading), From);
}

void JobStore::readRange(std::shared_ptr<RangeRead> Reading, std::string From) {
  RowRange Range;
  Range.Table = DataTable;
  Range.Part = Part;
  Range.From = std::move(From);
  Range.To = prefixEnd(Reading->Prefix);
  this->Rows.read(std::move(Range), [this, Reading = std::move(Reading)](
                                        Result<RowPage> Page) {
    if (!Page) {
      Reading->Done(tl::make_unexpected(Page.error()));
      return;
    }
    for (StoredRow &Row : Page->Rows) {
      Reading->Read += Row.Value.size();
      Reading->Rows.push_back(std::move(Row));
    }
    const bool Enough = Reading->Bytes != 0 && Reading->Read >= Reading->Bytes;
    if (Page->Truncated && !Enough && !Reading->Rows.empty()) {
      this->readRange(Reading, Reading->Rows.back().Key + '\x01');
      return;
    }
    // The last value may lack rows if the range was cut.
    if (Page->Truncated) {
      const std::string Last = Reading->Rows.back().Key;
      const std::string Cut = Last.substr(0, Last.rfind('/') + 1);
      if (!Reading->Rows.front().Key.starts_with(Cut))
        std::erase_if(Reading->Rows, [&](const StoredRow &Row) {
          return Row.Key.starts_with(Cut);
        });
    }
    Reading->Done(std::move(Reading->Rows));
  });
}

void JobStore::readItems(const std::string &JobId, ItemsDone Done) {
  const std::string Prefix = itemsPrefix(JobId);
  this->read(Prefix, Prefix, 0,
             [JobId, Done = std::move(Done)](
                 const Result<std::vector<StoredRow>> &Rows) {
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
                           std::size_t Bytes, ResultsDone Done) {
  const std::string Prefix = resultsPrefix(JobId);
  this->read(
      Prefix, Prefix + positionKey(First), Bytes,
      [Done = std::move(Done)](const Result<std::vector<StoredRow>> &Rows) {
        Done(decodeAll<ItemResult>(Rows, decodeResult));
      });
}

void JobStore::readProgress(const std::string &JobId, ProgressDone Done) {
  const std::string Prefix = progressPrefix(JobId);
  this->read(
      Prefix, Prefix, 0,
      [Done = std::move(Done)](const Result<std::vector<StoredRow>> &Rows) {
        Done(decodeAll<ItemProgress>(Rows, decodeProgress));
      });
}

} // namespace turmericpass
