#include "StandIns/EngineBatch.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

EngineBatch::EngineBatch(EventLoop &Loop, std::uint32_t Slots, Events Report)
    : Loop(Loop), Slots(Slots), Report(std::move(Report)),
      LastStep(Loop.clock().now()) {}

EngineBatch::~EngineBatch() { this->Loop.cancel(this->Timer); }

void EngineBatch::add(Id Request) {
  if (this->Running.empty() && this->Waiting.empty())
    this->LastStep = this->Loop.clock().now();
  this->Waiting.push_back(Request);
  this->admit();
  this->scheduleStep();
}

void EngineBatch::remove(Id Request) {
  this->Running.erase(Request);
  std::erase(this->Waiting, Request);
  this->admit();
}

void EngineBatch::admit() {
  if (this->Report.Frozen())
    return;
  while (this->Running.size() < this->Slots && !this->Waiting.empty()) {
    const Id Request = this->Waiting.front();
    this->Waiting.pop_front();
    const Duration Prefill = this->Report.Started(Request);
    this->Running.emplace(Request, this->Loop.clock().now() + Prefill);
  }
}

void EngineBatch::scheduleStep() {
  if (this->Timer != 0 || (this->Running.empty() && this->Waiting.empty()))
    return;
  // Steps keep their pace when one is a little late.
  const Instant Now = this->Loop.clock().now();
  const Instant Due = std::max(this->LastStep + this->Report.StepLength(), Now);
  this->LastStep = Due;
  this->Timer =
      this->Loop.after(std::chrono::duration_cast<Duration>(Due - Now), [this] {
        this->Timer = 0;
        this->step();
      });
}

void EngineBatch::step() {
  if (!this->Report.Frozen()) {
    const Instant Now = this->Loop.clock().now();
    std::vector<Id> Ready;
    for (const auto &[Request, PrefillEnd] : this->Running)
      if (PrefillEnd <= Now)
        Ready.push_back(Request);
    for (const Id Request : Ready)
      if (this->Running.contains(Request) && !this->Report.Token(Request))
        this->Running.erase(Request);
    this->admit();
  }
  this->scheduleStep();
}

} // namespace turmericpass
