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

/// A daemon's link to the controller of its VM. It reports each second, takes
/// new settings and the state of the fleet, and goes on with what it last knew
/// while the controller is silent.
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

  /// Returns all nodes of the settings until a controller says otherwise.
  const std::set<std::string> &liveNodes() const { return this->Live; }

  /// Returns the zones without a live node that others serve.
  const std::set<std::string> &adoptedZones() const { return this->Adopted; }

  /// Returns the servers that get no new work.
  const std::set<std::string> &leavingServers() const { return this->Leaving; }

  /// Returns the fingerprints of requests that must not run.
  const std::set<std::string> &quarantinedFingerprints() const {
    return this->Quarantine;
  }

  /// Adds \p Action to what is called after any of the above changed.
  void onChange(Changed Action);

  /// Puts \p Fingerprint in quarantine here at once and on all nodes soon.
  void announceQuarantine(const std::string &Fingerprint);

  /// Stops new work to \p Server here at once and on all nodes soon.
  void announceLeaving(const std::string &Server);

  /// Tells the controller from now on that the daemon drains.
  void setDraining();

  /// Takes a message of the controller.
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
  /// What this daemon found out itself and the controller does not list yet.
  std::set<std::string> OwnLeaving;
  std::set<std::string> OwnQuarantine;
  /// A version that was refused, so that it is logged once.
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
