#include "Platform/StoreBudget.h"

#include <algorithm>
#include <cmath>

namespace turmericpass {

namespace {

/// The share of the calls per second that may start in a burst. The rest is
/// refilled evenly over the second, so that no interval of one second exceeds
/// the limit.
constexpr double BurstShare = 0.1;

/// Bounds the exponent of the back-off; MaxRetryPause is reached earlier.
constexpr std::uint32_t MaxDoublings = 10;

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

StoreBudget::StoreBudget(const Clock &Time, const StoreLimits &Limits,
                         std::uint64_t Seed)
    : Time(Time), Reads(makeBucket(Limits.ReadsPerSecond, Time.now())),
      Writes(makeBucket(Limits.WritesPerSecond, Time.now())), Random(Seed),
      PausedUntil(Time.now()) {}

StoreBudget::Bucket StoreBudget::makeBucket(double PerSecond, Instant Now) {
  Bucket NewBucket;
  NewBucket.Burst = std::max(1.0, std::floor(PerSecond * BurstShare));
  NewBucket.PerSecond =
      PerSecond > NewBucket.Burst ? PerSecond - NewBucket.Burst : PerSecond;
  NewBucket.Tokens = NewBucket.Burst;
  NewBucket.LastRefill = Now;
  return NewBucket;
}

StoreBudget::Bucket &StoreBudget::bucketOf(StoreAccess Access) {
  return Access == StoreAccess::Read ? this->Reads : this->Writes;
}

Duration StoreBudget::timeUntilAllowed(StoreAccess Access) {
  const Instant Now = this->Time.now();
  if (Now < this->PausedUntil)
    return this->PausedUntil - Now;
  // recordEnd() reports the end of the probe.
  if (this->IsProbing)
    return MaxRetryPause;
  Bucket &Used = this->bucketOf(Access);
  Used.Tokens =
      std::min(Used.Burst,
               Used.Tokens + toSeconds(Now - Used.LastRefill) * Used.PerSecond);
  Used.LastRefill = Now;
  if (Used.Tokens >= 1)
    return Duration(0);
  const double WaitSeconds = (1 - Used.Tokens) / Used.PerSecond;
  return Duration(static_cast<std::int64_t>(std::ceil(WaitSeconds * 1e6)));
}

void StoreBudget::recordStart(StoreAccess Access) {
  this->bucketOf(Access).Tokens -= 1;
  this->IsProbing = this->ConsecutivePauses > 0;
}

void StoreBudget::recordEnd(bool Unavailable) {
  const Instant Now = this->Time.now();
  if (!Unavailable) {
    this->ConsecutivePauses = 0;
    this->IsProbing = false;
    this->PausedUntil = Now;
    return;
  }
  // Concurrent calls that fail during a pause belong to the same outage, so
  // they do not lengthen the pause.
  if (Now < this->PausedUntil)
    return;
  this->IsProbing = false;
  const Duration Pause =
      std::min(MaxRetryPause,
               InitialRetryPause *
                   (1U << std::min(this->ConsecutivePauses, MaxDoublings)));
  ++this->ConsecutivePauses;
  std::uniform_int_distribution<std::int64_t> Jitter(Pause.count() / 2,
                                                     Pause.count());
  this->PausedUntil = Now + Duration(Jitter(this->Random));
}

} // namespace turmericpass
