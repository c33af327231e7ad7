#include "Controller/ControllerDaemon.h"

#include "Core/Hash.h"
#include "Core/IdSource.h"
#include "Peers/PeerPort.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

constexpr Duration SettingsTick = 250ms;
constexpr Duration DigestPeriod = 1s;
constexpr Duration OrderPeriod = 5s;
/// The relay of a zone looks often, for the bound of 3 s on leaving servers;
/// the others look in case its view is out of date.
constexpr Duration RelayVmPeriod = 500ms;
constexpr Duration OtherVmPeriod = 10s;
/// Daemons report each second, so two reports may be lost.
constexpr Duration DaemonSilence = 3500ms;
/// Daemons of a node that boots may start in any order.
constexpr Duration StartGrace = 5s;
constexpr std::size_t MaxDecisions = 5000;
constexpr std::size_t MaxDecisionBytes = std::size_t{4} << 20U;

std::string controllerOf(const FleetSettings &Settings,
                         const std::string &Node) {
  const auto Known = Settings.Nodes.find(Node);
  if (Known == Settings.Nodes.end())
    return {};
  return Known->second.Address + ":" +
         std::to_string(Known->second.ControllerPort);
}

std::vector<std::string> toList(const std::set<std::string> &Names) {
  return {Names.begin(), Names.end()};
}

} // namespace

ControllerDaemon::ControllerDaemon(ControllerPorts Given,
                                   const std::string &Node,
                                   FleetSettings Initial,
                                   std::vector<SettingsFile> Files)
    : Ports(Given), Time(Given.Loop.clock()), Node(Node),
      Started(this->Time.now()), Replica(std::move(Initial), std::move(Files)),
      Store(Given.Rows, Given.Ids, this->Time), Marks(Given.Rows, Given.Ids),
      Follower(
          this->Store, this->Replica, this->Time, Given.Log,
          [this] { this->settingsChanged(); },
          [this](const std::string &Peer, SettingsRequest Request) {
            this->send(controllerOf(this->Replica.settings(), Peer), Request);
          }),
      Members(this->Time, Node, this->Replica.settings(),
              static_cast<std::uint64_t>(this->Time.wallMillis())),
      Decisions(this->Time, MaxDecisions, MaxDecisionBytes),
      Lease(Given.Rows, Given.Ids, this->Time,
            this->Replica.settings().Nodes.at(Node).Zone, Node),
      Cycle(Given.Engines, this->Lease, this->Decisions, this->Time,
            this->Replica.settings().Nodes.at(Node).Zone) {}

void ControllerDaemon::start() {
  this->Ports.Peers.onReceive(
      [this](const std::string &From, const Message &Body) {
        this->handle(From, Body);
      });
  this->Ports.Loop.every(SettingsTick, [this] {
    this->followSettings();
    this->pollVms();
  });
  this->Ports.Loop.every(DigestPeriod, [this] { this->exchange(); });
  this->Ports.Loop.every(OrderPeriod, [this] {
    this->Cycle.tick(this->Replica.settings(), this->Members.leavingServers());
  });
  this->Ports.Loop.after(Duration(0), [this] { this->exchange(); });
}

void ControllerDaemon::drain() {
  this->Draining = true;
  this->exchange();
}

void ControllerDaemon::handle(const std::string &From, const Message &Body) {
  if (const auto *Report = std::get_if<NodeReport>(&Body))
    this->handleReport(From, *Report);
  else if (const auto *News = std::get_if<Digest>(&Body))
    this->handleDigest(From, *News);
  else if (const auto *Request = std::get_if<SettingsRequest>(&Body))
    this->send(From, this->Follower.answerRequest(*Request));
  else if (const auto *Reply = std::get_if<SettingsReply>(&Body))
    this->Follower.handle(*Reply);
}

