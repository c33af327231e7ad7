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
constexpr Duration MinWait = std::chrono::milliseconds(100);
constexpr Duration MaxWait = std::chrono::seconds(10);

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
    ItemResult Bad;
    Bad.CustomId = customIdOf(Entry.Line);
    Bad.ErrorCode = "invalid_item";
    Bad.ErrorMessage = Parsed.error().Message;
    --this->Waiting;
    this->end(Entry, Bad);
  }
}

std::optional<std::uint32_t> ChunkRun::start(Instant Now) {
  if (this->stopped() || this->Waiting == 0)
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
  if (Outcome.End == ItemEnd::TurnedAway) {
    ++Entry.TurnedAway;
    this->scheduleRetry(Entry, Outcome.After, Now);
    return false;
  }
  ++Entry.Attempts;
  if (Outcome.End == ItemEnd::Failed && Entry.Attempts < MaxItemAttempts) {
    this->scheduleRetry(Entry, Outcome.After, Now);
    return false;
  }
  this->DoneTime += Now - Entry.Since;
  ++this->DoneItems;
  this->end(Entry, Outcome.Result);
  return true;
}

void ChunkRun::scheduleRetry(Item &Entry, Duration After, Instant Now) {
  const std::uint32_t Tries = Entry.Attempts + Entry.TurnedAway;
  const Duration Backoff = MinWait * (1U << std::min(Tries, 7U));
  Entry.State = Phase::Waiting;
  Entry.Since = Now + std::max(After, std::min(Backoff, MaxWait));
  ++this->Waiting;
}

void ChunkRun::end(Item &Entry, const ItemResult &Result) {
  Entry.State = Phase::Done;
  Entry.Succeeded = Result.succeeded();
  Entry.Result = resultLine(Result);
  this->ResultBytes += Entry.Result.size();
}

void ChunkRun::stop(RemainderAction Fate) {
  // A cancellation takes precedence over a release, because a dropped item must
  // not run again.
  if (this->Fate != RemainderAction::Drop)
    this->Fate = Fate;
}

std::vector<std::uint32_t> ChunkRun::running() const {
  std::vector<std::uint32_t> Indices;
  for (const auto &[Index, Entry] : this->Items)
    if (Entry.State == Phase::Running)
      Indices.push_back(Index);
  return Indices;
}

bool ChunkRun::hasOnlyStragglers(Instant Now) const {
  const std::size_t Left = this->Waiting + this->Running;
  if (this->DoneItems == 0 || Left * StragglerShare > this->Items.size())
    return false;
  const Duration Mean =
      this->DoneTime / static_cast<Duration::rep>(this->DoneItems);
  const Duration Bound = std::max(MinStragglerTime, Mean * StragglerFactor);
  return std::all_of(
      this->Items.begin(), this->Items.end(), [&](const auto &Pair) {
        const Item &Entry = Pair.second;
        return Entry.State == Phase::Done ||
               (Entry.State == Phase::Running && Now - Entry.Since > Bound) ||
               (Entry.State == Phase::Waiting && Entry.Attempts > 0);
      });
}

CommitPlan ChunkRun::collect(RemainderAction Rest) const {
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
    Plan.Rest = Rest;
  return Plan;
}

std::optional<CommitPlan> ChunkRun::planDueCommit(Instant Now,
                                                  bool Crowded) const {
  if (this->stopped())
    return this->Running == 0 ? std::optional(this->collect(this->Fate))
                              : std::nullopt;
  if (!this->Loaded)
    return std::nullopt;
  if (this->Waiting + this->Running == 0)
    return this->collect(RemainderAction::None);
  if (this->hasOnlyStragglers(Now) || (Crowded && this->ResultBytes > 0))
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
  this->DoneItems = 0;
  this->DoneTime = Duration{0};
}

} // namespace turmericpass
