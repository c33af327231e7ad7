#ifndef TURMERICPASS_COMPLETIONS_COMPLETIONCALL_H
#define TURMERICPASS_COMPLETIONS_COMPLETIONCALL_H

#include "Core/Error.h"

#include <cstdint>
#include <string>

namespace turmericpass {

/// The fields that the gateway reads from the request body of
/// /v1/chat/completions or /v1/completions. The body itself is passed on
/// unchanged.
struct CompletionCall {
  bool Chat = true;
  std::string Model;
  bool Stream = false;
  /// Whether the stream ends with an event that reports the token usage.
  bool IncludeUsage = false;
  /// The maximum number of tokens requested; 0 if the request has no limit.
  std::uint32_t MaxTokens = 0;
  /// The complete prompt text, used to estimate its size and to hash its
  /// prefix.
  std::string Prompt;
};

/// Parses \p Body. Errors: Malformed if it is not a JSON object,
/// InvalidArgument if a field is missing or invalid; the message names the
/// field.
Result<CompletionCall> parseCompletionCall(bool Chat, const std::string &Body);

} // namespace turmericpass

#endif
