#ifndef TURMERICPASS_TESTS_STANDINS_ENGINEPROMPT_H
#define TURMERICPASS_TESTS_STANDINS_ENGINEPROMPT_H

#include "Core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// A request to a model engine, read from its body.
struct EnginePrompt {
  /// The model asked for; empty if the body names none.
  std::string Model;
  std::string Text;
  bool Chat = false;
  bool Stream = false;
  /// Tokens of the whole answer, resumed ones included.
  std::uint64_t AnswerTokens = 0;
  /// "stop", or "length" if the caller's max_tokens ended the answer.
  std::string Reason;
  std::vector<std::uint32_t> ResumeTokenIds;
};

/// Reads the body of a completion. The answer's length is that of a hint such
/// as [[tokens=40]] in the prompt, at most max_tokens. Errors: InvalidArgument
/// for a body that is not valid or resumes from tokens of another answer.
Result<EnginePrompt> readEnginePrompt(const std::string &Body, bool Chat);

/// Returns the token at \p Index of the answer to \p Prompt; the same in
/// every engine.
std::uint32_t answerToken(std::string_view Prompt, std::uint64_t Index);

/// Returns the text of token \p Id.
std::string tokenText(std::uint32_t Id);

/// Returns the tokens of \p Prompt, counted as four bytes each.
std::uint32_t promptTokens(std::string_view Prompt);

} // namespace turmericpass

#endif
