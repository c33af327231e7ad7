#ifndef TURMERICPASS_BACKENDS_ENGINEPROTOCOL_H
#define TURMERICPASS_BACKENDS_ENGINEPROTOCOL_H

#include "Backends/BackendPort.h"

#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// The data of the event that marks the end of a complete stream.
inline constexpr std::string_view DoneEvent = "[DONE]";

/// One event of a model engine's stream.
struct EngineEvent {
  TokenBatch Tokens;
  /// The finish reason; empty except in the last event of a choice.
  std::string Reason;
};

/// Parses the data of an event of a chat or text completion. Errors: Malformed
/// for invalid JSON, for wrong types, and for text without token ids, because
/// an answer cannot be resumed after such text.
Result<EngineEvent> parseEngineEvent(std::string_view Data);

/// Returns the body of \p Work with streaming enabled and with the ids of the
/// tokens to resume after. Errors: InvalidArgument if the body is not a JSON
/// object.
Result<std::string> buildEngineBody(const Submit &Work);

/// Parses the response body of GET /load. Errors: Malformed.
Result<LoadReport> parseLoadReport(std::string_view Body);

/// Parses the response body of GET /cache-events. Errors: Malformed.
Result<std::vector<CacheEvent>> parseCacheEvents(std::string_view Body);

} // namespace turmericpass

#endif
