#ifndef TURMERICPASS_TELEMETRY_BOUNDEDLOGGER_H
#define TURMERICPASS_TELEMETRY_BOUNDEDLOGGER_H

#include "Core/Clock.h"
#include "Telemetry/Logger.h"

#include <functional>

namespace turmericpass {

/// Passes records on, but at most so many a second, so that a storm of
/// decisions does not take the processor from the decisions. Warnings and
/// errors always pass. What was left out is counted and said.
class BoundedLogger : public Logger {
public:
  /// \p CanWrite tells whether a line can be written without waiting.
  BoundedLogger(const Clock &Time, Logger &Target, int LinesPerSecond,
                std::function<bool()> CanWrite);

  void log(LogLevel Level, std::string_view Text, Fields Values = {}) override;

private:
  const Clock &Time;
  Logger &Target;
  int LinesPerSecond;
  std::function<bool()> CanWrite;
  Instant SecondBegan;
  int Lines = 0;
  std::int64_t LeftOut = 0;
};

} // namespace turmericpass

#endif
