#include "Programs/CliFleet.h"

#include "Programs/CliSupport.h"

#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

constexpr int OkStatus = 200;

/// Fills \p Out from a reply of GET /fleet; false if it is something else.
bool readZone(const std::string &Body, CliZone &Out) {
  try {
    const nlohmann::json Root = nlohmann::json::parse(Body);
    Out.Node = Root.at("node").get<std::string>();
    Out.Leaving = Root.at("leaving").get<std::vector<std::string>>();
    Out.Quarantined = Root.at("quarantined").size();
    for (const nlohmann::json &Zone : Root.at("zones")) {
      if (Zone.at("zone") != Out.Zone)
        continue;
      Out.SettingsVersion = Zone.at("settings_version").get<std::uint64_t>();
      Out.LiveNodes = Zone.at("live_nodes").get<std::vector<std::string>>();
      return true;
    }
  } catch (const nlohmann::json::exception &) {
    return false;
  }
  return false;
}

} // namespace

std::vector<CliZone> askZones(CliContext &Context,
                              const FleetSettings &Settings) {
  std::vector<CliZone> Zones;
  for (const auto &[Name, Zone] : Settings.Zones) {
    CliZone Asked;
    Asked.Zone = Name;
    for (const auto &[NodeName, Node] : Settings.Nodes) {
      if (Node.Zone != Name || Asked.Answers)
        continue;
      HttpRequest Request;
      Request.Method = "GET";
      Request.Path = "/fleet";
      const Result<HttpReply> Reply =
          Context.call(controllerAdmin(Node), std::move(Request));
      Asked.Answers =
          Reply && Reply->Status == OkStatus && readZone(Reply->Body, Asked);
    }
    Zones.push_back(std::move(Asked));
  }
  return Zones;
}

} // namespace turmericpass
