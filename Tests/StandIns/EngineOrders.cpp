#include "StandIns/EngineOrders.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

using Json = nlohmann::json;

EngineOrders::EngineOrders(std::string Model, bool CheckFencing)
    : CheckFencing(CheckFencing), Models{std::move(Model)} {}

HttpReply EngineOrders::handle(const std::string &Body) {
  const Json Order = Json::parse(Body, nullptr, false);
  if (!Order.is_object() || !Order.contains("fencing") ||
      !Order["fencing"].is_number_unsigned() || !Order.contains("kind") ||
      !Order["kind"].is_string() || !Order.contains("name") ||
      !Order["name"].is_string())
    return {400, {}, Json{{"error", "The order is not valid."}}.dump()};
  const auto Fencing = Order["fencing"].get<std::uint64_t>();
  if (this->CheckFencing && Fencing < this->HighestFencing) {
    ++this->Refused;
    return {409, {}, this->describe().dump()};
  }
  this->HighestFencing = std::max(this->HighestFencing, Fencing);
  const auto Kind = Order["kind"].get<std::string>();
  const auto Name = Order["name"].get<std::string>();
  if (Kind == "load") {
    this->Models.insert(Name);
    this->Unloaded.erase(Name);
  } else if (Kind == "unload") {
    this->Models.erase(Name);
    this->Unloaded.insert(Name);
  } else if (Kind == "adapter") {
    this->Adapters.insert(Name);
  } else if (Kind == "version") {
    this->Version = Name;
  } else if (Kind == "role") {
    this->Role = Name;
  } else {
    return {400, {}, Json{{"error", "The kind is not known."}}.dump()};
  }
  ++this->Applied;
  return {200, {}, this->describe().dump()};
}

Json EngineOrders::describe() const {
  return {{"fencing", this->HighestFencing},
          {"models", this->Models},
          {"adapters", this->Adapters},
          {"version", this->Version},
          {"role", this->Role},
          {"applied", this->Applied},
          {"refused", this->Refused}};
}

} // namespace turmericpass
