#ifndef TURMERICPASS_TELEMETRY_JSONLOGGER_H
#define TURMERICPASS_TELEMETRY_JSONLOGGER_H

#include "Telemetry/Logger.h"

namespace turmericpass {

class Clock;

/// Writes JSON lines to standard error through Boost.Log.
class JsonLogger : public Logger {
public:
  /// \p Program and \p Node stand in every line. Lines below \p Least are
  /// dropped.
  JsonLogger(const Clock &Time, std::string Program, std::string Node,
             LogLevel Least);

  void log(LogLevel Level, std::string_view Text, Fields Values = {}) override;

private:
  const Clock &Time;
  std::string Program;
  std::string Node;
  LogLevel Least;
};

} // namespace turmericpass

#endif
