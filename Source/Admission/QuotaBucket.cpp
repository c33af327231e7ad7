#include "Admission/QuotaBucket.h"

#include <algorithm>
#include <cmath>

namespace turmericpass {

namespace {

constexpr Duration MaxWait = std::chrono::hours(1);

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

void QuotaBucket::configure(double NewRate, double NewCapacity, Instant Now) {
  if (!this->Configured) {
    this->Configured = true;
    this->Level = NewCapacity;
    this->RefilledAt = Now;
  }
  this->refill(Now);
  this->Rate = NewRate;
  this->Capacity = NewCapacity;
  this->Level = std::min(this->Level, NewCapacity);
}

void QuotaBucket::refill(Instant Now) {
  if (Now <= this->RefilledAt)
    return;
  this->Level =
      std::min(this->Capacity,
               this->Level + this->Rate * toSeconds(Now - this->RefilledAt));
  this->RefilledAt = Now;
}

bool QuotaBucket::take(double Cost, Instant Now) {
  this->refill(Now);
  if (this->Level <= 0)
    return false;
  this->Level -= Cost;
  return true;
}

void QuotaBucket::adjust(double Amount, Instant Now) {
  this->refill(Now);
  this->Level = std::min(this->Capacity, this->Level + Amount);
}

Duration QuotaBucket::timeUntilAvailable(Instant Now) {
  this->refill(Now);
  if (this->Level > 0)
    return Duration{0};
  if (this->Rate <= 0)
    return MaxWait;
  const double Seconds = -this->Level / this->Rate;
  if (Seconds >= toSeconds(MaxWait))
    return MaxWait;
  return Duration(static_cast<Duration::rep>(std::ceil(Seconds * 1e6)) + 1);
}

} // namespace turmericpass
