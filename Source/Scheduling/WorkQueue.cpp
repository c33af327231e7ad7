#include "Scheduling/WorkQueue.h"

namespace turmericpass {

namespace {

// Work of N tokens or milliseconds goes after smaller work that arrives up to
// twice N milliseconds later. Short work thus overtakes long work without
// starving it.
constexpr double PenaltyMsPerUnit = 2;
constexpr double MaxPenaltyMs = 10000;

Instant queueKeyFor(const WorkItem &Item) {
  const double Penalty = std::min(Item.Cost * PenaltyMsPerUnit, MaxPenaltyMs);
  return Item.ArrivalTime +
         std::chrono::microseconds(static_cast<std::int64_t>(Penalty * 1000));
}

} // namespace

void WorkQueue::push(WorkItem &Item) {
  Item.State = SchedulingState::Queued;
  Item.QueueKey = Item.WasStarted ? Item.ArrivalTime : queueKeyFor(Item);
  ClassQueues &Queues =
      this->Classes[ClassKey{Item.IsBatch, Item.Rank, Item.Work.Class}];
  (Item.isLong() ? Queues.Long : Queues.Short).push(Item);
  ++(Item.IsBatch ? this->BatchCount : this->OnlineCount);
}

void WorkQueue::remove(WorkItem &Item, bool IsStarted) {
  if (Item.State != SchedulingState::Queued)
    return;
  Item.State = SchedulingState::Running;
  ClassQueues &Queues =
      this->Classes[ClassKey{Item.IsBatch, Item.Rank, Item.Work.Class}];
  (Item.isLong() ? Queues.Long : Queues.Short).remove(Item, IsStarted);
  --(Item.IsBatch ? this->BatchCount : this->OnlineCount);
}

std::vector<FairQueue *> WorkQueue::nonEmptyQueues() {
  std::vector<FairQueue *> NonEmpty;
  for (auto &[Key, Queues] : this->Classes) {
    const bool HasShort = !Queues.Short.empty();
    const bool HasLong = !Queues.Long.empty();
    const bool IsLongFirst =
        HasLong &&
        (!HasShort || Queues.Long.headKey() < Queues.Short.headKey());
    if (HasLong && IsLongFirst)
      NonEmpty.push_back(&Queues.Long);
    if (HasShort)
      NonEmpty.push_back(&Queues.Short);
    if (HasLong && !IsLongFirst)
      NonEmpty.push_back(&Queues.Long);
  }
  return NonEmpty;
}

} // namespace turmericpass
