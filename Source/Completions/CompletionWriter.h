#ifndef TURMERICPASS_COMPLETIONS_COMPLETIONWRITER_H
#define TURMERICPASS_COMPLETIONS_COMPLETIONWRITER_H

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace turmericpass {

/// The fields that are repeated in every object of one answer.
struct CompletionMetadata {
  std::string Id;
  std::string Model;
  bool Chat = true;
  /// The creation time in seconds since the Unix epoch.
  std::int64_t Created = 0;
  std::uint32_t PromptTokens = 0;
};

/// Formats one answer of a model as /v1/chat/completions and /v1/completions
/// define it, either as server-sent events or as a single JSON object.
class CompletionWriter {
public:
  explicit CompletionWriter(CompletionMetadata Metadata);

  /// Returns the event for the next piece of text. An incomplete UTF-8
  /// character at its end is buffered, because tokens may split a character and
  /// JSON must be valid UTF-8. Returns an empty string if no complete character
  /// remains.
  std::string formatText(std::string_view Text);

  /// Returns the event with the finish reason, preceded by an event for any
  /// buffered text.
  std::string formatEnd(const std::string &Reason);

  /// Returns the event that reports the token usage.
  std::string formatUsage(std::uint64_t Tokens) const;

  /// Returns the event that marks the end of a complete stream.
  static std::string formatDone();

  /// Returns the event that reports that the answer cannot be completed.
  static std::string formatError(const std::string &ProblemJson);

  /// Returns the complete answer as a single JSON object.
  std::string formatAnswer(const std::string &Text, const std::string &Reason,
                           std::uint64_t Tokens) const;

private:
  nlohmann::json makeObject(const char *Kind) const;
  nlohmann::json buildUsage(std::uint64_t Tokens) const;
  std::string formatChunk(const std::string &Text);

  CompletionMetadata Metadata;
  bool HasSentRole = false;
  /// The bytes of an incomplete UTF-8 character.
  std::string IncompleteCharacter;
};

} // namespace turmericpass

#endif
