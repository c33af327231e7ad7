#include "Scheduling/WorkQueue.h"

#include "Scheduling/WorkItem.h"

namespace turmericpass {

void WorkQueue::push(const WorkItem &Item) {
  const Key Place{Item.IsBatch, Item.Rank, Item.Sequence};
  if (this->Order.emplace(Place, Item.Work.RequestId).second)
    ++(Item.IsBatch ? this->Batch : this->Online);
}

void WorkQueue::remove(const WorkItem &Item) {
  if (this->Order.erase(Key{Item.IsBatch, Item.Rank, Item.Sequence}) != 0)
    --(Item.IsBatch ? this->Batch : this->Online);
}

} // namespace turmericpass
