#include "Scheduling/ConcurrencyWindow.h"

#include <algorithm>
#include <cmath>

namespace turmericpass {

namespace {

// Times to first token of one healthy server differ by up to this factor
// between short and long prompts; only more than that is queueing.
constexpr double Tolerance = 2.0;
constexpr double ShortWeight = 0.3;
constexpr double LongWeight = 0.02;
constexpr double Smoothing = 0.2;
constexpr double SmallestGradient = 0.5;
// An engine that has not reported its KV cache is taken to hold this many
// tokens for each slot, so that the requests bind first.
constexpr double TokensPerSlot = 4096;
constexpr double KvHigh = 0.92;
constexpr double KvLow = 0.8;
constexpr double TokenCut = 0.85;
constexpr double TokenGrowth = 1.02;
constexpr double LeastTokens = 1024;
// A cut shows in reports only after their age; the margin covers polling.
constexpr std::chrono::milliseconds ReportMargin{200};

} // namespace

ConcurrencyWindow::ConcurrencyWindow(std::uint32_t SlotCount)
    : Slots(std::max(1U, SlotCount)),
      // A new owner does not know what the last owner still has there.
      Limit(std::max(1.0, this->Slots / 4.0)),
      TokenLimit(TokensPerSlot * this->Slots) {}

void ConcurrencyWindow::setSlots(std::uint32_t SlotCount) {
  if (SlotCount == this->Slots)
    return;
  this->Slots = std::max(1U, SlotCount);
  this->Limit = std::min(this->Limit, static_cast<double>(this->Slots));
  this->TokenLimit = TokensPerSlot * this->Slots;
}

void ConcurrencyWindow::firstTokenAfter(Duration Elapsed) {
  const double Sample = std::max(0.1, toMillis(Elapsed));
  ++this->Samples;
  // At first both are plain means, so that one quick first sample does not
  // make all later ones look slow.
  const double Start = 1.0 / this->Samples;
  this->ShortMs += std::max(ShortWeight, Start) * (Sample - this->ShortMs);
  this->LongMs += std::max(LongWeight, Start) * (Sample - this->LongMs);
  // After a slow spell the long-term mean would hide new queueing.
  if (this->LongMs > Tolerance * this->ShortMs)
    this->LongMs *= 0.95;
  const double Gradient = std::clamp(Tolerance * this->LongMs / this->ShortMs,
                                     SmallestGradient, 1.0);
  if (Gradient < 1.0)
    this->SlowStart = false;
  const double Target = this->Limit * Gradient + std::sqrt(this->Limit);
  // Long answers give few samples, so the first growth doubles the window in
  // each round, as TCP's slow start does, until queueing shows.
  this->Limit += this->SlowStart ? 1.0 : Smoothing * (Target - this->Limit);
  this->Limit = std::clamp(this->Limit, 1.0, static_cast<double>(this->Slots));
}

void ConcurrencyWindow::refused() {
  this->SlowStart = false;
  this->Limit = std::max(1.0, this->Limit * 0.8);
}

void ConcurrencyWindow::handleLoadReport(double KvCacheUsage, Duration Age,
                                         std::uint64_t TokensInFlight,
                                         Instant Now) {
  if (KvCacheUsage > KvHigh) {
    if (Now - this->LastTokenCut < Age + ReportMargin)
      return;
    this->LastTokenCut = Now;
    this->TokenLimit =
        std::max(LeastTokens, TokenCut * static_cast<double>(TokensInFlight));
  } else if (KvCacheUsage < KvLow) {
    this->TokenLimit =
        std::min(this->TokenLimit * TokenGrowth, TokensPerSlot * this->Slots);
  }
}

std::uint32_t ConcurrencyWindow::requests() const {
  // Rounding lets the smoothed value reach the bound.
  return std::clamp(static_cast<std::uint32_t>(std::lround(this->Limit)), 1U,
                    this->Slots);
}

std::uint64_t ConcurrencyWindow::tokens() const {
  return static_cast<std::uint64_t>(this->TokenLimit);
}

} // namespace turmericpass
