#ifndef TURMERICPASS_COMPLETIONS_COMPLETIONWRITER_H
#define TURMERICPASS_COMPLETIONS_COMPLETIONWRITER_H

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace turmericpass {

/// What every object of one answer repeats.
struct CompletionHead {
  std::string Id;
  std::string Model;
  bool Chat = true;
  /// Seconds since 1970.
  std::int64_t Created = 0;
  std::uint32_t PromptTokens = 0;
};

/// Writes one answer of a model in the common format, either as server-sent
/// events or as one object.
class CompletionWriter {
public:
  explicit CompletionWriter(CompletionHead Head);

  /// Returns the event for the next piece of text, empty if the text ends
  /// within a character: tokens may split one, and JSON holds whole ones only.
  std::string piece(std::string_view Text);

  /// Returns the event that tells why the answer ended, after any text held
  /// back.
  std::string ending(const std::string &Reason);

  /// Returns the event that tells the usage.
  std::string usage(std::uint64_t Tokens) const;

  /// Returns the event that ends a whole stream.
  static std::string done();

  /// Returns the event that tells that the answer cannot be finished.
  static std::string error(const std::string &ProblemJson);

  /// Returns the whole answer as one object.
  std::string whole(const std::string &Text, const std::string &Reason,
                    std::uint64_t Tokens) const;

private:
  nlohmann::json object(const char *Kind) const;
  nlohmann::json usageOf(std::uint64_t Tokens) const;
  std::string event(const std::string &Text);

  CompletionHead Head;
  bool Started = false;
  /// The bytes of a character that is not complete.
  std::string Held;
};

} // namespace turmericpass

#endif
