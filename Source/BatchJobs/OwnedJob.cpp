#include "BatchJobs/OwnedJob.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// Gaps in a healthy stream are some hundred milliseconds at most.
constexpr Duration MinStallTime = std::chrono::milliseconds(1500);
constexpr int MaxStallDoublings = 4;
/// The number of longest gaps that a pause may last.
constexpr int LongestGaps = 4;

} // namespace

bool ItemRun::appendEvent(const StreamEvent &Event, Instant Now) {
  if (!Event.Id)
    return Event.Data.empty();
  if (this->LastEventId && *Event.Id != *this->LastEventId + 1)
    return false;
  if (this->LastEventId)
    this->Output += '\n';
  this->Output += Event.Data;
  this->LastEventId = Event.Id;
  // The time before the first event is spent in the queue of the server.
  if (this->NewEvents++ > 0)
    this->LongestGap = std::max(this->LongestGap, Now - this->LastEventAt);
  this->LastEventAt = Now;
  return true;
}

void ItemRun::discardOutput() {
  this->LastEventId.reset();
  this->Output.clear();
}

Duration ItemRun::stallLimit() const {
  const int Doublings = std::min(this->Stalls, MaxStallDoublings);
  return std::max<Duration>(MinStallTime * (1 << Doublings),
                            this->LongestGap * LongestGaps);
}

namespace {

/// How long the settings must have no route for a job until its pending items
/// are given up. It is longer than the time for which the settings count as
/// current without an answer of the store, so that they are newer than the job.
constexpr Duration RouteRemovalDelay = std::chrono::seconds(3);

/// The largest output that is saved as progress. An item with more output
/// starts from the beginning if its VM is lost.
constexpr std::size_t MaxProgressBytes = std::size_t{40} << 10U;

} // namespace

ItemProgress ItemRun::takeProgress(std::size_t Index) {
  this->SavedEventId = this->LastEventId;
  this->SavedFailures = this->Failures;
  this->SavedCrashes = this->Crashes.counts();
  const bool HasOutput =
      this->LastEventId && this->Output.size() <= MaxProgressBytes;
  return {Index,
          HasOutput ? *this->LastEventId : 0,
          HasOutput ? this->Output : std::string(),
          this->Failures,
          HasOutput,
          this->SavedCrashes};
}

bool OwnedJob::recordRoute(bool RouteExists, bool SettingsAreCurrent,
                           Instant Now) {
  if (RouteExists || !SettingsAreCurrent || this->Loading) {
    this->RouteMissingSince.reset();
    return false;
  }
  if (!this->RouteMissingSince)
    this->RouteMissingSince = Now;
  return Now - *this->RouteMissingSince >= RouteRemovalDelay;
}

bool OwnedJob::adoptMetadata(const KnownJob &Known) {
  const bool SameWrite = Known.Metadata.WriteId == this->Metadata.WriteId;
  if (Known.Version.Newest <= this->Version.Floor && !SameWrite)
    return true;
  if (this->StartedCommits.contains(Known.Metadata.WriteId)) {
    const auto NewlyCommitted = static_cast<std::ptrdiff_t>(
        Known.Metadata.CommittedItems - this->Metadata.CommittedItems);
    this->UncommittedResults.erase(this->UncommittedResults.begin(),
                                   this->UncommittedResults.begin() +
                                       NewlyCommitted);
  } else if (Known.Metadata.Epoch != this->Metadata.Epoch ||
             Known.Metadata.CommittedItems != this->Metadata.CommittedItems) {
    return false;
  }
  this->Version = Known.Version;
  this->Metadata = Known.Metadata;
  // Commits that depend on other metadata will not be applied any more.
  if (!SameWrite)
    this->StartedCommits.clear();
  return true;
}

JobMetadata OwnedJob::metadataAfterCommit(std::size_t Count) const {
  JobMetadata Updated = this->Metadata;
  Updated.CommittedItems += Count;
  for (std::size_t I = 0; I < Count; ++I)
    for (const ItemRun &Run : this->Items)
      if (Run.Item.Id == this->UncommittedResults[I].ItemId)
        Updated.CommittedTokens += Run.Item.Tokens;
  return Updated;
}

std::vector<ItemProgress> OwnedJob::takeUnsavedProgress() {
  std::vector<ItemProgress> Unsaved;
  for (std::size_t I = 0; I < this->Items.size(); ++I) {
    ItemRun &Run = this->Items[I];
    const bool IsUnfinished =
        Run.State == ItemState::Pending || Run.State == ItemState::Running;
    const bool HasNewEvents =
        Run.LastEventId && Run.LastEventId != Run.SavedEventId;
    // Output that is too large is not worth a write, but crashes are.
    const bool HasNewFailures = Run.Failures != Run.SavedFailures &&
                                Run.Output.size() <= MaxProgressBytes;
    const bool HasNewOutput =
        HasNewEvents && Run.Output.size() <= MaxProgressBytes;
    if (IsUnfinished && (HasNewOutput || HasNewFailures ||
                         Run.Crashes.counts() != Run.SavedCrashes))
      Unsaved.push_back(Run.takeProgress(I));
  }
  return Unsaved;
}

} // namespace turmericpass
