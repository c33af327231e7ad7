#ifndef TURMERICPASS_CONTROL_FLEETAGENT_H
#define TURMERICPASS_CONTROL_FLEETAGENT_H

#include "Control/ZoneAdoption.h"
#include "Loop/EventLoop.h"
#include "Settings/FleetSettings.h"
#include "Wire/Messages.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace turmericpass {

class Logger;
class PeerPort;

/// Returns the peer address of the controller on \p Node, "ip:port".
std::string controllerAddress(const NodeSettings &Node);

/// The client of a daemon for the controller of its VM. It sends a report each
/// second and receives new settings and the state of the fleet. While the
/// controller does not respond, the last known state remains in use.
class FleetAgent {
public:
  using ChangeCallback = std::function<void()>;

  /// \p ControllerAddress is "ip:port", \p Role is "gateway", "dispatcher" or
  /// "batcher", and \p InitialSettings are the settings that the daemon started
  /// with.
  FleetAgent(EventLoop &Loop, PeerPort &Peers, Logger &Log,
             std::string ControllerAddress, std::string Role,
             FleetSettings InitialSettings);
  ~FleetAgent();
  FleetAgent(const FleetAgent &) = delete;
  FleetAgent &operator=(const FleetAgent &) = delete;

  const FleetSettings &settings() const { return this->CurrentSettings; }

  /// Returns the live nodes. Until the controller has reported some, these are
  /// all nodes of the settings.
  const std::set<std::string> &liveNodes() const { return this->LiveNodes; }

  /// Returns the zones without a live node, whose servers are used by other
  /// zones.
  const std::set<std::string> &adoptedZones() const {
    return this->AdoptedZones;
  }

  /// Returns the servers that receive no new work.
  const std::set<std::string> &leavingServers() const {
    return this->LeavingServers;
  }

  /// Returns the fingerprints of requests that must not run.
  const std::set<std::string> &quarantinedFingerprints() const {
    return this->QuarantinedFingerprints;
  }

  /// Registers \p Action to be called after any of the above has changed.
  void onChange(ChangeCallback Action);

  /// Quarantines \p Fingerprint in this daemon immediately, and on all nodes
  /// through the controller.
  void announceQuarantine(const std::string &Fingerprint);

  /// Stops sending new work to \p Server from this daemon immediately, and from
  /// all nodes through the controller.
  void announceLeaving(const std::string &Server);

  /// Reports the daemon as draining from now on.
  void setDraining();

  /// Processes a message of the controller.
  void handle(const FleetView &View);

private:
  void tick();
  void sendReport();
  bool adoptSettings(const FleetView &View);
  void notifyListeners();

  EventLoop &Loop;
  PeerPort &Peers;
  Logger &Log;
  std::string ControllerAddress;
  std::string Role;
  FleetSettings CurrentSettings;
  std::set<std::string> LiveNodes;
  std::set<std::string> AdoptedZones;
  std::set<std::string> LeavingServers;
  std::set<std::string> QuarantinedFingerprints;
  /// Announcements of this daemon that the controller does not list yet.
  std::set<std::string> OwnLeavingServers;
  std::set<std::string> OwnQuarantinedFingerprints;
  /// The last rejected version. Each rejected version is logged once.
  std::uint64_t RejectedVersion = 0;
  bool HasHeardController = false;
  bool Draining = false;
  std::vector<ChangeCallback> Listeners;
  ZoneAdoption Adoption;
  WatchId FirstTick = 0;
  WatchId Timer = 0;
};

} // namespace turmericpass

#endif
