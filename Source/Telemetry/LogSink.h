#ifndef TURMERICPASS_TELEMETRY_LOGSINK_H
#define TURMERICPASS_TELEMETRY_LOGSINK_H

#include <string>

namespace turmericpass {

/// Makes writeLogLine() write to standard output. Must be called before the
/// first line is written.
void logToStandardOutput();

/// Returns whether a write to standard output would not block.
bool standardOutputIsReady();

/// Writes one formatted line through Boost.Log to standard error, or to
/// standard output after logToStandardOutput(). The first call sets up the
/// Boost.Log sink.
void writeLogLine(const std::string &Line);

} // namespace turmericpass

#endif
