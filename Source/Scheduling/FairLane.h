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

/// Waiting work of one class and size, served in turn to customers by deficit
/// round robin and, for each customer, in the order of the queue keys. Work
/// that was started before goes first, because its turn is paid for.
class FairLane {
public:
  void push(const WorkItem &Item);
  /// Takes the item out; \p Served tells that its customer pays for it.
  void remove(const WorkItem &Item, bool Served);

  bool empty() const { return this->Size == 0; }
  std::size_t size() const { return this->Size; }

  /// Returns the item whose turn it is; the lane must not be empty. The turn
  /// stays until that item is removed.
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
