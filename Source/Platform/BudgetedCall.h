#ifndef TURMERICPASS_PLATFORM_BUDGETEDCALL_H
#define TURMERICPASS_PLATFORM_BUDGETEDCALL_H

#include "Platform/StoreQueue.h"

#include <functional>
#include <utility>

namespace turmericpass {

/// Sends \p Call through \p Queue. It is called once or more with a handler
/// for its result, and \p Done once with the last result.
template <typename T>
void budgetedCall(StoreQueue &Queue, StoreAccess Access,
                  std::function<void(std::function<void(Result<T>)>)> Call,
                  std::function<void(Result<T>)> Done) {
  Queue.submit(
      Access,
      [Call = std::move(Call), Done](const StoreQueue::Settle &Settle) {
        Call([Settle, Done](Result<T> Outcome) {
          if (Settle(Outcome ? nullptr : &Outcome.error()))
            Done(std::move(Outcome));
        });
      },
      [Done](Error Reason) { Done(tl::make_unexpected(std::move(Reason))); });
}

} // namespace turmericpass

#endif
