#ifndef TURMERICPASS_TELEMETRY_BOUNDEDLOGGER_H
#define TURMERICPASS_TELEMETRY_BOUNDEDLOGGER_H

#include "Core/Clock.h"
#include "Telemetry/Logger.h"

#include <functional>

namespace turmericpass {

/// Forwards log lines to another logger and limits their rate, so that logging
/// does not compete with request handling for the processor under high load.
/// Warnings and errors are exempt from the rate limit. All lines are dropped
/// while the output is blocked. The next line that is written is preceded by a
/// warning with the number of dropped lines.
class BoundedLogger : public Logger {
public:
  /// \p CanWrite returns whether a line can be written without blocking.
  BoundedLogger(const Clock &Time, Logger &Target, int LinesPerSecond,
                std::function<bool()> CanWrite);

  void log(LogLevel Level, std::string_view Text, Fields Values = {}) override;

private:
  const Clock &Time;
  Logger &Target;
  int LinesPerSecond;
  std::function<bool()> CanWrite;
  Instant SecondStart;
  int LinesThisSecond = 0;
  std::int64_t DroppedLines = 0;
};

} // namespace turmericpass

#endif