void ControllerDaemon::handleReport(const std::string &From,
                                    const NodeReport &Report) {
  this->Daemons[From] = {Report.Role, Report.SettingsVersion, Report.Draining,
                         this->Time.now()};
  for (const std::string &Server : Report.LeavingServers)
    this->announceLeaving(Server, "The " + Report.Role +
                                      " of this node reported that it leaves.");
  for (const std::string &Fingerprint : Report.QuarantinedFingerprints)
    if (this->Members.announceQuarantine(Fingerprint))
      this->Decisions.record(Fingerprint, "quarantine",
                             "The " + Report.Role +
                                 " of this node reported it.");
  this->updateOwnState();
  this->fleetChanged();
  this->sendView(From, Report.SettingsVersion);
}

void ControllerDaemon::handleDigest(const std::string &From,
                                    const Digest &Body) {
  // The sender's address is looked up by name, because only the settings say
  // which addresses belong to the fleet.
  if (controllerOf(this->Replica.settings(), Body.Node) != From)
    return;
  if (this->Members.receive(Body))
    this->fleetChanged();
  this->Follower.recordPeerVersion(Body.SettingsVersion, Body.Node);
}

void ControllerDaemon::followSettings() {
  this->Follower.tick(this->Members.isRelay());
}

void ControllerDaemon::exchange() {
  this->updateOwnState();
  this->Lease.tick(this->Members.isRelay() && !this->Draining);
  this->pollMarks();
  this->sendDigests(this->Members.tick());
  this->fleetChanged();
}

void ControllerDaemon::pollVms() {
  const Duration Period =
      this->Members.isRelay() ? RelayVmPeriod : OtherVmPeriod;
  const Instant Now = this->Time.now();
  if (this->VmPollOpen ||
      (this->LastVmPoll != Instant{} && Now - this->LastVmPoll < Period))
    return;
  this->VmPollOpen = true;
  this->LastVmPoll = Now;
  this->Ports.Vms.list([this](const Result<VmListing> &Listing) {
    this->VmPollOpen = false;
    if (Listing)
      this->handleVms(*Listing);
    else
      this->Ports.Log.log(LogLevel::Debug, "The list of VMs was not read.",
                          {{"reason", Listing.error().Message}});
  });
}

/// Takes what the list says to leave. A VM that is missing is unknown, not
/// dead, so its absence changes nothing.
void ControllerDaemon::handleVms(const VmListing &Listing) {
  for (const VmEntry &Vm : Listing.Vms)
    if (Vm.State == VmState::Leaving)
      this->announceLeaving(Vm.Name,
                            "The platform's list says that it leaves.");
  this->fleetChanged();
}

void ControllerDaemon::pollMarks() {
  if (this->MarkPollOpen || !this->Members.isRelay())
    return;
  this->MarkPollOpen = true;
  this->Marks.list([this](const Result<std::set<std::string>> &Names) {
    this->MarkPollOpen = false;
    if (!Names)
      return;
    for (const std::string &Name : *Names)
      this->announceLeaving(Name, "An operator drains it.");
    this->fleetChanged();
  });
}

void ControllerDaemon::announceLeaving(const std::string &Name,
                                       const std::string &Reason) {
  const bool Known = this->Members.leavingServers().count(Name) > 0;
  if (this->Members.announceLeaving(Name) && !Known)
    this->Decisions.record(Name, "leaving", Reason);
}

void ControllerDaemon::settingsChanged() {
  this->Members.setSettings(this->Replica.settings());
  this->Decisions.record("settings", "settings",
                         "Version " + std::to_string(this->Replica.version()) +
                             " was adopted.");
  if (this->Members.isRelay())
    this->sendDigests(this->Members.digests());
  for (const auto &[Address, State] : this->Daemons)
    this->sendView(Address, State.SettingsVersion);
}

bool ControllerDaemon::isHeard(const DaemonState &State) const {
  return this->Time.now() - State.Heard < DaemonSilence;
}

