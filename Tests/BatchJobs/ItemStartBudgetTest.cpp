#include "BatchJobs/ItemStartBudget.h"

#include <criterion/criterion.h>
#include <vector>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// Lets \p Nodes VMs with \p ItemsEach waiting items schedule for \p Span while
/// all of them see \p FreeSlots free slots. Returns the number of starts.
int countStarts(int Nodes, int ItemsEach, int FreeSlots, Duration Span) {
  ManualClock Time;
  std::vector<ItemStartBudget> Budgets(static_cast<std::size_t>(Nodes));
  for (ItemStartBudget &Budget : Budgets)
    Budget.update(Time.now(), 0, 0, 0);
  int Starts = 0;
  for (Duration Passed(0); Passed < Span; Passed += 20ms) {
    Time.advance(20ms);
    for (ItemStartBudget &Budget : Budgets) {
      Budget.update(Time.now(), ItemsEach, Nodes * ItemsEach, FreeSlots);
      for (int Item = 0; Item < ItemsEach && Budget.take(); ++Item)
        ++Starts;
    }
  }
  return Starts;
}

} // namespace

// Replays the end of a wave of callers: twenty VMs have waiting items and see
// the same few free slots. Guards against all of them taking each slot.
Test(ItemStartBudget, VmsTogetherTakeTheSlotsThatAreFree) {
  // The free slots are divided once per 100 ms.
  const int Starts = countStarts(20, 10, 5, 1s);
  cr_assert_leq(Starts, 50);
  cr_assert_geq(Starts, 25);
}

// Replays a trough: guards against slots that stay free although items wait.
Test(ItemStartBudget, ManyFreeSlotsAreTakenAtOnce) {
  cr_assert_geq(countStarts(20, 10, 400, 100ms), 180);
}

// Guards against a VM that never starts an item because its part of the free
// slots is less than one.
Test(ItemStartBudget, SmallSharesAddUp) {
  cr_assert_geq(countStarts(40, 1, 2, 4s), 40);
}

// Guards against starts that are saved up and spent when no slot is free.
Test(ItemStartBudget, UnusedBudgetIsNotKept) {
  ManualClock Time;
  ItemStartBudget Budget;
  for (int Step = 0; Step < 50; ++Step) {
    Time.advance(20ms);
    Budget.update(Time.now(), 10, 10, 100);
  }
  Time.advance(20ms);
  Budget.update(Time.now(), 10, 10, 0);
  int Starts = 0;
  while (Budget.take())
    ++Starts;
  cr_assert_leq(Starts, 1);
}
