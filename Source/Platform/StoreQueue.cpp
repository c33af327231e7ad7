#include "Platform/StoreQueue.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

StoreQueue::StoreQueue(EventLoop &Loop, const StoreLimits &Limits,
                       std::uint64_t Seed)
    : Loop(Loop), Limits(Limits), Budget(Loop.clock(), Limits, Seed) {}

StoreQueue::~StoreQueue() { this->Loop.cancel(this->Timer); }

StoreQueue::Line &StoreQueue::lineOf(StoreAccess Access) {
  return this->Lines[Access == StoreAccess::Read ? 0 : 1];
}

void StoreQueue::submit(StoreAccess Access, Attempt Call, Refusal Refused) {
  auto Held = std::make_shared<Entry>();
  Held->Access = Access;
  Held->Call = std::move(Call);
  Held->Refused = std::move(Refused);
  Held->Deadline = this->Loop.clock().now() + this->Limits.MaxWait;
  Line &Waiting = this->lineOf(Access);
  if (Waiting.size() >= this->Limits.QueueLength) {
    this->refuse(Held);
    return;
  }
  Waiting.push_back(std::move(Held));
  this->pump();
}

void StoreQueue::refuse(const std::shared_ptr<Entry> &Held) {
  ++this->Counts.Refused;
  this->Loop.after(Duration(0), [Held] {
    Held->Refused({ErrorCode::Unavailable,
                   "The store is unavailable or its budget is spent; the call "
                   "was not sent."});
  });
}

void StoreQueue::run(const std::shared_ptr<Entry> &Started) {
  this->Budget.start(Started->Access);
  ++(Started->Access == StoreAccess::Read ? this->Counts.Reads
                                          : this->Counts.Writes);
  const std::weak_ptr<bool> Living = this->Life;
  Started->Call([this, Living, Started](const Error *Reason) {
    return Living.expired() || this->settle(Started, Reason);
  });
}

bool StoreQueue::settle(const std::shared_ptr<Entry> &Ended,
                        const Error *Reason) {
  const bool Unavailable = Reason && Reason->Code == ErrorCode::Unavailable;
  this->Budget.finish(Unavailable);
  const bool Again = Unavailable && this->Loop.clock().now() < Ended->Deadline;
  if (Again) {
    ++this->Counts.Retries;
    this->lineOf(Ended->Access).push_front(Ended);
  }
  // Deferred so that the caller's handler runs before queued calls are started.
  this->Loop.cancel(this->Timer);
  this->Timer = this->Loop.after(Duration(0), [this] {
    this->Timer = 0;
    this->pump();
  });
  return !Again;
}

void StoreQueue::pump() {
  const Duration Read = this->pumpLine(StoreAccess::Read);
  const Duration Write = this->pumpLine(StoreAccess::Write);
  this->Loop.cancel(std::exchange(this->Timer, 0));
  if (this->Lines[0].empty() && this->Lines[1].empty())
    return;
  this->Timer = this->Loop.after(std::min(Read, Write), [this] {
    this->Timer = 0;
    this->pump();
  });
}

Duration StoreQueue::pumpLine(StoreAccess Access) {
  Line &Waiting = this->lineOf(Access);
  const Instant Now = this->Loop.clock().now();
  while (!Waiting.empty()) {
    const std::shared_ptr<Entry> Next = Waiting.front();
    if (Next->Deadline <= Now) {
      Waiting.pop_front();
      this->refuse(Next);
      continue;
    }
    const Duration Wait = this->Budget.waitFor(Access);
    if (Wait > Duration(0))
      return std::min(
          Wait, std::chrono::duration_cast<Duration>(Next->Deadline - Now));
    Waiting.pop_front();
    this->run(Next);
  }
  return this->Limits.MaxWait;
}

} // namespace turmericpass
