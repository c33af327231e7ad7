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
  if (!this->Waiting || this->Time.now() < this->Next)
    return;
  this->Waiting = false;
  if (this->Stored || this->Plan.Lines.empty())
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
                      Self->Stored = true;
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
    return this->end(State::Committed);
  if (!this->Rules.checksEpoch())
    return this->write(Found.Version);
  const Result<ChunkRow> Now = decodeChunkRow(Found.Value);
  if (!Now)
    return this->retry();
  if (Now->State == ChunkState::Claimed && Now->Epoch == this->Row.Epoch)
    return this->write(Found.Version);
  this->end(State::Stale);
}

void ChunkCommit::write(std::uint64_t Version) {
  ChunkRow Parent = this->Row;
  const bool Untouched =
      this->Plan.Lines.empty() && this->Plan.Rest != RemainderAction::None;
  Parent.State = Untouched ? ChunkState::Open : ChunkState::Done;
  Parent.Completed = this->Plan.Completed;
  Parent.Failed = this->Plan.Failed;
  const std::string Key = chunkKey(this->JobId, this->Chunk);
  TableTransaction Change{this->WriteId, {}, {{Key, encode(Parent)}}, {}};
  if (this->Rules.checksEpoch())
    Change.Checks.push_back({Key, Version});
  const bool Split =
      !Untouched && (this->Plan.Rest == RemainderAction::Keep ||
                     this->Plan.Rest == RemainderAction::Release);
  if (Split) {
    ChunkRow Rest;
    Rest.Piece = this->Row.Piece;
    Rest.Items = this->Plan.RemainingItems;
    if (this->Plan.Rest == RemainderAction::Keep) {
      Rest.State = ChunkState::Claimed;
      Rest.Epoch = 1;
      Rest.Holder = this->Row.Holder;
    }
    const std::string RestKey = chunkKey(this->JobId, this->remainderName());
    Change.Checks.push_back({RestKey, 0});
    Change.Puts.push_back({RestKey, encode(Rest)});
  }
  auto Self = this->shared_from_this();
  this->Rows.transact(std::move(Change), [Self](const Result<void> &Reply) {
    if (Reply)
      return Self->end(State::Committed);
    // The row is read again before the next attempt, because it shows whether a
    // write whose reply was lost took effect.
    Self->retry();
  });
}

void ChunkCommit::retry() {
  this->Waiting = true;
  this->Next = this->Time.now() + this->Backoff;
  this->Backoff = std::min(this->Backoff * 2, MaxBackoff);
}

void ChunkCommit::end(State Outcome) {
  this->Outcome = Outcome;
  if (Outcome == State::Committed)
    return this->removeOldEpochs();
  // No chunk row refers to the result object of an epoch that has been raised.
  if (this->Stored)
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
