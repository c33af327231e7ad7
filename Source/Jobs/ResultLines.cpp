#include "Jobs/ResultLines.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

using Json = nlohmann::json;

/// Returns \p Body as a JSON value if it is valid JSON, and as a string
/// otherwise.
Json bodyValue(const std::string &Body) {
  Json Value = Json::parse(Body, nullptr, false);
  return Value.is_discarded() ? Json(Body) : Value;
}

} // namespace

std::string resultLine(const ItemResult &Item) {
  Json Line = {
      {"custom_id", Item.CustomId.empty() ? Json() : Json(Item.CustomId)},
      {"response", nullptr},
      {"error", nullptr}};
  if (Item.Status != 0)
    Line["response"] = {{"status_code", Item.Status},
                        {"request_id", Item.RequestId},
                        {"body", bodyValue(Item.Body)}};
  if (!Item.ErrorCode.empty())
    Line["error"] = {{"code", Item.ErrorCode}, {"message", Item.ErrorMessage}};
  return Line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string packLines(const IndexedLines &Lines) {
  std::string Bytes;
  for (const auto &[Index, Line] : Lines) {
    Bytes += std::to_string(Index);
    Bytes += '\t';
    Bytes += Line;
    Bytes += '\n';
  }
  return Bytes;
}

bool unpackLines(std::string_view Bytes,
                 std::vector<std::pair<std::uint32_t, std::string>> &Into) {
  while (!Bytes.empty()) {
    const std::size_t End = Bytes.find('\n');
    const std::size_t Tab = Bytes.find('\t');
    if (End == std::string_view::npos || Tab > End)
      return false;
    std::uint32_t Index = 0;
    const char *Stop = Bytes.data() + Tab;
    if (std::from_chars(Bytes.data(), Stop, Index).ptr != Stop)
      return false;
    Into.emplace_back(Index, Bytes.substr(Tab + 1, End - Tab - 1));
    Bytes.remove_prefix(End + 1);
  }
  return true;
}

} // namespace turmericpass
