#include "Scheduling/ConcurrencyWindow.h"

#include <algorithm>
#include <cmath>

namespace turmericpass {

namespace {

// The times to first token of a healthy server differ by up to this factor
// between short and long prompts. Only a larger increase indicates queueing.
constexpr double QueueingTolerance = 2.0;
constexpr double ShortTermWeight = 0.3;
constexpr double LongTermWeight = 0.02;
constexpr double LimitSmoothing = 0.2;
constexpr double MinGradient = 0.5;
// The assumed KV cache capacity of an engine that has not reported its load. It
// is large enough for the request limit to apply first.
constexpr double TokensPerSlot = 4096;
constexpr double HighKvUsage = 0.92;
constexpr double LowKvUsage = 0.8;
constexpr double TokenCutFactor = 0.85;
constexpr double TokenGrowthFactor = 1.02;
constexpr double MinTokenLimit = 1024;
// The effect of a cut shows only in reports that were made after it. The margin
// covers the polling interval.
constexpr std::chrono::milliseconds PollingMargin{200};

} // namespace

ConcurrencyWindow::ConcurrencyWindow(std::uint32_t SlotCount)
    : Slots(std::max(1U, SlotCount)),
      // Requests of the previous owner may still run on the server.
      RequestLimit(std::max(1.0, this->Slots / 4.0)),
      TokenLimit(TokensPerSlot * this->Slots) {}

void ConcurrencyWindow::setSlots(std::uint32_t SlotCount) {
  if (SlotCount == this->Slots)
    return;
  this->Slots = std::max(1U, SlotCount);
  this->RequestLimit =
      std::min(this->RequestLimit, static_cast<double>(this->Slots));
  this->TokenLimit = TokensPerSlot * this->Slots;
}

void ConcurrencyWindow::recordFirstToken(Duration Elapsed) {
  const double Sample = std::max(0.1, toMillis(Elapsed));
  ++this->SampleCount;
  // The first samples have equal weights, so that a short first sample does not
  // make all later ones look slow.
  const double InitialWeight = 1.0 / this->SampleCount;
  this->ShortTermMs +=
      std::max(ShortTermWeight, InitialWeight) * (Sample - this->ShortTermMs);
  this->LongTermMs +=
      std::max(LongTermWeight, InitialWeight) * (Sample - this->LongTermMs);
  // After a slow period, a high long-term mean would hide new queueing.
  if (this->LongTermMs > QueueingTolerance * this->ShortTermMs)
    this->LongTermMs *= 0.95;
  const double Gradient =
      std::clamp(QueueingTolerance * this->LongTermMs / this->ShortTermMs,
                 MinGradient, 1.0);
  if (Gradient < 1.0)
    this->IsInSlowStart = false;
  const double Target =
      this->RequestLimit * Gradient + std::sqrt(this->RequestLimit);
  // Long answers give few samples, so the limit initially doubles in each
  // round, as in TCP slow start, until queueing is detected.
  this->RequestLimit += this->IsInSlowStart
                            ? 1.0
                            : LimitSmoothing * (Target - this->RequestLimit);
  this->RequestLimit =
      std::clamp(this->RequestLimit, 1.0, static_cast<double>(this->Slots));
}

void ConcurrencyWindow::recordRefusal() {
  this->IsInSlowStart = false;
  this->RequestLimit = std::max(1.0, this->RequestLimit * 0.8);
}

void ConcurrencyWindow::handleLoadReport(double KvCacheUsage, Duration Age,
                                         std::uint64_t TokensInFlight,
                                         Instant Now) {
  if (KvCacheUsage > HighKvUsage) {
    if (Now - this->LastTokenCutTime < Age + PollingMargin)
      return;
    this->LastTokenCutTime = Now;
    this->TokenLimit = std::max(
        MinTokenLimit, TokenCutFactor * static_cast<double>(TokensInFlight));
  } else if (KvCacheUsage < LowKvUsage) {
    this->TokenLimit = std::min(this->TokenLimit * TokenGrowthFactor,
                                TokensPerSlot * this->Slots);
  }
}

std::uint32_t ConcurrencyWindow::requestLimit() const {
  // The smoothed value approaches the bound without reaching it, so it is
  // rounded.
  return std::clamp(static_cast<std::uint32_t>(std::lround(this->RequestLimit)),
                    1U, this->Slots);
}

std::uint64_t ConcurrencyWindow::tokenLimit() const {
  return static_cast<std::uint64_t>(this->TokenLimit);
}

} // namespace turmericpass
