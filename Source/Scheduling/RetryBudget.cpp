#include "Scheduling/RetryBudget.h"

#include <algorithm>

namespace turmericpass {

RetryBudget::RetryBudget(double PerSuccess, double Most, double Trickle,
                         Instant Now)
    : Share(PerSuccess), Burst(Most), PerSecond(Trickle), Level(Most),
      Filled(Now) {}

void RetryBudget::succeeded() {
  this->Level = std::min(this->Burst, this->Level + this->Share);
}

bool RetryBudget::available(Instant Now) {
  const double Seconds = toMillis(Now - this->Filled) / 1000;
  this->Level = std::min(this->Burst, this->Level + Seconds * this->PerSecond);
  this->Filled = Now;
  return this->Level >= 1;
}

bool RetryBudget::take(Instant Now) {
  if (!this->available(Now))
    return false;
  this->Level -= 1;
  return true;
}

} // namespace turmericpass
