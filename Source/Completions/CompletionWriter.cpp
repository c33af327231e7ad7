#include "Completions/CompletionWriter.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace turmericpass {

namespace {

using nlohmann::json;

std::string dump(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string toEvent(const json &Value) {
  return "data: " + dump(Value) + "\n\n";
}

/// Returns the length of the incomplete UTF-8 character at the end of \p Text,
/// or 0 if there is none.
std::size_t incompleteCharacterLength(std::string_view Text) {
  for (std::size_t Back = 1; Back <= 3 && Back <= Text.size(); ++Back) {
    const auto Byte = static_cast<unsigned char>(Text[Text.size() - Back]);
    if (Byte < 0x80)
      return 0;
    if (Byte < 0xC0)
      continue;
    const std::size_t Length = Byte >= 0xF0 ? 4 : Byte >= 0xE0 ? 3 : 2;
    return Length > Back ? Back : 0;
  }
  return 0;
}

json toFinishReason(const std::string &Reason) {
  return Reason.empty() ? json("stop") : json(Reason);
}

} // namespace

CompletionWriter::CompletionWriter(CompletionMetadata Metadata)
    : Metadata(std::move(Metadata)) {}

json CompletionWriter::makeObject(const char *Kind) const {
  return {{"id", this->Metadata.Id},
          {"object", Kind},
          {"created", this->Metadata.Created},
          {"model", this->Metadata.Model},
          {"choices", json::array()}};
}

json CompletionWriter::buildUsage(std::uint64_t Tokens) const {
  return {{"prompt_tokens", this->Metadata.PromptTokens},
          {"completion_tokens", Tokens},
          {"total_tokens", this->Metadata.PromptTokens + Tokens}};
}

std::string CompletionWriter::formatChunk(const std::string &Text) {
  json Choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (!this->Metadata.Chat) {
    Choice["text"] = Text;
  } else {
    Choice["delta"] = {{"content", Text}};
    if (!std::exchange(this->HasSentRole, true))
      Choice["delta"]["role"] = "assistant";
  }
  json Object = this->makeObject(this->Metadata.Chat ? "chat.completion.chunk"
                                                     : "text_completion");
  Object["choices"].push_back(std::move(Choice));
  return toEvent(Object);
}

std::string CompletionWriter::formatText(std::string_view Text) {
  std::string CompleteText = std::exchange(this->IncompleteCharacter, {});
  CompleteText += Text;
  const std::size_t Tail = incompleteCharacterLength(CompleteText);
  this->IncompleteCharacter = CompleteText.substr(CompleteText.size() - Tail);
  CompleteText.resize(CompleteText.size() - Tail);
  return CompleteText.empty() ? std::string() : this->formatChunk(CompleteText);
}

std::string CompletionWriter::formatEnd(const std::string &Reason) {
  std::string Events;
  if (!this->IncompleteCharacter.empty())
    Events = this->formatChunk(std::exchange(this->IncompleteCharacter, {}));
  json Choice = {{"index", 0}, {"finish_reason", toFinishReason(Reason)}};
  if (this->Metadata.Chat)
    Choice["delta"] = json::object();
  else
    Choice["text"] = "";
  json Object = this->makeObject(this->Metadata.Chat ? "chat.completion.chunk"
                                                     : "text_completion");
  Object["choices"].push_back(std::move(Choice));
  return Events + toEvent(Object);
}

std::string CompletionWriter::formatUsage(std::uint64_t Tokens) const {
  json Object = this->makeObject(this->Metadata.Chat ? "chat.completion.chunk"
                                                     : "text_completion");
  Object["usage"] = this->buildUsage(Tokens);
  return toEvent(Object);
}

std::string CompletionWriter::formatDone() { return "data: [DONE]\n\n"; }

std::string CompletionWriter::formatError(const std::string &ProblemJson) {
  return "event: error\ndata: " + ProblemJson + "\n\n";
}

std::string CompletionWriter::formatAnswer(const std::string &Text,
                                           const std::string &Reason,
                                           std::uint64_t Tokens) const {
  json Choice = {{"index", 0}, {"finish_reason", toFinishReason(Reason)}};
  if (this->Metadata.Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  json Object = this->makeObject(this->Metadata.Chat ? "chat.completion"
                                                     : "text_completion");
  Object["choices"].push_back(std::move(Choice));
  Object["usage"] = this->buildUsage(Tokens);
  return dump(Object);
}

} // namespace turmericpass
