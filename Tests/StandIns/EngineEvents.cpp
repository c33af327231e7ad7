#include "StandIns/EngineEvents.h"

#include "StandIns/EnginePrompt.h"

#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

using Json = nlohmann::json;

std::string toEvent(const EnginePrompt &Prompt, const std::string &Model,
                    const std::string &Text, Json Reason,
                    const std::vector<std::uint32_t> &Ids) {
  Json Choice{{"index", 0}, {"finish_reason", std::move(Reason)}};
  if (Prompt.Chat)
    Choice["delta"] = Text.empty() ? Json::object() : Json{{"content", Text}};
  else
    Choice["text"] = Text;
  const Json Event{
      {"object", Prompt.Chat ? "chat.completion.chunk" : "text_completion"},
      {"model", Model},
      {"choices", Json::array({std::move(Choice)})},
      {"token_ids", Ids}};
  return "data: " + Event.dump() + "\n\n";
}

} // namespace

std::string tokenEvent(const EnginePrompt &Prompt, const std::string &Model,
                       std::uint32_t Token) {
  return toEvent(Prompt, Model, tokenText(Token), nullptr, {Token});
}

std::string endEvents(const EnginePrompt &Prompt, const std::string &Model) {
  return toEvent(Prompt, Model, "", Prompt.Reason, {}) + "data: [DONE]\n\n";
}

Json wholeAnswer(const EnginePrompt &Prompt, const std::string &Model,
                 const std::vector<std::uint32_t> &Tokens) {
  std::string Text;
  for (const std::uint32_t Token : Tokens)
    Text += tokenText(Token);
  Json Choice{{"index", 0}, {"finish_reason", Prompt.Reason}};
  if (Prompt.Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  const std::uint32_t Given = promptTokens(Prompt.Text);
  return {{"object", Prompt.Chat ? "chat.completion" : "text_completion"},
          {"model", Model},
          {"choices", Json::array({std::move(Choice)})},
          {"token_ids", Tokens},
          {"usage",
           {{"prompt_tokens", Given},
            {"completion_tokens", Tokens.size()},
            {"total_tokens", Given + Tokens.size()}}}};
}

} // namespace turmericpass
