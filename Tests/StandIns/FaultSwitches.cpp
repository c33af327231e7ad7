#include "StandIns/FaultSwitches.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmericpass {

using Json = nlohmann::json;

FaultSwitches::FaultSwitches(const Clock &Time, std::vector<std::string> Kinds)
    : Time(Time), Kinds(std::move(Kinds)) {}

HttpReply FaultSwitches::handle(const std::string &Body) {
  const Json Fault = Json::parse(Body, nullptr, false);
  const Json Kind =
      Fault.is_object() ? Fault.value("kind", Json("")) : Json("");
  const std::string Name = Kind.is_string() ? Kind.get<std::string>() : "";
  if (Name == "none") {
    this->Switches.clear();
    return {200, {}, "{}"};
  }
  if (std::find(this->Kinds.begin(), this->Kinds.end(), Name) ==
      this->Kinds.end())
    return {400, {}, Json{{"allowed", this->Kinds}}.dump()};
  const auto ReadNumber = [&Fault](const char *Key, double Otherwise) {
    const Json Value = Fault.value(Key, Json(Otherwise));
    return Value.is_number() ? Value.get<double>() : Otherwise;
  };
  Switch Added;
  Added.Factor = ReadNumber("factor", 1);
  const double ForMs = ReadNumber("for_ms", 0);
  Added.Until = ForMs > 0
                    ? this->Time.now() + Duration(std::int64_t(ForMs * 1000))
                    : Instant::max();
  const Json Where = Fault.value("where", Json(""));
  Added.Where = Where.is_string() ? Where.get<std::string>() : "";
  this->Switches[Name] = Added;
  return {200, {}, "{}"};
}

const FaultSwitches::Switch *
FaultSwitches::find(const std::string &Kind, const std::string &Where) const {
  const auto Found = this->Switches.find(Kind);
  if (Found == this->Switches.end() || this->Time.now() >= Found->second.Until)
    return nullptr;
  const Switch &Set = Found->second;
  return Set.Where.empty() || Set.Where == Where ? &Set : nullptr;
}

bool FaultSwitches::isOn(const std::string &Kind,
                         const std::string &Where) const {
  return this->find(Kind, Where) != nullptr;
}

double FaultSwitches::factor(const std::string &Kind, double Otherwise,
                             const std::string &Where) const {
  const Switch *Set = this->find(Kind, Where);
  return Set ? Set->Factor : Otherwise;
}

} // namespace turmericpass
