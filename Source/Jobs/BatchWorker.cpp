#include "Jobs/BatchWorker.h"

#include "Platform/ObjectStore.h"

#include <algorithm>

namespace turmericpass {

/// A chunk that this batcher claimed.
struct BatchWorker::HeldChunk {
  explicit HeldChunk(ChunkRun Run) : Run(std::move(Run)) {}

  ChunkRun Run;
  std::shared_ptr<ChunkCommit> Commit;
  /// The ids of the running items, by index.
  std::map<std::uint32_t, ItemId> RunningItemIds;
  bool Loading = false;
  /// The lease may have lapsed; no item starts until the chunk row has been
  /// read.
  bool ClaimIsSuspect = false;
  bool Validating = false;
  std::uint64_t RenewalsWhenSuspected = 0;
  Instant NextRetry{};
};

namespace {

constexpr Duration RetryPeriod = std::chrono::seconds(1);

} // namespace

BatchWorker::BatchWorker(Table &Rows, ObjectStore &Objects, const Clock &Time,
                         IdSource &Ids, BatchLimits Limits, Protections Rules)
    : Rows(Rows), Objects(Objects), Time(Time), Ids(Ids), Limits(Limits),
      Rules(Rules), Name(Ids.longId()), Lease(Rows, Time, Ids, this->Name),
      Stopping(Rows, Time),
      Claimer(
          Rows, Time, Ids, this->Name, Rules,
          [this](const std::string &JobId, const std::string &Chunk) {
            return this->holdsChunk(JobId, Chunk);
          },
          [this](const JobRow &Job, const std::string &Chunk,
                 const ChunkRow &Row, const std::string &FormerHolder) {
            this->onClaimed(Job, Chunk, Row, FormerHolder);
          }) {}

BatchWorker::~BatchWorker() = default;

void BatchWorker::tick() {
  this->suspectChunksAfterPause();
  if (!this->Draining || !this->isIdle())
    this->Lease.tick();
  else
    this->Lease.release();
  if (!this->isIdle())
    this->Stopping.tick();
  std::vector<ChunkId> Ids;
  for (const auto &[Id, Chunk] : this->Chunks)
    Ids.push_back(Id);
  for (const ChunkId Id : Ids) {
    const auto Found = this->Chunks.find(Id);
    if (Found != this->Chunks.end())
      this->advanceChunk(Id, *Found->second);
  }
  this->Claimer.tick(this->countItemsToClaim());
}

// No batcher takes over a chunk while its holder renews its lease. If this
// process was paused, the chunk rows show whether it still holds its chunks.
void BatchWorker::suspectChunksAfterPause() {
  if (!this->Lease.mayHaveLapsed())
    return;
  for (auto &[Id, Chunk] : this->Chunks) {
    Chunk->ClaimIsSuspect = true;
    Chunk->RenewalsWhenSuspected = this->Lease.renewals();
  }
}

std::size_t BatchWorker::countItemsToClaim() const {
  if (this->Draining || !this->Lease.isCurrent() ||
      this->inputBytes() + this->resultBytes() > this->Limits.MaxHeldBytes)
    return 0;
  std::size_t Waiting = 0;
  for (const auto &[Id, Chunk] : this->Chunks)
    Waiting += Chunk->Run.isLoaded() ? Chunk->Run.waiting() : MaxItemsPerChunk;
  const std::size_t Target =
      std::clamp(2 * this->RunningItems.size(), this->Limits.MinWaitingItems,
                 this->Limits.MaxWaitingItems);
  return Target > Waiting ? Target - Waiting : 0;
}

bool BatchWorker::holdsChunk(const std::string &JobId,
                             const std::string &Chunk) const {
  return std::any_of(this->Chunks.begin(), this->Chunks.end(),
                     [&](const auto &Entry) {
                       const HeldChunk &Candidate = *Entry.second;
                       // A commit in progress may have created the chunk that
                       // holds the remaining items.
                       return Candidate.Run.job().Record.Id == JobId &&
                              (Candidate.Run.name() == Chunk ||
                               (Candidate.Commit &&
                                Candidate.Commit->remainderName() == Chunk));
                     });
}

void BatchWorker::onClaimed(const JobRow &Job, const std::string &Chunk,
                            const ChunkRow &Row,
                            const std::string &FormerHolder) {
  const auto &Added = this->Chunks[this->NextChunkId++] =
      std::make_unique<HeldChunk>(ChunkRun(Job, Chunk, Row));
  this->recordDecision(
      Added->Run, "claim",
      FormerHolder.empty() ? "was claimed by batcher " + this->Name
      : FormerHolder == this->Name
          ? "was claimed again by batcher " + this->Name +
                ", which lost the reply to its first claim"
          : "was taken over by batcher " + this->Name + " from batcher " +
                FormerHolder + ", whose lease lapsed");
}

void BatchWorker::recordDecision(const ChunkRun &Run, const char *Kind,
                                 const std::string &Text) {
  if (this->OnDecision)
    this->OnDecision(Run.job().Record.Id, Kind,
                     "Chunk " + Run.name() + " of job " + Run.job().Record.Id +
                         ", epoch " + std::to_string(Run.row().Epoch) + ", " +
                         Text + ".");
}

void BatchWorker::recordLastAttempt(const ChunkRun &Run, std::uint32_t Index,
                                    const ItemResult &Result) {
  if (!this->OnDecision)
    return;
  const std::string Cause = Result.ErrorCode.empty()
                                ? "status " + std::to_string(Result.Status)
                                : Result.ErrorCode + ": " + Result.ErrorMessage;
  const std::string Text =
      "Item " + std::to_string(Index) + " (" + Result.CustomId + ") of chunk " +
      Run.name() + " of job " + Run.job().Record.Id + " ended after " +
      std::to_string(MaxItemAttempts) + " attempts with " + Cause;
  this->OnDecision(Run.job().Record.Id, "item", Text);
  if (!Result.RequestId.empty())
    this->OnDecision(Result.RequestId, "item", Text);
}

void BatchWorker::advanceChunk(ChunkId Id, HeldChunk &Chunk) {
  const JobRecord &Job = Chunk.Run.job().Record;
  const bool WindowHasPassed = this->Time.wallMillis() >= Job.DueMs;
  if (!Chunk.Run.isStopped() &&
      (WindowHasPassed || this->Stopping.contains(Job.Id))) {
    this->recordDecision(
        Chunk.Run, "stop",
        WindowHasPassed ? "stops: the job's window has passed"
                        : "stops: the job was seen as cancelled or expiring");
    this->stopChunk(Chunk, RemainderAction::Drop);
  }
  if (!Chunk.Run.isStopped() && this->Draining)
    Chunk.Run.stop(RemainderAction::Release);
  if (Chunk.ClaimIsSuspect)
    this->validateClaim(Id, Chunk);
  else if (!Chunk.Run.isLoaded() && !Chunk.Run.isStopped())
    this->loadInput(Id, Chunk);
  const auto Kept = this->Chunks.find(Id);
  if (Kept != this->Chunks.end())
    this->advanceCommit(Id, *Kept->second);
}

void BatchWorker::loadInput(ChunkId Id, HeldChunk &Chunk) {
  if (Chunk.Loading || this->Time.now() < Chunk.NextRetry)
    return;
  Chunk.Loading = true;
  const JobRecord &Job = Chunk.Run.job().Record;
  this->Objects.get(
      pieceName(Job.Customer, Job.InputFile, Chunk.Run.row().Piece),
      [this, Id](const Result<std::string> &Piece) {
        const auto Found = this->Chunks.find(Id);
        if (Found == this->Chunks.end())
          return;
        HeldChunk &Loaded = *Found->second;
        Loaded.Loading = false;
        Loaded.NextRetry = this->Time.now() + RetryPeriod;
        if (Piece && !Loaded.Run.isStopped())
          Loaded.Run.load(*Piece);
      });
}

void BatchWorker::validateClaim(ChunkId Id, HeldChunk &Chunk) {
  // The row is read only after a renewal. From then on no batcher takes over
  // without another lapse, because a takeover checks the version of the lease
  // row.
  if (Chunk.Validating || this->Time.now() < Chunk.NextRetry ||
      this->Lease.renewals() <= Chunk.RenewalsWhenSuspected)
    return;
  Chunk.Validating = true;
  Chunk.NextRetry = this->Time.now() + RetryPeriod;
  this->Rows.get(
      chunkKey(Chunk.Run.job().Record.Id, Chunk.Run.name()),
      [this, Id](const Result<TableRow> &Row) { this->onChunkRow(Id, Row); });
}

void BatchWorker::onChunkRow(ChunkId Id, const Result<TableRow> &Row) {
  const auto Found = this->Chunks.find(Id);
  if (Found == this->Chunks.end())
    return;
  HeldChunk &Chunk = *Found->second;
  Chunk.Validating = false;
  // A commit in progress reads the row itself.
  if (!Row || Chunk.Commit)
    return;
  const Result<ChunkRow> Current = decodeChunkRow(Row->Value);
  if (!Current)
    return;
  if (Current->State == ChunkState::Claimed &&
      Current->Epoch == Chunk.Run.row().Epoch &&
      Current->Holder == this->Name) {
    Chunk.ClaimIsSuspect = false;
    return;
  }
  ++this->StaleCommitCount;
  this->recordDecision(
      Chunk.Run, "loss",
      "was lost: after a pause of this batcher its row names another "
      "claim");
  this->dropChunk(Id);
}

void BatchWorker::stopChunk(HeldChunk &Chunk, RemainderAction Action) {
  Chunk.Run.stop(Action);
  for (const auto &[Index, Item] : Chunk.RunningItemIds)
    this->WithdrawnItems.push_back(Item);
}

void BatchWorker::advanceCommit(ChunkId Id, HeldChunk &Chunk) {
  if (!Chunk.Commit) {
    const bool MemoryIsShort = this->resultBytes() > this->Limits.MaxHeldBytes;
    std::optional<CommitPlan> Plan =
        Chunk.Run.planDueCommit(this->Time.now(), MemoryIsShort);
    if (!Plan)
      return;
    Chunk.Commit = std::make_shared<ChunkCommit>(
        this->Rows, this->Objects, this->Time, this->Ids, this->Rules,
        Chunk.Run, std::move(*Plan));
  }
  const std::shared_ptr<ChunkCommit> Commit = Chunk.Commit;
  Commit->tick();
  if (Commit->state() == ChunkCommit::State::Busy)
    return;
  this->Claimer.scheduleReview(Chunk.Run.job().Record.Id);
  if (Commit->state() == ChunkCommit::State::Stale) {
    ++this->StaleCommitCount;
    this->recordDecision(
        Chunk.Run, "loss",
        "was lost: at the commit its row named another claim, and "
        "nothing was written");
    return this->dropChunk(Id);
  }
  ++this->CommitCount;
  this->recordDecision(
      Chunk.Run, "commit",
      "was committed with " + std::to_string(Commit->plan().Completed) +
          " completed and " + std::to_string(Commit->plan().Failed) +
          " failed items; " +
          std::to_string(Commit->plan().RemainingItems.size()) +
          " items are left out");
  if (Commit->plan().Remainder != RemainderAction::Keep)
    return this->dropChunk(Id);
  Chunk.Run.continueAs(Commit->remainderName(), Commit->plan());
  Chunk.Commit.reset();
}

void BatchWorker::dropChunk(ChunkId Id) {
  const auto Found = this->Chunks.find(Id);
  for (const auto &[Index, Item] : Found->second->RunningItemIds) {
    this->WithdrawnItems.push_back(Item);
    this->RunningItems.erase(Item);
  }
  this->Chunks.erase(Found);
}

bool BatchWorker::mayStartItems() const {
  return this->Stopping.isFresh() && !this->Lease.mayHaveLapsed();
}

bool BatchWorker::mayStartItemsOf(const HeldChunk &Chunk) const {
  const JobRecord &Job = Chunk.Run.job().Record;
  return !Chunk.ClaimIsSuspect && !Chunk.Run.isDropped() &&
         !this->Stopping.contains(Job.Id) &&
         this->Time.wallMillis() < Job.DueMs;
}

bool BatchWorker::mayStart(ItemId Id) const {
  const auto Found = this->RunningItems.find(Id);
  return Found != this->RunningItems.end() && this->mayStartItems() &&
         this->mayStartItemsOf(*this->Chunks.at(Found->second.first));
}

std::optional<WorkItem> BatchWorker::next(const std::set<std::string> &Skip) {
  if (this->Draining || !this->mayStartItems() ||
      this->resultBytes() > this->Limits.MaxHeldBytes)
    return std::nullopt;
  for (const ChunkId Id : this->chunksInServingOrder()) {
    HeldChunk &Chunk = *this->Chunks.at(Id);
    const std::string &Job = Chunk.Run.job().Record.Id;
    if (Skip.contains(Job) || !this->mayStartItemsOf(Chunk))
      continue;
    const std::optional<std::uint32_t> Index =
        Chunk.Run.start(this->Time.now());
    if (!Index)
      continue;
    this->LastServedJob = Job;
    return this->startItem(Id, Chunk, *Index);
  }
  return std::nullopt;
}

// Jobs are served in turn, so that no job delays another. Within a job the
// oldest chunk comes first, because a chunk is committed when its last item is
// done.
std::vector<BatchWorker::ChunkId> BatchWorker::chunksInServingOrder() const {
  std::vector<std::pair<std::string, ChunkId>> Order;
  for (const auto &[Id, Chunk] : this->Chunks)
    if (Chunk->Run.waiting() > 0)
      Order.emplace_back(Chunk->Run.job().Record.Id, Id);
  std::sort(Order.begin(), Order.end());
  const auto Next =
      std::find_if(Order.begin(), Order.end(), [this](const auto &Entry) {
        return Entry.first > this->LastServedJob;
      });
  std::rotate(Order.begin(), Next, Order.end());
  std::vector<ChunkId> Ids;
  Ids.reserve(Order.size());
  for (const auto &[Job, Id] : Order)
    Ids.push_back(Id);
  return Ids;
}

WorkItem BatchWorker::startItem(ChunkId Owner, HeldChunk &Chunk,
                                std::uint32_t Index) {
  const JobRecord &Job = Chunk.Run.job().Record;
  const ItemId Id = this->NextItemId++;
  this->RunningItems[Id] = {Owner, Index};
  Chunk.RunningItemIds[Index] = Id;
  return {Id,
          Job.Id,
          Job.Customer,
          Job.Class,
          Job.Id + "/" + std::to_string(Chunk.Run.row().Piece) + "/" +
              std::to_string(Index),
          Chunk.Run.line(Index),
          Job.DueMs};
}

void BatchWorker::finish(ItemId Id, const ItemOutcome &Outcome) {
  const auto Found = this->RunningItems.find(Id);
  if (Found == this->RunningItems.end())
    return;
  const auto [Owner, Index] = Found->second;
  this->RunningItems.erase(Found);
  HeldChunk &Chunk = *this->Chunks.at(Owner);
  Chunk.RunningItemIds.erase(Index);
  const bool Ended = Chunk.Run.finish(Index, Outcome, this->Time.now());
  if (Ended && Outcome.End == ItemEnd::Failed)
    this->recordLastAttempt(Chunk.Run, Index, Outcome.Result);
}

std::vector<ItemId> BatchWorker::takeWithdrawnItems() {
  return std::exchange(this->WithdrawnItems, {});
}

void BatchWorker::drain() { this->Draining = true; }

std::size_t BatchWorker::inputBytes() const {
  std::size_t Bytes = 0;
  for (const auto &[Id, Chunk] : this->Chunks)
    Bytes += Chunk->Run.inputBytes();
  return Bytes;
}

std::size_t BatchWorker::resultBytes() const {
  std::size_t Bytes = 0;
  for (const auto &[Id, Chunk] : this->Chunks)
    Bytes += Chunk->Run.resultBytes();
  return Bytes;
}

} // namespace turmericpass
