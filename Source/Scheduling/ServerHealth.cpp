#include "Scheduling/ServerHealth.h"

#include <algorithm>

namespace turmericpass {

namespace {

// Servers become slow and recover within seconds, and each probe risks one
// request.
constexpr std::chrono::milliseconds ProbeInterval{400};
constexpr std::chrono::milliseconds FirstDownTime{1000};
constexpr std::uint32_t MostDoublings = 4;
constexpr std::uint32_t TooManyBadAnswers = 2;
constexpr std::chrono::milliseconds FirstPause{50};
constexpr std::uint32_t MostPauseDoublings = 5;
// Several samples over some time are needed, because all streams of an engine
// give a sample in the same step.
constexpr std::uint32_t EnoughGood = 6;
constexpr std::chrono::milliseconds GoodTime{60};
// The window is restored in four steps: 1/4, 1/2, 3/4 and all of it.
constexpr std::chrono::milliseconds ReturnStep{200};
constexpr std::uint32_t ReturnSteps = 4;

} // namespace

void ServerHealth::markSlow(Instant Now) {
  this->State = HealthState::Slow;
  this->Since = Now;
  this->Good = 0;
  this->NextProbe = Now + ProbeInterval;
}

void ServerHealth::markDown(Instant Now) {
  this->State = HealthState::Down;
  this->Since = Now;
  this->Good = 0;
  this->NextProbe =
      Now + FirstDownTime * (1U << std::min(this->Losses, MostDoublings));
  ++this->Losses;
}

void ServerHealth::badAnswer(Instant Now) {
  ++this->BadAnswers;
  this->Good = 0;
  if (this->BadAnswers < TooManyBadAnswers)
    return;
  if (this->State != HealthState::Down)
    this->markSlow(Now);
  const std::uint32_t Doublings =
      std::min(this->BadAnswers - TooManyBadAnswers, MostDoublings);
  this->NextProbe = Now + ProbeInterval * (1U << Doublings);
}

void ServerHealth::refused(Instant Now) {
  const std::uint32_t Doublings = std::min(this->Refusals, MostPauseDoublings);
  this->PausedUntil = Now + FirstPause * (1U << Doublings);
  ++this->Refusals;
}

void ServerHealth::goodSample(Instant Now, std::uint32_t Weight) {
  this->Refusals = 0;
  if (this->State == HealthState::Normal) {
    this->Losses = 0;
    return;
  }
  // Data that a lost server sent before its loss is no evidence of recovery.
  if (this->State != HealthState::Slow)
    return;
  if (this->Good == 0)
    this->GoodSince = Now;
  this->Good += Weight;
  if (this->Good >= EnoughGood && Now - this->GoodSince >= GoodTime)
    this->startReturn(Now);
}

void ServerHealth::startReturn(Instant Now) {
  this->State = HealthState::Returning;
  this->Since = Now;
  this->PausedUntil = Now;
}

void ServerHealth::probed(Instant Now) {
  this->NextProbe = Now + ProbeInterval;
}

bool ServerHealth::probeDue(Instant Now) const {
  return (this->State == HealthState::Slow ||
          this->State == HealthState::Down) &&
         Now >= this->NextProbe && Now >= this->PausedUntil;
}

std::uint32_t ServerHealth::allowance(std::uint32_t Limit, Instant Now) {
  if (Now < this->PausedUntil)
    return 0;
  if (this->State == HealthState::Normal)
    return Limit;
  if (this->State != HealthState::Returning)
    return this->probeDue(Now) ? 1 : 0;
  const auto Step =
      static_cast<std::uint32_t>((Now - this->Since) / ReturnStep) + 1;
  if (Step < ReturnSteps)
    return std::max(1U, Limit * Step / ReturnSteps);
  this->State = HealthState::Normal;
  this->Since = Now;
  return Limit;
}

} // namespace turmericpass
