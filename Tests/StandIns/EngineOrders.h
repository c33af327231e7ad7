#ifndef TURMERICPASS_TESTS_STANDINS_ENGINEORDERS_H
#define TURMERICPASS_TESTS_STANDINS_ENGINEORDERS_H

#include "Http/HttpTypes.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace turmericpass {

/// What orders made of an engine: its models, adapters, version and role.
/// Orders are idempotent.
class EngineOrders {
public:
  EngineOrders(std::string Model, bool CheckFencing);

  /// Handles POST /orders. Status 409 refuses an order with a fencing number
  /// below the highest one seen, if fencing is checked.
  HttpReply handle(const std::string &Body);

  /// Whether an order took model \p Name away. Models that no order named
  /// count as loaded, so that tests need not agree on a name.
  bool isUnloaded(const std::string &Name) const {
    return this->Unloaded.contains(Name);
  }

  /// Describes the present state.
  nlohmann::json describe() const;

private:
  bool CheckFencing;
  std::uint64_t HighestFencing = 0;
  std::uint64_t Applied = 0;
  std::uint64_t Refused = 0;
  std::set<std::string> Models;
  std::set<std::string> Unloaded;
  std::set<std::string> Adapters;
  std::string Version;
  std::string Role;
};

} // namespace turmericpass

#endif
