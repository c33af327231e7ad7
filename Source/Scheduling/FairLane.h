#ifndef TURMERICPASS_SCHEDULING_FAIRLANE_H
#define TURMERICPASS_SCHEDULING_FAIRLANE_H

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
class FairLane {
public:
  void push(const WorkItem &Item);
  /// Removes the item and, if \p Served is set, charges its customer.
  void remove(const WorkItem &Item, bool Served);

  bool empty() const { return this->Size == 0; }
  std::size_t size() const { return this->Size; }

  /// Returns the next item to serve. The queue must not be empty. The queue
  /// does not advance until that item is removed.
  ItemId head();
  /// Returns the queue key of head().
  Instant headKey();

private:
  using Place = std::pair<Instant, ItemId>;
  struct CustomerQueue {
    std::map<Place, double> Waiting;
    double Deficit = 0;
  };

  Place headPlace();
  static double price(double Cost);

  std::set<Place> Resumed;
  std::map<std::string, CustomerQueue> Customers;
  std::list<std::string> Turns;
  std::size_t Size = 0;
};

} // namespace turmericpass

#endif
