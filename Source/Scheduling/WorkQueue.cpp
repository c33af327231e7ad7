#include "Scheduling/WorkQueue.h"

namespace turmericpass {

namespace {

// Work of N tokens or milliseconds goes after smaller work that arrives up to 2
// N milliseconds later. Short work thus overtakes long work without starving
// it.
constexpr double PenaltyMsPerUnit = 2;
constexpr double LargestPenaltyMs = 10000;

Instant keyFor(const WorkItem &Item) {
  const double Penalty =
      std::min(Item.Cost * PenaltyMsPerUnit, LargestPenaltyMs);
  return Item.Arrived +
         std::chrono::microseconds(static_cast<std::int64_t>(Penalty * 1000));
}

} // namespace

void WorkQueue::push(WorkItem &Item) {
  Item.Place = ItemPlace::Queued;
  Item.QueueKey = Item.WasStarted ? Item.Arrived : keyFor(Item);
  ClassLanes &Lanes =
      this->Classes[ClassKey{Item.IsBatch, Item.Rank, Item.Work.Class}];
  (Item.isLong() ? Lanes.Long : Lanes.Short).push(Item);
  ++(Item.IsBatch ? this->Batch : this->Online);
}

void WorkQueue::remove(WorkItem &Item, bool Served) {
  if (Item.Place != ItemPlace::Queued)
    return;
  Item.Place = ItemPlace::Running;
  ClassLanes &Lanes =
      this->Classes[ClassKey{Item.IsBatch, Item.Rank, Item.Work.Class}];
  (Item.isLong() ? Lanes.Long : Lanes.Short).remove(Item, Served);
  --(Item.IsBatch ? this->Batch : this->Online);
}

std::vector<FairLane *> WorkQueue::lanes() {
  std::vector<FairLane *> Order;
  for (auto &[Key, Lanes] : this->Classes) {
    const bool HasShort = !Lanes.Short.empty();
    const bool HasLong = !Lanes.Long.empty();
    const bool LongFirst =
        HasLong && (!HasShort || Lanes.Long.headKey() < Lanes.Short.headKey());
    if (HasLong && LongFirst)
      Order.push_back(&Lanes.Long);
    if (HasShort)
      Order.push_back(&Lanes.Short);
    if (HasLong && !LongFirst)
      Order.push_back(&Lanes.Long);
  }
  return Order;
}

} // namespace turmericpass
