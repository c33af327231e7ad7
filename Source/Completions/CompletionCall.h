#ifndef TURMERICPASS_COMPLETIONS_COMPLETIONCALL_H
#define TURMERICPASS_COMPLETIONS_COMPLETIONCALL_H

#include "Core/Error.h"

#include <cstdint>
#include <string>

namespace turmericpass {

/// What the gateway itself needs of a body of /v1/chat/completions or
/// /v1/completions. The body goes to the engine unchanged.
struct CompletionCall {
  bool Chat = true;
  std::string Model;
  bool Stream = false;
  /// Whether a stream ends with an event that tells the usage.
  bool IncludeUsage = false;
  /// The most tokens that the caller wants; 0 if it did not say.
  std::uint32_t MaxTokens = 0;
  /// All text of the prompt, for the estimate of its size and its prefix.
  std::string Prompt;
};

/// Reads \p Body. Errors: Malformed (no JSON), InvalidArgument (a field is
/// missing or has the wrong type; the message names it).
Result<CompletionCall> parseCompletionCall(bool Chat, const std::string &Body);

} // namespace turmericpass

#endif
