#include "Jobs/BatchItem.h"

#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

using Json = nlohmann::json;

std::string textOf(const Json &Object, const char *Key) {
  const auto Found = Object.find(Key);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string();
}

} // namespace

std::string customIdOf(std::string_view Line) {
  const Json Value = Json::parse(Line, nullptr, false);
  return Value.is_object() ? textOf(Value, "custom_id") : std::string();
}

Result<BatchItem> parseItem(std::string_view Line) {
  const Json Value = Json::parse(Line, nullptr, false);
  if (!Value.is_object())
    return failure(ErrorCode::Malformed, "The line is no JSON object.");
  BatchItem Item;
  Item.CustomId = textOf(Value, "custom_id");
  Item.Method = textOf(Value, "method");
  Item.Url = textOf(Value, "url");
  if (Item.CustomId.empty() || Item.Method.empty() || Item.Url.empty())
    return failure(ErrorCode::Malformed, "The line needs the texts custom_id, "
                                         "method and url.");
  const auto Body = Value.find("body");
  if (Body == Value.end() || !Body->is_object())
    return failure(ErrorCode::Malformed, "The line needs an object as body.");
  Item.Model = textOf(*Body, "model");
  Item.Body = Body->dump(-1, ' ', false, Json::error_handler_t::replace);
  return Item;
}

} // namespace turmericpass
