#include "Backends/EngineProtocol.h"

#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

using Json = nlohmann::json;

Json parseJson(std::string_view Text) {
  return Json::parse(Text, nullptr, false);
}

tl::unexpected<Error> malformed(const std::string &What) {
  return failure(ErrorCode::Malformed, "The engine's " + What + ".");
}

const Json *find(const Json &Object, const char *Key) {
  if (!Object.is_object())
    return nullptr;
  const auto Found = Object.find(Key);
  return Found == Object.end() || Found->is_null() ? nullptr : &*Found;
}

/// Returns the string at \p Key, or an empty string if the field is absent or
/// null.
Result<std::string> readText(const Json &Object, const char *Key) {
  const Json *Found = find(Object, Key);
  if (!Found)
    return std::string();
  if (!Found->is_string())
    return malformed(std::string("field '") + Key + "' is not a string");
  return Found->get<std::string>();
}

Result<std::uint64_t> readNumber(const Json &Object, const char *Key) {
  const Json *Found = find(Object, Key);
  if (!Found || !Found->is_number_unsigned())
    return malformed(std::string("field '") + Key + "' is not a count");
  return Found->get<std::uint64_t>();
}

Result<std::vector<std::uint32_t>> readTokenIds(const Json &Event) {
  std::vector<std::uint32_t> Ids;
  const Json *Found = find(Event, "token_ids");
  if (!Found)
    return Ids;
  if (!Found->is_array())
    return malformed("field 'token_ids' is not an array");
  for (const Json &Id : *Found) {
    if (!Id.is_number_unsigned() || Id.get<std::uint64_t>() > UINT32_MAX)
      return malformed("field 'token_ids' holds something else than ids");
    Ids.push_back(Id.get<std::uint32_t>());
  }
  return Ids;
}

Result<std::string> readChoiceText(const Json &Choice) {
  if (const Json *Delta = find(Choice, "delta"))
    return readText(*Delta, "content");
  return readText(Choice, "text");
}

Result<CacheEvent> readCacheEvent(const Json &Entry) {
  const Result<std::uint64_t> Sequence = readNumber(Entry, "sequence");
  const Result<std::uint64_t> Block = readNumber(Entry, "block_hash");
  const Json *Stored = find(Entry, "stored");
  if (!Sequence || !Block || !Stored || !Stored->is_boolean())
    return malformed("cache event is not valid");
  return CacheEvent{*Sequence, *Block, Stored->get<bool>()};
}

} // namespace

Result<EngineEvent> parseEngineEvent(std::string_view Data) {
  const Json Event = parseJson(Data);
  const Json *Choices = find(Event, "choices");
  if (!Choices || !Choices->is_array())
    return malformed("event is not valid JSON with 'choices'");
  Result<std::vector<std::uint32_t>> Ids = readTokenIds(Event);
  if (!Ids)
    return tl::make_unexpected(Ids.error());
  EngineEvent ParsedEvent;
  ParsedEvent.Tokens.Ids = std::move(*Ids);
  std::string Text;
  if (!Choices->empty()) {
    Result<std::string> ChoiceText = readChoiceText(Choices->front());
    Result<std::string> Reason = readText(Choices->front(), "finish_reason");
    if (!ChoiceText || !Reason)
      return tl::make_unexpected(ChoiceText ? Reason.error()
                                            : ChoiceText.error());
    Text = std::move(*ChoiceText);
    ParsedEvent.Reason = std::move(*Reason);
  }
  if (ParsedEvent.Tokens.Ids.empty() && !Text.empty())
    return malformed("event has text without 'token_ids'");
  // Each id needs a text. The text of an event with several ids cannot be split
  // among them, so it is assigned to the first id.
  ParsedEvent.Tokens.Texts.resize(ParsedEvent.Tokens.Ids.size());
  if (!ParsedEvent.Tokens.Texts.empty())
    ParsedEvent.Tokens.Texts.front() = std::move(Text);
  return ParsedEvent;
}

Result<std::string> buildEngineBody(const Submit &Work) {
  Json Body = parseJson(Work.Body);
  if (!Body.is_object())
    return failure(ErrorCode::InvalidArgument,
                   "The request's body is not a JSON object.");
  Body["stream"] = true;
  if (!Work.ResumeTokenIds.empty())
    Body["resume_token_ids"] = Work.ResumeTokenIds;
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<LoadReport> parseLoadReport(std::string_view Body) {
  const Json Report = parseJson(Body);
  const Result<std::uint64_t> Running = readNumber(Report, "running");
  const Result<std::uint64_t> Waiting = readNumber(Report, "waiting");
  const Result<std::uint64_t> Age = readNumber(Report, "age_ms");
  const Json *Used = find(Report, "kv_used");
  if (!Running || !Waiting || !Age || !Used || !Used->is_number())
    return malformed("load report is not valid");
  return LoadReport{static_cast<std::uint32_t>(*Running),
                    static_cast<std::uint32_t>(*Waiting), Used->get<double>(),
                    *Age};
}

Result<std::vector<CacheEvent>> parseCacheEvents(std::string_view Body) {
  const Json Reply = parseJson(Body);
  const Json *Entries = find(Reply, "events");
  if (!Entries || !Entries->is_array())
    return malformed("cache events are not valid");
  std::vector<CacheEvent> Events;
  for (const Json &Entry : *Entries) {
    const Result<CacheEvent> Event = readCacheEvent(Entry);
    if (!Event)
      return tl::make_unexpected(Event.error());
    Events.push_back(*Event);
  }
  return Events;
}

} // namespace turmericpass
