#include "Jobs/ChunkCommit.h"

#include "Platform/ObjectStore.h"

#include <algorithm>

namespace turmericpass {

namespace {

constexpr Duration MinBackoff = std::chrono::milliseconds(200);
constexpr Duration MaxBackoff = std::chrono::seconds(5);
/// Limits the number of objects that are removed after a commit; more takeovers
/// of one chunk are rare.
constexpr std::uint64_t MaxOldEpochs = 8;

} // namespace

ChunkCommit::ChunkCommit(Table &Rows, ObjectStore &Objects, const Clock &Time,
                         IdSource &Ids, Protections Rules, const ChunkRun &Run,
                         CommitPlan Plan)
    : Rows(Rows), Objects(Objects), Time(Time), Rules(Rules),
      JobId(Run.job().Record.Id), Chunk(Run.name()), Row(Run.row()),
      Plan(std::move(Plan)), WriteId(Ids.longId()), Backoff(MinBackoff) {}

std::string ChunkCommit::remainderName() const {
  return this->Chunk + ".r" + std::to_string(this->Row.Epoch);
}

void ChunkCommit::tick() {
  if (!this->AwaitsTick || this->Time.now() < this->NextAttempt)
    return;
  this->AwaitsTick = false;
  if (this->ResultsStored || this->Plan.Lines.empty())
    return this->readRow();
  this->putResults();
}

void ChunkCommit::putResults() {
  auto Self = this->shared_from_this();
  this->Objects.put(resultName(this->JobId, this->Chunk, this->Row.Epoch),
                    packLines(this->Plan.Lines),
                    [Self](const Result<void> &Reply) {
                      if (!Reply)
                        return Self->retry();
                      Self->ResultsStored = true;
                      Self->readRow();
                    });
}

void ChunkCommit::readRow() {
  auto Self = this->shared_from_this();
  this->Rows.get(chunkKey(this->JobId, this->Chunk),
                 [Self](const Result<TableRow> &Found) {
                   if (Found)
                     return Self->decide(*Found);
                   Self->retry();
                 });
}

void ChunkCommit::decide(const TableRow &Found) {
  if (this->Rules.readsBack() && Found.WriteId == this->WriteId)
    return this->finish(State::Committed);
  if (!this->Rules.checksEpoch())
    return this->write(Found.Version);
  const Result<ChunkRow> Current = decodeChunkRow(Found.Value);
  if (!Current)
    return this->retry();
  if (Current->State == ChunkState::Claimed &&
      Current->Epoch == this->Row.Epoch)
    return this->write(Found.Version);
  this->finish(State::Stale);
}

void ChunkCommit::write(std::uint64_t Version) {
  ChunkRow UpdatedRow = this->Row;
  const bool NothingDone =
      this->Plan.Lines.empty() && this->Plan.Remainder != RemainderAction::None;
  UpdatedRow.State = NothingDone ? ChunkState::Open : ChunkState::Done;
  UpdatedRow.Completed = this->Plan.Completed;
  UpdatedRow.Failed = this->Plan.Failed;
  const std::string Key = chunkKey(this->JobId, this->Chunk);
  TableTransaction Change{this->WriteId, {}, {{Key, encode(UpdatedRow)}}, {}};
  if (this->Rules.checksEpoch())
    Change.Checks.push_back({Key, Version});
  const bool CreatesRemainder =
      !NothingDone && (this->Plan.Remainder == RemainderAction::Keep ||
                       this->Plan.Remainder == RemainderAction::Release);
  if (CreatesRemainder) {
    ChunkRow RemainderRow;
    RemainderRow.Piece = this->Row.Piece;
    RemainderRow.Items = this->Plan.RemainingItems;
    if (this->Plan.Remainder == RemainderAction::Keep) {
      RemainderRow.State = ChunkState::Claimed;
      RemainderRow.Epoch = 1;
      RemainderRow.Holder = this->Row.Holder;
    }
    const std::string RemainderKey =
        chunkKey(this->JobId, this->remainderName());
    Change.Checks.push_back({RemainderKey, 0});
    Change.Puts.push_back({RemainderKey, encode(RemainderRow)});
  }
  auto Self = this->shared_from_this();
  this->Rows.transact(std::move(Change), [Self](const Result<void> &Reply) {
    if (Reply)
      return Self->finish(State::Committed);
    // The row is read again before the next attempt, because it shows whether a
    // write whose reply was lost took effect.
    Self->retry();
  });
}

void ChunkCommit::retry() {
  this->AwaitsTick = true;
  this->NextAttempt = this->Time.now() + this->Backoff;
  this->Backoff = std::min(this->Backoff * 2, MaxBackoff);
}

void ChunkCommit::finish(State Outcome) {
  this->Outcome = Outcome;
  if (Outcome == State::Committed)
    return this->removeOldEpochs();
  // No chunk row refers to the result object of an epoch that has been raised.
  if (this->ResultsStored)
    this->removeObject(this->Row.Epoch);
}

void ChunkCommit::removeOldEpochs() {
  const std::uint64_t Last = this->Row.Epoch;
  const std::uint64_t First = Last > MaxOldEpochs ? Last - MaxOldEpochs : 1;
  for (std::uint64_t Epoch = First; Epoch < Last; ++Epoch)
    this->removeObject(Epoch);
}

void ChunkCommit::removeObject(std::uint64_t Epoch) {
  this->Objects.remove(resultName(this->JobId, this->Chunk, Epoch),
                       [](const Result<void> &) {});
}

} // namespace turmericpass
