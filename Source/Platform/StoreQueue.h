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

/// What a process asked of a store, for metrics.
struct StoreCounts {
  /// Calls sent to the store, retries included.
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  /// Calls sent again after the store refused them without effect.
  std::uint64_t Retries = 0;
  /// Calls refused here, because the queue was full or the wait too long.
  std::uint64_t Refused = 0;
};

/// Holds calls to a store until its budget lets them start, reads and writes
/// in order each. A call that the store refused without effect is sent again
/// while its time lasts.
class StoreQueue {
public:
  /// Tells the queue how a call ended, with nullptr for success. Returns
  /// false if the queue sends the call again, so that nobody may hear of it.
  using Settle = std::function<bool(const Error *)>;
  using Attempt = std::function<void(Settle)>;
  using Refusal = std::function<void(Error)>;

  StoreQueue(EventLoop &Loop, const StoreLimits &Limits, std::uint64_t Seed);
  ~StoreQueue();
  StoreQueue(const StoreQueue &) = delete;
  StoreQueue &operator=(const StoreQueue &) = delete;

  /// Runs \p Call now or later, or calls \p Refused with Unavailable, from the
  /// loop, if it was never sent.
  void submit(StoreAccess Access, Attempt Call, Refusal Refused);

  const StoreCounts &counts() const { return this->Counts; }

private:
  struct Entry {
    StoreAccess Access = StoreAccess::Read;
    Attempt Call;
    Refusal Refused;
    Instant Deadline;
  };
  using Line = std::deque<std::shared_ptr<Entry>>;

  Line &lineOf(StoreAccess Access);
  void refuse(const std::shared_ptr<Entry> &Held);
  void run(const std::shared_ptr<Entry> &Started);
  bool settle(const std::shared_ptr<Entry> &Ended, const Error *Reason);
  void pump();
  /// Starts what may start and returns the time until the next look.
  Duration pumpLine(StoreAccess Access);

  EventLoop &Loop;
  StoreLimits Limits;
  StoreBudget Budget;
  StoreCounts Counts;
  std::array<Line, 2> Lines;
  WatchId Timer = 0;
  /// Lets a reply that comes after the queue's end see that it is gone.
  std::shared_ptr<bool> Life = std::make_shared<bool>(true);
};

} // namespace turmericpass

#endif
