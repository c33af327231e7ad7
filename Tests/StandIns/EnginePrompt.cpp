#include "StandIns/EnginePrompt.h"

#include "Core/Hash.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace turmericpass {

namespace {

using Json = nlohmann::json;

/// The length of an answer to a request that names none.
constexpr std::uint64_t DefaultTokens = 16;

constexpr std::uint32_t Vocabulary = 50000;
constexpr std::size_t BytesPerToken = 4;

tl::unexpected<Error> invalid(const char *What) {
  return failure(ErrorCode::InvalidArgument, What);
}

Result<std::string> readMessages(const Json &Body) {
  const Json Messages = Body.value("messages", Json());
  if (!Messages.is_array())
    return invalid("Field 'messages' is not an array.");
  std::string Text;
  for (const Json &Message : Messages) {
    if (!Message.is_object() || !Message.contains("content") ||
        !Message["content"].is_string())
      return invalid("A message has no text in field 'content'.");
    const Json Role = Message.value("role", Json("user"));
    Text += (Role.is_string() ? Role.get<std::string>() : "user") + ": " +
            Message["content"].get<std::string>() + "\n";
  }
  return Text;
}

Result<std::string> readText(const Json &Body, bool Chat) {
  if (Chat)
    return readMessages(Body);
  const Json Prompt = Body.value("prompt", Json());
  if (!Prompt.is_string())
    return invalid("Field 'prompt' is not a string.");
  return Prompt.get<std::string>();
}

/// Returns N of [[tokens=N]].
std::optional<std::uint64_t> readHint(std::string_view Text) {
  constexpr std::string_view Mark = "[[tokens=";
  const std::size_t Found = Text.find(Mark);
  if (Found == std::string_view::npos)
    return std::nullopt;
  std::uint64_t Count = 0;
  const std::string_view Digits = Text.substr(Found + Mark.size());
  const auto Read =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Count);
  return Read.ec == std::errc() ? std::optional(Count) : std::nullopt;
}

Result<std::vector<std::uint32_t>> readResume(const Json &Body,
                                              const EnginePrompt &Prompt) {
  const Json Ids = Body.value("resume_token_ids", Json::array());
  if (!Ids.is_array())
    return invalid("Field 'resume_token_ids' is not an array.");
  std::vector<std::uint32_t> Read;
  for (const Json &Id : Ids) {
    // The answers are deterministic, so tokens of another answer show that
    // the caller mixed up two requests.
    if (!Id.is_number_unsigned() ||
        Id.get<std::uint64_t>() != answerToken(Prompt.Text, Read.size()))
      return invalid("The tokens to resume from are not of this answer.");
    Read.push_back(Id.get<std::uint32_t>());
  }
  return Read;
}

} // namespace

Result<EnginePrompt> readEnginePrompt(const std::string &Body, bool Chat) {
  const Json Fields = Json::parse(Body, nullptr, false);
  if (!Fields.is_object())
    return invalid("The body is not a JSON object.");
  EnginePrompt Prompt;
  Prompt.Chat = Chat;
  Prompt.Stream = Fields.value("stream", Json(false)) == Json(true);
  const Json Model = Fields.value("model", Json(""));
  Prompt.Model = Model.is_string() ? Model.get<std::string>() : "";
  Result<std::string> Text = readText(Fields, Chat);
  if (!Text)
    return tl::make_unexpected(Text.error());
  Prompt.Text = std::move(*Text);
  const Json Limit = Fields.value("max_tokens", Json());
  const std::uint64_t MaxTokens =
      Limit.is_number_unsigned() ? Limit.get<std::uint64_t>() : UINT64_MAX;
  const std::uint64_t Wanted =
      readHint(Prompt.Text)
          .value_or(MaxTokens == UINT64_MAX ? DefaultTokens : MaxTokens);
  Prompt.AnswerTokens = std::min(Wanted, MaxTokens);
  Prompt.Reason = Wanted >= MaxTokens ? "length" : "stop";
  Result<std::vector<std::uint32_t>> Resume = readResume(Fields, Prompt);
  if (!Resume)
    return tl::make_unexpected(Resume.error());
  Prompt.ResumeTokenIds = std::move(*Resume);
  return Prompt;
}

std::uint32_t answerToken(std::string_view Prompt, std::uint64_t Index) {
  return static_cast<std::uint32_t>(hash64(Prompt, Index) % Vocabulary);
}

std::string tokenText(std::uint32_t Id) { return " w" + std::to_string(Id); }

std::uint32_t promptTokens(std::string_view Prompt) {
  return static_cast<std::uint32_t>(Prompt.size() / BytesPerToken + 1);
}

} // namespace turmericpass
