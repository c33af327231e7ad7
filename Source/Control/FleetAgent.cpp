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
/// \p Announced by this daemon. A name is removed from \p Announced once the
/// controller lists it, so that it expires when the controller drops it.
std::set<std::string> mergeAnnouncements(const std::vector<std::string> &Listed,
                                         std::set<std::string> &Announced) {
  std::set<std::string> Names(Listed.begin(), Listed.end());
  for (const std::string &Name : Names)
    Announced.erase(Name);
  Names.insert(Announced.begin(), Announced.end());
  return Names;
}

/// Sets \p Target to \p Value and returns whether this changed it.
bool assignIfDifferent(std::set<std::string> &Target,
                       std::set<std::string> Value) {
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
                       std::string ControllerAddress, std::string Role,
                       FleetSettings InitialSettings)
    : Loop(Loop), Peers(Peers), Log(Log),
      ControllerAddress(std::move(ControllerAddress)), Role(std::move(Role)),
      CurrentSettings(std::move(InitialSettings)),
      LiveNodes(allNodes(this->CurrentSettings)) {
  this->FirstTick = Loop.after(Duration(0), [this] { this->tick(); });
  this->Timer = Loop.every(ReportPeriod, [this] { this->tick(); });
}

FleetAgent::~FleetAgent() {
  this->Loop.cancel(this->FirstTick);
  this->Loop.cancel(this->Timer);
}

void FleetAgent::onChange(ChangeCallback Action) {
  this->Listeners.push_back(std::move(Action));
}

void FleetAgent::notifyListeners() {
  for (const ChangeCallback &Action : this->Listeners)
    Action();
}

void FleetAgent::announceQuarantine(const std::string &Fingerprint) {
  this->OwnQuarantinedFingerprints.insert(Fingerprint);
  if (!this->QuarantinedFingerprints.insert(Fingerprint).second)
    return;
  this->sendReport();
  this->notifyListeners();
}

void FleetAgent::announceLeaving(const std::string &Server) {
  this->OwnLeavingServers.insert(Server);
  if (!this->LeavingServers.insert(Server).second)
    return;
  this->sendReport();
  this->notifyListeners();
}

void FleetAgent::setDraining() {
  this->Draining = true;
  this->sendReport();
}

void FleetAgent::tick() {
  this->sendReport();
  if (assignIfDifferent(this->AdoptedZones,
                        this->Adoption.update(this->CurrentSettings,
                                              this->LiveNodes,
                                              this->Loop.clock().now())))
    this->notifyListeners();
}

void FleetAgent::sendReport() {
  NodeReport Report;
  Report.Role = this->Role;
  Report.SettingsVersion = this->CurrentSettings.Version;
  Report.Draining = this->Draining;
  Report.LeavingServers = toList(this->OwnLeavingServers);
  Report.QuarantinedFingerprints = toList(this->OwnQuarantinedFingerprints);
  // A report that cannot be sent is superseded by the next one.
  if (const Result<void> Sent =
          this->Peers.send(this->ControllerAddress, std::move(Report));
      !Sent)
    this->Log.log(LogLevel::Debug,
                  "Failed to send the report to the controller.",
                  {{"reason", Sent.error().Message}});
}

bool FleetAgent::adoptSettings(const FleetView &View) {
  if (View.SettingsDocument.empty() ||
      View.SettingsVersion <= this->CurrentSettings.Version)
    return false;
  std::string Reason;
  const Result<std::vector<SettingsFile>> Files =
      unpackSettings(View.SettingsDocument);
  if (Files) {
    SettingsCheck Check = checkSettings(*Files);
    if (Check.Problems.empty()) {
      this->CurrentSettings = std::move(Check.Settings);
      this->CurrentSettings.Version = View.SettingsVersion;
      this->Log.log(LogLevel::Info, "New settings are in force.",
                    {{"version", View.SettingsVersion}});
      return true;
    }
    Reason = Check.Problems.front().toText();
  } else {
    Reason = Files.error().Message;
  }
  if (this->RejectedVersion != View.SettingsVersion)
    this->Log.log(LogLevel::Error, "Rejected invalid settings.",
                  {{"version", View.SettingsVersion}, {"reason", Reason}});
  this->RejectedVersion = View.SettingsVersion;
  return false;
}

void FleetAgent::handle(const FleetView &View) {
  bool HasChanged = this->adoptSettings(View);
  // An empty list means that the controller has no liveness information yet.
  if (!View.LiveNodes.empty()) {
    this->HasHeardController = true;
    HasChanged |= assignIfDifferent(
        this->LiveNodes, {View.LiveNodes.begin(), View.LiveNodes.end()});
  } else if (!this->HasHeardController) {
    HasChanged |=
        assignIfDifferent(this->LiveNodes, allNodes(this->CurrentSettings));
  }
  HasChanged |= assignIfDifferent(
      this->LeavingServers,
      mergeAnnouncements(View.LeavingServers, this->OwnLeavingServers));
  HasChanged |=
      assignIfDifferent(this->QuarantinedFingerprints,
                        mergeAnnouncements(View.QuarantinedFingerprints,
                                           this->OwnQuarantinedFingerprints));
  if (HasChanged)
    this->notifyListeners();
}

} // namespace turmericpass
