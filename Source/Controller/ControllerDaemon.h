#ifndef TURMERICPASS_CONTROLLER_CONTROLLERDAEMON_H
#define TURMERICPASS_CONTROLLER_CONTROLLERDAEMON_H

#include "Control/DecisionLog.h"
#include "Control/DrainMarks.h"
#include "Control/MembershipProtocol.h"
#include "Control/SettingsFollower.h"
#include "Control/SettingsReplica.h"
#include "Control/SettingsStore.h"
#include "Control/ZoneLease.h"
#include "Controller/OrderCycle.h"
#include "Loop/EventLoop.h"
#include "Platform/VmList.h"

#include <map>
#include <string>
#include <vector>

namespace turmericpass {

class IdSource;
class Logger;
class Metrics;
class PeerPort;

/// What a controller works with.
struct ControllerPorts {
  EventLoop &Loop;
  PeerPort &Peers;
  Table &Rows;
  VmList &Vms;
  OrderPort &Engines;
  IdSource &Ids;
  Logger &Log;
  Metrics &Stats;
};

/// The controller of one node: it answers the daemons of its VM, exchanges
/// digests with other controllers, follows the settings and the list of VMs,
/// and orders the zone's engines while it holds the lease.
class ControllerDaemon {
public:
  ControllerDaemon(ControllerPorts Ports, const std::string &Node,
                   FleetSettings Initial, std::vector<SettingsFile> Files);

  /// Begins to receive and to act.
  void start();

  /// Tells everyone that this node serves no more.
  void drain();

  /// Returns the settings version, the zones and the daemons as JSON.
  std::string describeFleet() const;

  /// Returns the decisions about \p Subject as JSON.
  std::string explain(const std::string &Subject) const;

  /// Sets the gauges.
  void collect();

private:
  struct DaemonState {
    std::string Role;
    std::uint64_t SettingsVersion = 0;
    bool Draining = false;
    Instant Heard;
  };

  void handle(const std::string &From, const Message &Body);
  void handleReport(const std::string &From, const NodeReport &Report);
  void handleDigest(const std::string &From, const Digest &Body);
  void followSettings();
  void exchange();
  void pollVms();
  void handleVms(const VmListing &Listing);
  void pollMarks();
  void announceLeaving(const std::string &Name, const std::string &Reason);
  void settingsChanged();
  void updateOwnState();
  void fleetChanged();
  void sendDigests(const std::vector<OutgoingDigest> &Digests);
  void sendView(const std::string &To, std::uint64_t KnownVersion);
  void send(const std::string &To, Message Body);
  FleetView view() const;
  bool isHeard(const DaemonState &State) const;
  bool serves() const;
  std::uint64_t versionInForce() const;

  ControllerPorts Ports;
  const Clock &Time;
  std::string Node;
  Instant Started;
  SettingsReplica Replica;
  SettingsStore Store;
  DrainMarks Marks;
  SettingsFollower Follower;
  MembershipProtocol Members;
  DecisionLog Decisions;
  ZoneLease Lease;
  OrderCycle Cycle;
  std::map<std::string, DaemonState> Daemons;
  /// What the daemons were told last, so that changes are sent at once.
  FleetView LastView;
  Instant LastVmPoll{};
  bool VmPollOpen = false;
  bool MarkPollOpen = false;
  bool Draining = false;
};

} // namespace turmericpass

#endif
