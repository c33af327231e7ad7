#include "Platform/StoreQueue.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

StoreQueue::StoreQueue(EventLoop &Loop, const StoreLimits &Limits,
                       std::uint64_t Seed)
    : Loop(Loop), Limits(Limits), Budget(Loop.clock(), Limits, Seed) {}

StoreQueue::~StoreQueue() { this->Loop.cancel(this->Timer); }

StoreQueue::CallQueue &StoreQueue::queueFor(StoreAccess Access) {
  return this->CallQueues[Access == StoreAccess::Read ? 0 : 1];
}

void StoreQueue::submit(StoreAccess Access, Attempt Call, Refusal Refused) {
  auto QueuedCall = std::make_shared<Entry>();
  QueuedCall->Access = Access;
  QueuedCall->Call = std::move(Call);
  QueuedCall->Refused = std::move(Refused);
  QueuedCall->Deadline = this->Loop.clock().now() + this->Limits.MaxWait;
  CallQueue &Queue = this->queueFor(Access);
  if (Queue.size() >= this->Limits.QueueLength) {
    this->refuse(QueuedCall);
    return;
  }
  Queue.push_back(std::move(QueuedCall));
  this->startCalls();
}

void StoreQueue::refuse(const std::shared_ptr<Entry> &QueuedCall) {
  ++this->Counts.Refused;
  this->Loop.after(Duration(0), [QueuedCall] {
    QueuedCall->Refused(
        {ErrorCode::Unavailable,
         "The store is unavailable or its budget is spent; the call "
         "was not sent."});
  });
}

void StoreQueue::run(const std::shared_ptr<Entry> &QueuedCall) {
  this->Budget.recordStart(QueuedCall->Access);
  ++(QueuedCall->Access == StoreAccess::Read ? this->Counts.Reads
                                             : this->Counts.Writes);
  const std::weak_ptr<bool> Lifetime = this->LifetimeToken;
  QueuedCall->Call([this, Lifetime, QueuedCall](const Error *Reason) {
    return Lifetime.expired() || this->handleResult(QueuedCall, Reason);
  });
}

bool StoreQueue::handleResult(const std::shared_ptr<Entry> &QueuedCall,
                              const Error *Reason) {
  const bool Unavailable = Reason && Reason->Code == ErrorCode::Unavailable;
  this->Budget.recordEnd(Unavailable);
  const bool ShouldRetry =
      Unavailable && this->Loop.clock().now() < QueuedCall->Deadline;
  if (ShouldRetry) {
    ++this->Counts.Retries;
    this->queueFor(QueuedCall->Access).push_front(QueuedCall);
  }
  // Deferred so that the caller's handler runs before queued calls are started.
  this->Loop.cancel(this->Timer);
  this->Timer = this->Loop.after(Duration(0), [this] {
    this->Timer = 0;
    this->startCalls();
  });
  return !ShouldRetry;
}

void StoreQueue::startCalls() {
  const Duration Read = this->startCallsOf(StoreAccess::Read);
  const Duration Write = this->startCallsOf(StoreAccess::Write);
  this->Loop.cancel(std::exchange(this->Timer, 0));
  if (this->CallQueues[0].empty() && this->CallQueues[1].empty())
    return;
  this->Timer = this->Loop.after(std::min(Read, Write), [this] {
    this->Timer = 0;
    this->startCalls();
  });
}

Duration StoreQueue::startCallsOf(StoreAccess Access) {
  CallQueue &Queue = this->queueFor(Access);
  const Instant Now = this->Loop.clock().now();
  while (!Queue.empty()) {
    const std::shared_ptr<Entry> Next = Queue.front();
    if (Next->Deadline <= Now) {
      Queue.pop_front();
      this->refuse(Next);
      continue;
    }
    const Duration Wait = this->Budget.timeUntilAllowed(Access);
    if (Wait > Duration(0))
      return std::min(
          Wait, std::chrono::duration_cast<Duration>(Next->Deadline - Now));
    Queue.pop_front();
    this->run(Next);
  }
  return this->Limits.MaxWait;
}

} // namespace turmericpass
