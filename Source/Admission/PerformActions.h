#ifndef TURMERICPASS_ADMISSION_PERFORMACTIONS_H
#define TURMERICPASS_ADMISSION_PERFORMACTIONS_H

#include "Admission/RequestLifeCycle.h"

#include <utility>
#include <vector>

namespace turmericpass {

/// Performs the actions of a call's life cycle until there are none. \p Find
/// returns the call, or nullptr once it has ended; \p Perform performs one
/// action. A failed send decides the next step at once, and so makes new
/// actions, and an action may end the call.
template <typename FindCall, typename PerformOne>
void performActions(FindCall Find, PerformOne Perform) {
  while (auto *Call = Find()) {
    std::vector<LifeCycleAction> Actions = Call->Life.takeActions();
    if (Actions.empty())
      return;
    for (LifeCycleAction &Action : Actions) {
      Perform(*Call, std::move(Action));
      if (!Find())
        return;
    }
  }
}

} // namespace turmericpass

#endif
