#include "Telemetry/BoundedLogger.h"

#include <utility>

namespace turmericpass {

BoundedLogger::BoundedLogger(const Clock &Time, Logger &Target,
                             int LinesPerSecond, std::function<bool()> CanWrite)
    : Time(Time), Target(Target), LinesPerSecond(LinesPerSecond),
      CanWrite(std::move(CanWrite)), SecondStart(Time.now()) {}

void BoundedLogger::log(LogLevel Level, std::string_view Text, Fields Values) {
  const Instant Now = this->Time.now();
  if (Now - this->SecondStart >= std::chrono::seconds(1)) {
    this->SecondStart = Now;
    this->LinesThisSecond = 0;
  }
  const bool IsOverLimit = Level < LogLevel::Warning &&
                           this->LinesThisSecond >= this->LinesPerSecond;
  if (IsOverLimit || !this->CanWrite()) {
    ++this->DroppedLines;
    return;
  }
  if (this->DroppedLines > 0)
    this->Target.log(LogLevel::Warning,
                     "Dropped log lines over the rate limit or while the "
                     "output was blocked.",
                     {{"count", std::exchange(this->DroppedLines, 0)}});
  ++this->LinesThisSecond;
  this->Target.log(Level, Text, Values);
}

} // namespace turmericpass
