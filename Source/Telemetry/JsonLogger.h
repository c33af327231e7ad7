#ifndef TURMERICPASS_TELEMETRY_JSONLOGGER_H
#define TURMERICPASS_TELEMETRY_JSONLOGGER_H

#include "Telemetry/Logger.h"

namespace turmericpass {

class Clock;

/// Writes each log line as a JSON object with writeLogLine().
class JsonLogger : public Logger {
public:
  /// Every line contains \p Program and \p Node. Lines below \p MinimumLevel
  /// are dropped.
  JsonLogger(const Clock &Time, std::string Program, std::string Node,
             LogLevel MinimumLevel);

  void log(LogLevel Level, std::string_view Text, Fields Values = {}) override;

private:
  const Clock &Time;
  std::string Program;
  std::string Node;
  LogLevel MinimumLevel;
};

} // namespace turmericpass

#endif
