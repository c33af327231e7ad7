#include "Scheduling/RetryBudget.h"

#include <algorithm>

namespace turmericpass {

RetryBudget::RetryBudget(double PerSuccess, double MaxBurst,
                         double RefillPerSecond, Instant Now)
    : Share(PerSuccess), Burst(MaxBurst), PerSecond(RefillPerSecond),
      Balance(MaxBurst), LastRefillTime(Now) {}

void RetryBudget::recordSuccess() {
  this->Balance = std::min(this->Burst, this->Balance + this->Share);
}

bool RetryBudget::isAvailable(Instant Now) {
  const double Seconds = toMillis(Now - this->LastRefillTime) / 1000;
  this->Balance =
      std::min(this->Burst, this->Balance + Seconds * this->PerSecond);
  this->LastRefillTime = Now;
  return this->Balance >= 1;
}

bool RetryBudget::tryTake(Instant Now) {
  if (!this->isAvailable(Now))
    return false;
  this->Balance -= 1;
  return true;
}

} // namespace turmericpass
