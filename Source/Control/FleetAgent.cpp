#include "Control/FleetAgent.h"

#include "Peers/PeerPort.h"
#include "Settings/SettingsFolder.h"
#include "Telemetry/Logger.h"

#include <utility>

namespace turmericpass {

namespace {

constexpr Duration ReportPeriod = std::chrono::seconds(1);

std::set<std::string> allNodes(const FleetSettings &Settings) {
  std::set<std::string> Names;
  for (const auto &[Name, Node] : Settings.Nodes)
    Names.insert(Name);
  return Names;
}

std::vector<std::string> toList(const std::set<std::string> &Names) {
  return {Names.begin(), Names.end()};
}

/// Returns the union of the names \p Listed by the controller and the names
/// \p Found by this daemon. A name is removed from \p Found once the controller
/// lists it, so that it expires when the controller drops it.
std::set<std::string> join(const std::vector<std::string> &Listed,
                           std::set<std::string> &Found) {
  std::set<std::string> Joined(Listed.begin(), Listed.end());
  for (const std::string &Name : Joined)
    Found.erase(Name);
  Joined.insert(Found.begin(), Found.end());
  return Joined;
}

/// Sets \p Target to \p Value and returns whether this changed it.
bool assign(std::set<std::string> &Target, std::set<std::string> Value) {
  if (Target == Value)
    return false;
  Target = std::move(Value);
  return true;
}

} // namespace

std::string controllerAddress(const NodeSettings &Node) {
  return Node.Address + ":" + std::to_string(Node.ControllerPort);
}

FleetAgent::FleetAgent(EventLoop &Loop, PeerPort &Peers, Logger &Log,
                       std::string Controller, std::string Role,
                       FleetSettings Initial)
    : Loop(Loop), Peers(Peers), Log(Log), Controller(std::move(Controller)),
      Role(std::move(Role)), Current(std::move(Initial)),
      Live(allNodes(this->Current)) {
  this->FirstTick = Loop.after(Duration(0), [this] { this->tick(); });
  this->Timer = Loop.every(ReportPeriod, [this] { this->tick(); });
}

FleetAgent::~FleetAgent() {
  this->Loop.cancel(this->FirstTick);
  this->Loop.cancel(this->Timer);
}

void FleetAgent::onChange(Changed Action) {
  this->Listeners.push_back(std::move(Action));
}

void FleetAgent::notify() {
  for (const Changed &Action : this->Listeners)
    Action();
}

void FleetAgent::announceQuarantine(const std::string &Fingerprint) {
  this->OwnQuarantine.insert(Fingerprint);
  if (!this->Quarantine.insert(Fingerprint).second)
    return;
  this->report();
  this->notify();
}

void FleetAgent::announceLeaving(const std::string &Server) {
  this->OwnLeaving.insert(Server);
  if (!this->Leaving.insert(Server).second)
    return;
  this->report();
  this->notify();
}

void FleetAgent::setDraining() {
  this->Draining = true;
  this->report();
}

void FleetAgent::tick() {
  this->report();
  if (assign(this->Adopted, this->Adoption.update(this->Current, this->Live,
                                                  this->Loop.clock().now())))
    this->notify();
}

void FleetAgent::report() {
  NodeReport Report;
  Report.Role = this->Role;
  Report.SettingsVersion = this->Current.Version;
  Report.Draining = this->Draining;
  Report.LeavingServers = toList(this->OwnLeaving);
  Report.QuarantinedFingerprints = toList(this->OwnQuarantine);
  // A report that cannot be sent is superseded by the next one.
  if (const Result<void> Sent =
          this->Peers.send(this->Controller, std::move(Report));
      !Sent)
    this->Log.log(LogLevel::Debug,
                  "Failed to send the report to the controller.",
                  {{"reason", Sent.error().Message}});
}

bool FleetAgent::adopt(const FleetView &View) {
  if (View.SettingsDocument.empty() ||
      View.SettingsVersion <= this->Current.Version)
    return false;
  std::string Reason;
  const Result<std::vector<SettingsFile>> Files =
      unpackSettings(View.SettingsDocument);
  if (Files) {
    SettingsCheck Check = checkSettings(*Files);
    if (Check.Problems.empty()) {
      this->Current = std::move(Check.Settings);
      this->Current.Version = View.SettingsVersion;
      this->Log.log(LogLevel::Info, "New settings are in force.",
                    {{"version", View.SettingsVersion}});
      return true;
    }
    Reason = Check.Problems.front().toText();
  } else {
    Reason = Files.error().Message;
  }
  if (this->RefusedVersion != View.SettingsVersion)
    this->Log.log(LogLevel::Error, "Rejected invalid settings.",
                  {{"version", View.SettingsVersion}, {"reason", Reason}});
  this->RefusedVersion = View.SettingsVersion;
  return false;
}

void FleetAgent::handle(const FleetView &View) {
  bool Different = this->adopt(View);
  // An empty list means that the controller has no liveness information yet.
  if (!View.LiveNodes.empty()) {
    this->HeardController = true;
    Different |=
        assign(this->Live, {View.LiveNodes.begin(), View.LiveNodes.end()});
  } else if (!this->HeardController) {
    Different |= assign(this->Live, allNodes(this->Current));
  }
  Different |=
      assign(this->Leaving, join(View.LeavingServers, this->OwnLeaving));
  Different |= assign(this->Quarantine,
                      join(View.QuarantinedFingerprints, this->OwnQuarantine));
  if (Different)
    this->notify();
}

} // namespace turmericpass
