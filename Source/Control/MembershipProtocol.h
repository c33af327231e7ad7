#ifndef TURMERICPASS_CONTROL_MEMBERSHIPPROTOCOL_H
#define TURMERICPASS_CONTROL_MEMBERSHIPPROTOCOL_H

#include "Control/FleetEntries.h"
#include "Core/Clock.h"
#include "Wire/Messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericpass {

struct FleetSettings;

/// A digest and the node whose controller it goes to.
struct OutgoingDigest {
  std::string Node;
  Digest Body;
};

/// What is known of a zone.
struct ZoneStatus {
  std::string Zone;
  /// False if no digest comes from there.
  bool Reachable = false;
  /// The lowest settings version in force at its live nodes. Known of the own
  /// zone only; 0 for others, because to tell every node would cost more than
  /// the whole budget for control traffic.
  std::uint64_t SettingsVersion = 0;
  std::set<std::string> LiveNodes;
};

/// Decides what the controllers tell each other and what follows from it:
/// which nodes are live, which servers are leaving, which requests are in
/// quarantine. Inside a zone every node sends to every other; between zones
/// only the relays of the zones do. A digest carries what its receiver has not
/// acknowledged, so a lost one is made up for by the next.
class MembershipProtocol {
public:
  /// A node or a zone that was silent for this long is not live. Digests go
  /// out each second, so two may be lost.
  static constexpr Duration NodeSilence = std::chrono::milliseconds(3500);
  static constexpr Duration ZoneSilence = std::chrono::seconds(5);

  /// \p Incarnation must rise from one start of the node to the next, as
  /// milliseconds since 1970 do.
  MembershipProtocol(const Clock &Time, std::string Node,
                     const FleetSettings &Settings, std::uint64_t Incarnation);

  void setSettings(const FleetSettings &Settings);

  /// States whether this node can serve, the lowest settings version in force
  /// in its daemons, and its load by model ("model=running/waiting ...").
  void setOwnState(bool Serving, std::uint64_t InForce,
                   const std::string &Load);

  bool announceLeaving(const std::string &Server);
  bool announceQuarantine(const std::string &Fingerprint);

  /// Called each second; returns what to send.
  std::vector<OutgoingDigest> tick();

  /// Returns digests with news at once, for changes that cannot wait; empty
  /// if there are none.
  std::vector<OutgoingDigest> urgent();

  /// Returns a digest for each receiver, for a new settings version that must
  /// not wait for the next tick.
  std::vector<OutgoingDigest> digests() const;

  /// Takes a digest and returns whether the view of the fleet may differ.
  bool receive(const Digest &Body);

  std::set<std::string> liveNodes() const;
  std::set<std::string> leavingServers() const;
  std::set<std::string> quarantinedFingerprints() const;
  std::vector<ZoneStatus> zones() const;

  /// Returns the relay of \p Zone, as far as is known here.
  std::string relayOf(const std::string &Zone) const;
  bool isRelay() const { return this->relayOf(this->Zone) == this->Node; }

  /// Returns the zone of this node.
  const std::string &zone() const { return this->Zone; }

  const FleetEntries &entries() const { return this->Known; }

private:
  struct Peer {
    std::string Zone;
    std::uint64_t Incarnation = 0;
    /// The highest sequence that came from the peer.
    std::uint64_t Received = 0;
    /// Our highest change that the peer has.
    std::uint64_t Acknowledged = 0;
    Instant Heard;
    bool EverHeard = false;
  };

  bool isFresh() const;
  bool isServing(const std::string &Node) const;
  bool isHeard(const std::string &Node) const;
  bool zoneReachable(const std::string &Zone) const;
  std::uint64_t versionOf(const std::string &Node) const;
  std::set<std::string> liveInZone(const std::string &Zone) const;
  ZoneStatus statusOf(const std::string &Zone) const;
  std::vector<std::string> receivers() const;
  std::string receiverIn(const std::string &Zone) const;
  std::string zoneOf(const std::string &Node) const;
  OutgoingDigest digestFor(const std::string &Node) const;
  void publishZone();

  const Clock &Time;
  std::string Node;
  std::string Zone;
  std::uint64_t Incarnation;
  Instant Started;
  std::uint64_t Ticks = 0;
  std::uint64_t SettingsVersion = 0;
  /// The nodes of each zone of the settings, in order.
  std::map<std::string, std::vector<std::string>> ZoneNodes;
  std::map<std::string, std::string> NodeZones;
  std::map<std::string, Peer> Peers;
  std::map<std::string, Instant> ZoneHeard;
  Instant RelaySince;
  bool WasRelay = false;
  std::uint64_t UrgentChange;
  FleetEntries Known;
};

} // namespace turmericpass

#endif
