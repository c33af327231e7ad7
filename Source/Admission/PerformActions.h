#ifndef TURMERICPASS_ADMISSION_PERFORMACTIONS_H
#define TURMERICPASS_ADMISSION_PERFORMACTIONS_H

#include "Admission/RequestLifeCycle.h"

#include <utility>
#include <vector>

namespace turmericpass {

/// Performs the actions of a call's life cycle until none is left. \p Find
/// returns the call, or nullptr after it has ended; \p Perform performs one
/// action. The actions are taken in a loop because a failed send creates new
/// actions immediately, and an action may end the call.
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
