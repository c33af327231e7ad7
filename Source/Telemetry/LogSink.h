#ifndef TURMERICPASS_TELEMETRY_LOGSINK_H
#define TURMERICPASS_TELEMETRY_LOGSINK_H

#include <string>

namespace turmericpass {

/// Makes writeLogLine() write to standard output. Called before the first
/// line, if at all.
void logToStandardOutput();

/// Whether standard output takes a line without waiting.
bool standardOutputIsReady();

/// Writes one finished line to standard error, or to standard output if
/// logToStandardOutput() was called, through Boost.Log; set up on the first
/// call.
void writeLogLine(const std::string &Line);

} // namespace turmericpass

#endif
