#ifndef TURMERICPASS_BACKENDS_ENGINEPROTOCOL_H
#define TURMERICPASS_BACKENDS_ENGINEPROTOCOL_H

#include "Backends/BackendPort.h"

#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// The data of the event that ends a whole stream.
inline constexpr std::string_view DoneEvent = "[DONE]";

/// One event of a model engine's stream.
struct EngineEvent {
  TokenBatch Tokens;
  /// The finish reason; empty but for the last event of a choice.
  std::string Reason;
};

/// Reads the data of an event of a chat or a text completion. Errors:
/// Malformed for invalid JSON, wrong types, or text without token ids, after
/// which the answer could not be resumed.
Result<EngineEvent> parseEngineEvent(std::string_view Data);

/// Returns the body of \p Work with streaming switched on and the tokens to
/// resume after. Errors: InvalidArgument if the body is not a JSON object.
Result<std::string> buildEngineBody(const Submit &Work);

/// Reads the answer of GET /load. Errors: Malformed.
Result<LoadReport> parseLoadReport(std::string_view Body);

/// Reads the answer of GET /cache-events. Errors: Malformed.
Result<std::vector<CacheEvent>> parseCacheEvents(std::string_view Body);

} // namespace turmericpass

#endif
