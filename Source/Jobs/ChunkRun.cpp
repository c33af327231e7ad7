#include "Jobs/ChunkRun.h"

#include "Jobs/BatchItem.h"
#include "Jobs/InputLines.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// Stragglers are split off when at most one in this many items of the chunk is
/// left.
constexpr std::size_t StragglerShare = 20;
/// An item is a straggler if it runs this many times longer than the mean item
/// of the chunk, and at least MinStragglerTime, because the split costs an
/// additional commit.
constexpr int StragglerFactor = 3;
constexpr Duration MinStragglerTime = std::chrono::seconds(10);
/// The limits of the delay before an item is submitted again.
constexpr Duration MinRetryDelay = std::chrono::milliseconds(100);
constexpr Duration MaxRetryDelay = std::chrono::seconds(10);

} // namespace

ChunkRun::ChunkRun(JobRow Job, std::string Name, ChunkRow Row)
    : Job(std::move(Job)), Name(std::move(Name)), Row(std::move(Row)) {}

void ChunkRun::load(const std::string &Piece) {
  const std::vector<std::string_view> Lines = splitItemLines(Piece);
  std::vector<std::uint32_t> Indices = this->Row.Items;
  if (Indices.empty())
    for (std::uint32_t I = 0; I < Lines.size(); ++I)
      Indices.push_back(I);
  this->Loaded = true;
  for (const std::uint32_t Index : Indices) {
    Item &Entry = this->Items[Index];
    if (Index < Lines.size())
      Entry.Line = Lines[Index];
    this->InputBytes += Entry.Line.size();
    ++this->Waiting;
    const Result<BatchItem> Parsed = parseItem(Entry.Line);
    if (Parsed)
      continue;
    ItemResult Invalid;
    Invalid.CustomId = customIdOf(Entry.Line);
    Invalid.ErrorCode = "invalid_item";
    Invalid.ErrorMessage = Parsed.error().Message;
    --this->Waiting;
    this->finishItem(Entry, Invalid);
  }
}

std::optional<std::uint32_t> ChunkRun::start(Instant Now) {
  if (this->isStopped() || this->Waiting == 0)
    return std::nullopt;
  for (auto &[Index, Entry] : this->Items) {
    if (Entry.State != Phase::Waiting || Entry.Since > Now)
      continue;
    Entry.State = Phase::Running;
    Entry.Since = Now;
    --this->Waiting;
    ++this->Running;
    return Index;
  }
  return std::nullopt;
}

const std::string &ChunkRun::line(std::uint32_t Index) const {
  return this->Items.at(Index).Line;
}

bool ChunkRun::finish(std::uint32_t Index, const ItemOutcome &Outcome,
                      Instant Now) {
  const auto Found = this->Items.find(Index);
  if (Found == this->Items.end() || Found->second.State != Phase::Running)
    return false;
  Item &Entry = Found->second;
  --this->Running;
  if (Outcome.End == ItemEnd::NotRun) {
    ++Entry.NotRunCount;
    this->scheduleRetry(Entry, Outcome.MinDelay, Now);
    return false;
  }
  ++Entry.Attempts;
  if (Outcome.End == ItemEnd::Failed && Entry.Attempts < MaxItemAttempts) {
    this->scheduleRetry(Entry, Outcome.MinDelay, Now);
    return false;
  }
  this->TotalItemTime += Now - Entry.Since;
  ++this->FinishedItems;
  this->finishItem(Entry, Outcome.Result);
  return true;
}

void ChunkRun::scheduleRetry(Item &Entry, Duration MinDelay, Instant Now) {
  const std::uint32_t Tries = Entry.Attempts + Entry.NotRunCount;
  const Duration Backoff = MinRetryDelay * (1U << std::min(Tries, 7U));
  Entry.State = Phase::Waiting;
  Entry.Since = Now + std::max(MinDelay, std::min(Backoff, MaxRetryDelay));
  ++this->Waiting;
}

void ChunkRun::finishItem(Item &Entry, const ItemResult &Result) {
  Entry.State = Phase::Done;
  Entry.Succeeded = Result.succeeded();
  Entry.Result = resultLine(Result);
  this->ResultBytes += Entry.Result.size();
}

void ChunkRun::stop(RemainderAction StopAction) {
  // A cancellation takes precedence over a release, because a dropped item must
  // not run again.
  if (this->StopAction != RemainderAction::Drop)
    this->StopAction = StopAction;
}

std::vector<std::uint32_t> ChunkRun::running() const {
  std::vector<std::uint32_t> Indices;
  for (const auto &[Index, Entry] : this->Items)
    if (Entry.State == Phase::Running)
      Indices.push_back(Index);
  return Indices;
}

bool ChunkRun::hasOnlyStragglers(Instant Now) const {
  const std::size_t Unfinished = this->Waiting + this->Running;
  if (this->FinishedItems == 0 ||
      Unfinished * StragglerShare > this->Items.size())
    return false;
  const Duration Mean =
      this->TotalItemTime / static_cast<Duration::rep>(this->FinishedItems);
  const Duration StragglerTime =
      std::max(MinStragglerTime, Mean * StragglerFactor);
  return std::all_of(
      this->Items.begin(), this->Items.end(), [&](const auto &Pair) {
        const Item &Entry = Pair.second;
        return Entry.State == Phase::Done ||
               (Entry.State == Phase::Running &&
                Now - Entry.Since > StragglerTime) ||
               (Entry.State == Phase::Waiting && Entry.Attempts > 0);
      });
}

CommitPlan ChunkRun::collect(RemainderAction Remainder) const {
  CommitPlan Plan;
  for (const auto &[Index, Entry] : this->Items) {
    if (Entry.State != Phase::Done) {
      Plan.RemainingItems.push_back(Index);
      continue;
    }
    Plan.Lines[Index] = Entry.Result;
    ++(Entry.Succeeded ? Plan.Completed : Plan.Failed);
  }
  if (!Plan.RemainingItems.empty() || !this->Loaded)
    Plan.Remainder = Remainder;
  return Plan;
}

std::optional<CommitPlan> ChunkRun::planDueCommit(Instant Now,
                                                  bool MemoryIsShort) const {
  if (this->isStopped())
    return this->Running == 0 ? std::optional(this->collect(this->StopAction))
                              : std::nullopt;
  if (!this->Loaded)
    return std::nullopt;
  if (this->Waiting + this->Running == 0)
    return this->collect(RemainderAction::None);
  if (this->hasOnlyStragglers(Now) || (MemoryIsShort && this->ResultBytes > 0))
    return this->collect(RemainderAction::Keep);
  return std::nullopt;
}

void ChunkRun::continueAs(std::string Name, const CommitPlan &Committed) {
  for (const auto &[Index, Line] : Committed.Lines) {
    const auto Found = this->Items.find(Index);
    if (Found == this->Items.end())
      continue;
    this->InputBytes -= Found->second.Line.size();
    this->ResultBytes -= Found->second.Result.size();
    this->Items.erase(Found);
  }
  this->Name = std::move(Name);
  this->Row.Epoch = 1;
  this->Row.Items = Committed.RemainingItems;
  this->FinishedItems = 0;
  this->TotalItemTime = Duration{0};
}

} // namespace turmericpass
