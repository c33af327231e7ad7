#include "BatchJobs/OwnedJob.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// Progress beyond this is not worth a row; the item starts again.
constexpr std::size_t MostProgressBytes = std::size_t{40} << 10U;

} // namespace

void OwnedJob::adoptHead(const KnownJob &Known) {
  const bool SameWrite = Known.Head.WriteId == this->Head.WriteId;
  if (Known.Version <= this->Version && !SameWrite)
    return;
  const auto Landed = static_cast<std::ptrdiff_t>(
      std::min<std::uint64_t>(Known.Head.ListedItems - this->Head.ListedItems,
                              this->Uncommitted.size()));
  this->Uncommitted.erase(this->Uncommitted.begin(),
                          this->Uncommitted.begin() + Landed);
  this->Version = Known.Version;
  this->Head = Known.Head;
}

JobMetadata OwnedJob::headAfterCommit(std::size_t Count) const {
  JobMetadata After = this->Head;
  After.ListedItems += Count;
  for (std::size_t I = 0; I < Count; ++I)
    for (const ItemRun &Run : this->Items)
      if (Run.Item.Id == this->Uncommitted[I].ItemId)
        After.ListedTokens += Run.Item.Tokens;
  return After;
}

std::vector<ItemProgress> OwnedJob::takeUnsavedProgress() {
  std::vector<ItemProgress> Begun;
  for (std::size_t I = 0; I < this->Items.size(); ++I) {
    ItemRun &Run = this->Items[I];
    const bool Open =
        Run.State == ItemState::Pending || Run.State == ItemState::Running;
    if (!Open || !Run.LastEvent || Run.LastEvent == Run.SavedEvent ||
        Run.Output.size() > MostProgressBytes)
      continue;
    Run.SavedEvent = Run.LastEvent;
    Begun.push_back({I, *Run.LastEvent, Run.Output});
  }
  return Begun;
}

} // namespace turmericpass
