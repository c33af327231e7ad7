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
std::size_t incompleteTail(std::string_view Text) {
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

json reasonOf(const std::string &Reason) {
  return Reason.empty() ? json("stop") : json(Reason);
}

} // namespace

CompletionWriter::CompletionWriter(CompletionHead Head)
    : Head(std::move(Head)) {}

json CompletionWriter::object(const char *Kind) const {
  return {{"id", this->Head.Id},
          {"object", Kind},
          {"created", this->Head.Created},
          {"model", this->Head.Model},
          {"choices", json::array()}};
}

json CompletionWriter::usageOf(std::uint64_t Tokens) const {
  return {{"prompt_tokens", this->Head.PromptTokens},
          {"completion_tokens", Tokens},
          {"total_tokens", this->Head.PromptTokens + Tokens}};
}

std::string CompletionWriter::event(const std::string &Text) {
  json Choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (!this->Head.Chat) {
    Choice["text"] = Text;
  } else {
    Choice["delta"] = {{"content", Text}};
    if (!std::exchange(this->Started, true))
      Choice["delta"]["role"] = "assistant";
  }
  json Object = this->object(this->Head.Chat ? "chat.completion.chunk"
                                             : "text_completion");
  Object["choices"].push_back(std::move(Choice));
  return toEvent(Object);
}

std::string CompletionWriter::piece(std::string_view Text) {
  std::string Whole = std::exchange(this->Held, {});
  Whole += Text;
  const std::size_t Tail = incompleteTail(Whole);
  this->Held = Whole.substr(Whole.size() - Tail);
  Whole.resize(Whole.size() - Tail);
  return Whole.empty() ? std::string() : this->event(Whole);
}

std::string CompletionWriter::ending(const std::string &Reason) {
  std::string Events;
  if (!this->Held.empty())
    Events = this->event(std::exchange(this->Held, {}));
  json Choice = {{"index", 0}, {"finish_reason", reasonOf(Reason)}};
  if (this->Head.Chat)
    Choice["delta"] = json::object();
  else
    Choice["text"] = "";
  json Object = this->object(this->Head.Chat ? "chat.completion.chunk"
                                             : "text_completion");
  Object["choices"].push_back(std::move(Choice));
  return Events + toEvent(Object);
}

std::string CompletionWriter::usage(std::uint64_t Tokens) const {
  json Object = this->object(this->Head.Chat ? "chat.completion.chunk"
                                             : "text_completion");
  Object["usage"] = this->usageOf(Tokens);
  return toEvent(Object);
}

std::string CompletionWriter::done() { return "data: [DONE]\n\n"; }

std::string CompletionWriter::error(const std::string &ProblemJson) {
  return "event: error\ndata: " + ProblemJson + "\n\n";
}

std::string CompletionWriter::whole(const std::string &Text,
                                    const std::string &Reason,
                                    std::uint64_t Tokens) const {
  json Choice = {{"index", 0}, {"finish_reason", reasonOf(Reason)}};
  if (this->Head.Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  json Object =
      this->object(this->Head.Chat ? "chat.completion" : "text_completion");
  Object["choices"].push_back(std::move(Choice));
  Object["usage"] = this->usageOf(Tokens);
  return dump(Object);
}

} // namespace turmericpass