/// A node without a dispatcher that works must not own backend servers.
bool ControllerDaemon::serves() const {
  if (this->Draining)
    return false;
  for (const auto &[Address, State] : this->Daemons)
    if (State.Role == "dispatcher" && this->isHeard(State))
      return !State.Draining;
  return this->Time.now() - this->Started < StartGrace;
}

std::uint64_t ControllerDaemon::versionInForce() const {
  std::uint64_t Lowest = this->Replica.version();
  for (const auto &[Address, State] : this->Daemons)
    if (this->isHeard(State))
      Lowest = std::min(Lowest, State.SettingsVersion);
  return Lowest;
}

void ControllerDaemon::updateOwnState() {
  this->Members.setOwnState(this->serves(), this->versionInForce(), "");
}

FleetView ControllerDaemon::view() const {
  FleetView View;
  View.SettingsVersion = this->Replica.version();
  const std::set<std::string> Leaving = this->Members.leavingServers();
  for (const std::string &Name : this->Members.liveNodes())
    if (Leaving.count(Name) == 0)
      View.LiveNodes.push_back(Name);
  View.LeavingServers = toList(Leaving);
  View.QuarantinedFingerprints =
      toList(this->Members.quarantinedFingerprints());
  return View;
}

/// Sends what cannot wait: urgent entries to other nodes, and a different view
/// to the daemons of this one.
void ControllerDaemon::fleetChanged() {
  this->sendDigests(this->Members.urgentDigests());
  FleetView View = this->view();
  const bool Different =
      View.LiveNodes != this->LastView.LiveNodes ||
      View.LeavingServers != this->LastView.LeavingServers ||
      View.QuarantinedFingerprints != this->LastView.QuarantinedFingerprints;
  if (!Different)
    return;
  if (View.LiveNodes != this->LastView.LiveNodes)
    this->Decisions.record(
        "fleet", "liveness",
        std::to_string(View.LiveNodes.size()) + " of " +
            std::to_string(this->Replica.settings().Nodes.size()) +
            " nodes are live.");
  this->LastView = std::move(View);
  for (const auto &[Address, State] : this->Daemons)
    if (this->isHeard(State))
      this->sendView(Address, State.SettingsVersion);
}

void ControllerDaemon::sendDigests(const std::vector<OutgoingDigest> &Digests) {
  for (const OutgoingDigest &Each : Digests)
    this->send(controllerOf(this->Replica.settings(), Each.Node), Each.Body);
}

void ControllerDaemon::sendView(const std::string &To,
                                std::uint64_t KnownVersion) {
  FleetView View = this->view();
  if (KnownVersion < View.SettingsVersion)
    View.SettingsDocument = this->Replica.document();
  this->send(To, std::move(View));
}

void ControllerDaemon::send(const std::string &To, Message Body) {
  if (To.empty())
    return;
  // Everything sent here is repeated or asked for again.
  if (const Result<void> Sent = this->Ports.Peers.send(To, std::move(Body));
      !Sent)
    this->Ports.Log.log(LogLevel::Debug, "A message was not sent.",
                        {{"peer", To}, {"reason", Sent.error().Message}});
}

void ControllerDaemon::collect() {
  this->Ports.Stats.set("settings_version",
                        static_cast<double>(this->Replica.version()));
  this->Ports.Stats.set("settings_version_in_force",
                        static_cast<double>(this->versionInForce()));
  this->Ports.Stats.set("live_nodes",
                        static_cast<double>(this->LastView.LiveNodes.size()));
  this->Ports.Stats.set("is_relay", this->Members.isRelay() ? 1 : 0);
  this->Ports.Stats.set("holds_orders_lease", this->Lease.holds() ? 1 : 0);
  this->Ports.Stats.set("membership_entries",
                        static_cast<double>(this->Members.entries().size()));
}

std::string ControllerDaemon::explain(const std::string &Subject) const {
  return toJson(this->Decisions.about(Subject));
}

} // namespace turmericpass
