#ifndef TURMERICPASS_SCHEDULING_WORKQUEUE_H
#define TURMERICPASS_SCHEDULING_WORKQUEUE_H

#include "Scheduling/FairLane.h"
#include "Scheduling/WorkItem.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace turmericpass {

/// The waiting work of a service. Online work goes before batch work, and
/// classes are served by rank. Each class has one queue for short and one for
/// long work.
class WorkQueue {
public:
  void push(WorkItem &Item);
  /// Removes the item if it is queued. \p Served tells whether it is started.
  void remove(WorkItem &Item, bool Served);

  /// Returns the non-empty queues in the order in which they are served: by
  /// class and, within a class, by the queue key of their first items.
  std::vector<FairLane *> lanes();

  std::uint32_t online() const { return this->Online; }
  std::uint32_t batch() const { return this->Batch; }

private:
  using ClassKey = std::tuple<bool, std::uint32_t, std::string>;
  struct ClassLanes {
    FairLane Short;
    FairLane Long;
  };

  std::map<ClassKey, ClassLanes> Classes;
  std::uint32_t Online = 0;
  std::uint32_t Batch = 0;
};

} // namespace turmericpass

#endif
