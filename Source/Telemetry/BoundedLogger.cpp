#include "Telemetry/BoundedLogger.h"

#include <utility>

namespace turmericpass {

BoundedLogger::BoundedLogger(const Clock &Time, Logger &Target,
                             int LinesPerSecond, std::function<bool()> CanWrite)
    : Time(Time), Target(Target), LinesPerSecond(LinesPerSecond),
      CanWrite(std::move(CanWrite)), SecondBegan(Time.now()) {}

void BoundedLogger::log(LogLevel Level, std::string_view Text, Fields Values) {
  const Instant Now = this->Time.now();
  if (Now - this->SecondBegan >= std::chrono::seconds(1)) {
    this->SecondBegan = Now;
    this->Lines = 0;
  }
  const bool Spent =
      Level < LogLevel::Warning && this->Lines >= this->LinesPerSecond;
  if (Spent || !this->CanWrite()) {
    ++this->LeftOut;
    return;
  }
  if (this->LeftOut > 0)
    this->Target.log(LogLevel::Warning, "Log lines were left out.",
                     {{"count", std::exchange(this->LeftOut, 0)}});
  ++this->Lines;
  this->Target.log(Level, Text, Values);
}

} // namespace turmericpass
