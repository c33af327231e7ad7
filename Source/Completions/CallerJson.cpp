#include "Completions/CallerJson.h"

#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

/// Well above the nesting depth of any tool schema, and safe for the parser's
/// stack.
constexpr int MaxDepth = 64;

bool isTooDeep(const std::string &Text) {
  int Depth = 0;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const char Symbol = Text[I];
    if (InString) {
      if (Symbol == '\\')
        ++I;
      else if (Symbol == '"')
        InString = false;
    } else if (Symbol == '"') {
      InString = true;
    } else if (Symbol == '{' || Symbol == '[') {
      if (++Depth > MaxDepth)
        return true;
    } else if (Symbol == '}' || Symbol == ']') {
      --Depth;
    }
  }
  return false;
}

} // namespace

Result<nlohmann::json> parseCallerObject(const std::string &Text) {
  if (isTooDeep(Text))
    return failure(ErrorCode::Malformed, "The JSON body is nested more than " +
                                             std::to_string(MaxDepth) +
                                             " levels deep.");
  nlohmann::json Value = nlohmann::json::parse(Text, nullptr, false);
  if (Value.is_discarded())
    return failure(ErrorCode::Malformed,
                   "The body is not valid JSON in UTF-8.");
  if (!Value.is_object())
    return failure(ErrorCode::Malformed, "The body is not a JSON object.");
  return Value;
}

} // namespace turmericpass
