#ifndef TURMERICPASS_PLATFORM_STOREQUEUE_H
#define TURMERICPASS_PLATFORM_STOREQUEUE_H

#include "Core/Error.h"
#include "Loop/EventLoop.h"
#include "Platform/StoreBudget.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

namespace turmericpass {

/// Counts of a process's calls to a store, for metrics.
struct StoreCounts {
  /// Calls sent to the store, retries included.
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  /// Calls that were retried after the store refused them without effect.
  std::uint64_t Retries = 0;
  /// Calls rejected by the queue because it was full or the wait was too long.
  std::uint64_t Refused = 0;
};

/// Queues calls to a store until the budget allows them to start. Reads and
/// writes are queued separately, each in FIFO order. A call that the store
/// refused without effect is retried until its deadline.
class StoreQueue {
public:
  /// Reports the result of an attempt to the queue; nullptr means success.
  /// Returns false if the queue will retry the call, in which case the result
  /// must not be passed on.
  using ResultCallback = std::function<bool(const Error *)>;
  using Attempt = std::function<void(ResultCallback)>;
  using Refusal = std::function<void(Error)>;

  StoreQueue(EventLoop &Loop, const StoreLimits &Limits, std::uint64_t Seed);
  ~StoreQueue();
  StoreQueue(const StoreQueue &) = delete;
  StoreQueue &operator=(const StoreQueue &) = delete;

  /// Runs \p Call as soon as the budget allows it. If the queue is full or the
  /// call's deadline passes first, calls \p Refused with Unavailable from the
  /// event loop instead.
  void submit(StoreAccess Access, Attempt Call, Refusal Refused);

  const StoreCounts &counts() const { return this->Counts; }

private:
  struct Entry {
    StoreAccess Access = StoreAccess::Read;
    Attempt Call;
    Refusal Refused;
    Instant Deadline;
  };
  using CallQueue = std::deque<std::shared_ptr<Entry>>;

  CallQueue &queueFor(StoreAccess Access);
  void refuse(const std::shared_ptr<Entry> &QueuedCall);
  void run(const std::shared_ptr<Entry> &QueuedCall);
  bool handleResult(const std::shared_ptr<Entry> &QueuedCall,
                    const Error *Reason);
  void startCalls();
  /// Starts the waiting calls that the budget allows and returns the time until
  /// the queue must be checked again.
  Duration startCallsOf(StoreAccess Access);

  EventLoop &Loop;
  StoreLimits Limits;
  StoreBudget Budget;
  StoreCounts Counts;
  std::array<CallQueue, 2> CallQueues;
  WatchId Timer = 0;
  /// Expires with the queue, so that a late reply does not access it.
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

} // namespace turmericpass

#endif
