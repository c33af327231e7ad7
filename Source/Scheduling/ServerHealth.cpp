#include "Scheduling/ServerHealth.h"

#include <algorithm>

namespace turmericpass {

namespace {

// Servers become slow and recover within seconds, and each probe risks one
// request.
constexpr std::chrono::milliseconds ProbeInterval{400};
constexpr std::chrono::milliseconds InitialDownTime{1000};
constexpr std::uint32_t MaxDoublings = 4;
constexpr std::uint32_t InvalidAnswerLimit = 2;
constexpr std::chrono::milliseconds InitialPause{50};
constexpr std::uint32_t MaxPauseDoublings = 5;
// Several samples over some time are needed, because all streams of an engine
// give a sample in the same step.
constexpr std::uint32_t MinGoodSamples = 6;
constexpr std::chrono::milliseconds MinGoodTime{60};
// The window is restored in four steps: 1/4, 1/2, 3/4 and all of it.
constexpr std::chrono::milliseconds RecoveryStepTime{200};
constexpr std::uint32_t RecoveryStepCount = 4;

} // namespace

void ServerHealth::markSlow(Instant Now) {
  this->State = HealthState::Slow;
  this->StateSince = Now;
  this->GoodSamples = 0;
  this->NextProbeTime = Now + ProbeInterval;
}

void ServerHealth::markDown(Instant Now) {
  this->State = HealthState::Down;
  this->StateSince = Now;
  this->GoodSamples = 0;
  this->NextProbeTime =
      Now + InitialDownTime * (1U << std::min(this->LossCount, MaxDoublings));
  ++this->LossCount;
}

void ServerHealth::recordInvalidAnswer(Instant Now) {
  ++this->InvalidAnswerCount;
  this->GoodSamples = 0;
  if (this->InvalidAnswerCount < InvalidAnswerLimit)
    return;
  if (this->State != HealthState::Down)
    this->markSlow(Now);
  const std::uint32_t Doublings =
      std::min(this->InvalidAnswerCount - InvalidAnswerLimit, MaxDoublings);
  this->NextProbeTime = Now + ProbeInterval * (1U << Doublings);
}

void ServerHealth::recordRefusal(Instant Now) {
  const std::uint32_t Doublings =
      std::min(this->RefusalCount, MaxPauseDoublings);
  this->PauseEnd = Now + InitialPause * (1U << Doublings);
  ++this->RefusalCount;
}

void ServerHealth::recordGoodSample(Instant Now, std::uint32_t Weight) {
  this->RefusalCount = 0;
  if (this->State == HealthState::Normal) {
    this->LossCount = 0;
    return;
  }
  // Data that a lost server sent before its loss is no evidence of recovery.
  if (this->State != HealthState::Slow)
    return;
  if (this->GoodSamples == 0)
    this->GoodSince = Now;
  this->GoodSamples += Weight;
  if (this->GoodSamples >= MinGoodSamples &&
      Now - this->GoodSince >= MinGoodTime)
    this->startRecovery(Now);
}

void ServerHealth::startRecovery(Instant Now) {
  this->State = HealthState::Recovering;
  this->StateSince = Now;
  this->PauseEnd = Now;
}

void ServerHealth::recordProbe(Instant Now) {
  this->NextProbeTime = Now + ProbeInterval;
}

bool ServerHealth::isProbeDue(Instant Now) const {
  return (this->State == HealthState::Slow ||
          this->State == HealthState::Down) &&
         Now >= this->NextProbeTime && Now >= this->PauseEnd;
}

std::uint32_t ServerHealth::allowedRequests(std::uint32_t Limit, Instant Now) {
  if (Now < this->PauseEnd)
    return 0;
  if (this->State == HealthState::Normal)
    return Limit;
  if (this->State != HealthState::Recovering)
    return this->isProbeDue(Now) ? 1 : 0;
  const auto Step =
      static_cast<std::uint32_t>((Now - this->StateSince) / RecoveryStepTime) +
      1;
  if (Step < RecoveryStepCount)
    return std::max(1U, Limit * Step / RecoveryStepCount);
  this->State = HealthState::Normal;
  this->StateSince = Now;
  return Limit;
}

} // namespace turmericpass
