#ifndef TURMERICPASS_SCHEDULING_WORKQUEUE_H
#define TURMERICPASS_SCHEDULING_WORKQUEUE_H

#include "Scheduling/FairQueue.h"
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
  /// Removes the item if it is queued. \p IsStarted tells whether it is
  /// started.
  void remove(WorkItem &Item, bool IsStarted);

  /// Returns the non-empty queues in the order in which they are served: by
  /// class and, within a class, by the queue key of their first items.
  std::vector<FairQueue *> nonEmptyQueues();

  std::uint32_t onlineCount() const { return this->OnlineCount; }
  std::uint32_t batchCount() const { return this->BatchCount; }

private:
  using ClassKey = std::tuple<bool, std::uint32_t, std::string>;
  struct ClassQueues {
    FairQueue Short;
    FairQueue Long;
  };

  std::map<ClassKey, ClassQueues> Classes;
  std::uint32_t OnlineCount = 0;
  std::uint32_t BatchCount = 0;
};

} // namespace turmericpass

#endif
