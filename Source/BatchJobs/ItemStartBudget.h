#ifndef TURMERICPASS_BATCHJOBS_ITEMSTARTBUDGET_H
#define TURMERICPASS_BATCHJOBS_ITEMSTARTBUDGET_H

#include "Core/Clock.h"

namespace turmericpass {

/// Limits how many items one VM starts while the loads of the other VMs become
/// known late. This class performs no I/O.
///
/// The budget is meant for fleets in which many VMs have waiting items and few
/// slots are free. All of these VMs see the same free slot at the same time. If
/// each of them took it, all but one of the items would wait in the queue of
/// the server in front of callers, or be preempted at once. So each VM takes
/// free slots at the rate that its part of the waiting items gives it.
class ItemStartBudget {
public:
  /// Adds what the time since the last call allows. \p OwnItems of
  /// \p AllItems waiting items belong to this VM, and \p FreeSlots slots are
  /// free.
  void update(Instant Now, int OwnItems, int AllItems, int FreeSlots);

  /// Takes one start from the budget. Returns false if there is none.
  bool take();

private:
  double Starts = 0;
  Instant UpdatedAt;
};

} // namespace turmericpass

#endif
