#ifndef TURMERICPASS_PLATFORM_BUDGETEDCALL_H
#define TURMERICPASS_PLATFORM_BUDGETEDCALL_H

#include "Platform/StoreQueue.h"

#include <functional>
#include <utility>

namespace turmericpass {

/// Submits \p Call to \p Queue. \p Call runs once for each attempt and receives
/// a handler for the result. \p Done is called once with the final result, or
/// with Unavailable if the queue rejects the call.
template <typename T>
void callWithinBudget(StoreQueue &Queue, StoreAccess Access,
                      std::function<void(std::function<void(Result<T>)>)> Call,
                      std::function<void(Result<T>)> Done) {
  Queue.submit(
      Access,
      [Call = std::move(Call),
       Done](const StoreQueue::ResultCallback &ResultCallback) {
        Call([ResultCallback, Done](Result<T> Outcome) {
          if (ResultCallback(Outcome ? nullptr : &Outcome.error()))
            Done(std::move(Outcome));
        });
      },
      [Done](Error Reason) { Done(tl::make_unexpected(std::move(Reason))); });
}

} // namespace turmericpass

#endif
