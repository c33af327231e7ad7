#ifndef TURMERICPASS_SCHEDULING_FAIRQUEUE_H
#define TURMERICPASS_SCHEDULING_FAIRQUEUE_H

#include "Core/Clock.h"
#include "Scheduling/WorkItem.h"

#include <cstddef>
#include <list>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace turmericpass {

/// A queue of waiting work of one class and size. It serves customers by
/// deficit round robin and the items of each customer in the order of their
/// queue keys. Items that were started before go first, because their customers
/// have already been charged.
class FairQueue {
public:
  void push(const WorkItem &Item);
  /// Removes the item and, if \p ChargeCustomer is set, charges its customer.
  void remove(const WorkItem &Item, bool ChargeCustomer);

  bool empty() const { return this->ItemCount == 0; }
  std::size_t size() const { return this->ItemCount; }

  /// Returns the next item to serve. The queue must not be empty. The queue
  /// does not advance until that item is removed.
  ItemId head();
  /// Returns the queue key of head().
  Instant headKey();

private:
  using QueuePosition = std::pair<Instant, ItemId>;
  struct CustomerQueue {
    std::map<QueuePosition, double> WaitingItems;
    double Deficit = 0;
  };

  QueuePosition headPosition();
  static double chargeFor(double Cost);

  std::set<QueuePosition> ResumedItems;
  std::map<std::string, CustomerQueue> Customers;
  std::list<std::string> RoundRobin;
  std::size_t ItemCount = 0;
};

} // namespace turmericpass

#endif
