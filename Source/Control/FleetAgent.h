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
  using Changed = std::function<void()>;

  /// \p Controller is "ip:port", \p Role is "gateway", "dispatcher" or
  /// "batcher", and \p Initial are the settings that the daemon started with.
  FleetAgent(EventLoop &Loop, PeerPort &Peers, Logger &Log,
             std::string Controller, std::string Role, FleetSettings Initial);
  ~FleetAgent();
  FleetAgent(const FleetAgent &) = delete;
  FleetAgent &operator=(const FleetAgent &) = delete;

  const FleetSettings &settings() const { return this->Current; }

  /// Returns the live nodes. Until the controller has reported some, these are
  /// all nodes of the settings.
  const std::set<std::string> &liveNodes() const { return this->Live; }

  /// Returns the zones without a live node, whose servers are used by other
  /// zones.
  const std::set<std::string> &adoptedZones() const { return this->Adopted; }

  /// Returns the servers that receive no new work.
  const std::set<std::string> &leavingServers() const { return this->Leaving; }

  /// Returns the fingerprints of requests that must not run.
  const std::set<std::string> &quarantinedFingerprints() const {
    return this->Quarantine;
  }

  /// Registers \p Action to be called after any of the above has changed.
  void onChange(Changed Action);

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
  void report();
  bool adopt(const FleetView &View);
  void notify();

  EventLoop &Loop;
  PeerPort &Peers;
  Logger &Log;
  std::string Controller;
  std::string Role;
  FleetSettings Current;
  std::set<std::string> Live;
  std::set<std::string> Adopted;
  std::set<std::string> Leaving;
  std::set<std::string> Quarantine;
  /// Announcements of this daemon that the controller does not list yet.
  std::set<std::string> OwnLeaving;
  std::set<std::string> OwnQuarantine;
  /// The last rejected version. Each rejected version is logged once.
  std::uint64_t RefusedVersion = 0;
  bool HeardController = false;
  bool Draining = false;
  std::vector<Changed> Listeners;
  ZoneAdoption Adoption;
  WatchId FirstTick = 0;
  WatchId Timer = 0;
};

} // namespace turmericpass

#endif
