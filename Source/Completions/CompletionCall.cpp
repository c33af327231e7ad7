#include "Completions/CompletionCall.h"

#include "Completions/CallerJson.h"

#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

using nlohmann::json;

/// The maximum accepted token limit. No engine returns more tokens, and the
/// value fits into 32 bits.
constexpr std::uint64_t MaxTokensBound = 10'000'000;

tl::unexpected<Error> invalidField(const std::string &Field,
                                   const std::string &Allowed) {
  return failure(ErrorCode::InvalidArgument,
                 "Field \"" + Field + "\" must be " + Allowed + ".");
}

Result<bool> readFlag(const json &Object, const std::string &Field) {
  const auto Found = Object.find(Field);
  if (Found == Object.end() || Found->is_null())
    return false;
  if (!Found->is_boolean())
    return invalidField(Field, "true or false");
  return Found->get<bool>();
}

Result<std::uint32_t> readCount(const json &Object, const std::string &Field) {
  const auto Found = Object.find(Field);
  if (Found == Object.end() || Found->is_null())
    return 0;
  if (!Found->is_number_unsigned() || Found->get<std::uint64_t>() < 1 ||
      Found->get<std::uint64_t>() > MaxTokensBound)
    return invalidField(Field, "a whole number from 1 to " +
                                   std::to_string(MaxTokensBound));
  return Found->get<std::uint32_t>();
}

/// Appends the content of a message, which is a string or a list of parts, to
/// \p Prompt. Returns false if the content is invalid.
bool appendContent(const json &Content, std::string &Prompt) {
  if (Content.is_null())
    return true;
  if (Content.is_string()) {
    Prompt += Content.get_ref<const std::string &>();
    return true;
  }
  if (!Content.is_array())
    return false;
  for (const json &Part : Content) {
    if (!Part.is_object())
      return false;
    const auto Text = Part.find("text");
    if (Text != Part.end() && Text->is_string())
      Prompt += Text->get_ref<const std::string &>();
    else
      Prompt += Part.dump();
  }
  return true;
}

Result<std::string> readMessages(const json &Object) {
  const auto Found = Object.find("messages");
  if (Found == Object.end() || !Found->is_array() || Found->empty())
    return invalidField("messages", "a list of at least one message");
  std::string Prompt;
  for (const json &Message : *Found) {
    if (!Message.is_object() || !Message.contains("role") ||
        !Message["role"].is_string())
      return invalidField("messages", "a list of objects with a \"role\"");
    Prompt += Message["role"].get_ref<const std::string &>();
    Prompt += ": ";
    const auto Content = Message.find("content");
    if (Content != Message.end() && !appendContent(*Content, Prompt))
      return invalidField("messages[].content", "a text or a list of parts");
    Prompt += '\n';
  }
  return Prompt;
}

Result<std::string> readPrompt(const json &Object) {
  const auto Found = Object.find("prompt");
  if (Found == Object.end() || !Found->is_string())
    return invalidField("prompt", "a text; send one request for each prompt");
  return Found->get<std::string>();
}

Result<bool> readIncludeUsage(const json &Object) {
  const auto Found = Object.find("stream_options");
  if (Found == Object.end() || Found->is_null())
    return false;
  if (!Found->is_object())
    return invalidField("stream_options", "an object");
  return readFlag(*Found, "include_usage");
}

Result<void> checkAnswerCount(const json &Object) {
  const auto Found = Object.find("n");
  if (Found == Object.end() || Found->is_null() || *Found == 1)
    return {};
  return invalidField("n", "1; send one request for each answer");
}

} // namespace

Result<CompletionCall> parseCompletionCall(bool Chat, const std::string &Body) {
  const Result<json> Object = parseCallerObject(Body);
  if (!Object)
    return tl::make_unexpected(Object.error());
  const auto Model = Object->find("model");
  if (Model == Object->end() || !Model->is_string())
    return invalidField("model", "the name of a model");
  Result<std::string> Prompt =
      Chat ? readMessages(*Object) : readPrompt(*Object);
  if (!Prompt)
    return tl::make_unexpected(Prompt.error());
  const Result<bool> Stream = readFlag(*Object, "stream");
  if (!Stream)
    return tl::make_unexpected(Stream.error());
  const Result<bool> IncludeUsage = readIncludeUsage(*Object);
  if (!IncludeUsage)
    return tl::make_unexpected(IncludeUsage.error());
  const Result<std::uint32_t> MaxTokens = readCount(*Object, "max_tokens");
  if (!MaxTokens)
    return tl::make_unexpected(MaxTokens.error());
  const Result<std::uint32_t> MaxCompletionTokens =
      readCount(*Object, "max_completion_tokens");
  if (!MaxCompletionTokens)
    return tl::make_unexpected(MaxCompletionTokens.error());
  if (const Result<void> CountCheck = checkAnswerCount(*Object); !CountCheck)
    return tl::make_unexpected(CountCheck.error());
  return CompletionCall{Chat,
                        Model->get<std::string>(),
                        *Stream,
                        *IncludeUsage,
                        *MaxCompletionTokens ? *MaxCompletionTokens
                                             : *MaxTokens,
                        std::move(*Prompt)};
}

} // namespace turmericpass
