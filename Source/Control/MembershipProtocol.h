#ifndef TURMERICPASS_CONTROL_MEMBERSHIPPROTOCOL_H
#define TURMERICPASS_CONTROL_MEMBERSHIPPROTOCOL_H

#include "Control/ReplicatedEntries.h"
#include "Core/Clock.h"
#include "Wire/Messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericpass {

struct FleetSettings;

/// A digest and the node to whose controller it is sent.
struct OutgoingDigest {
  std::string Node;
  Digest Body;
};

/// The known state of a zone.
struct ZoneStatus {
  std::string Zone;
  /// False if no digests arrive from the zone.
  bool Reachable = false;
  /// The lowest settings version in force at the live nodes of this node's own
  /// zone. It is 0 for other zones, because distributing it to every node would
  /// exceed the whole budget for control traffic.
  std::uint64_t SettingsVersion = 0;
  std::set<std::string> LiveNodes;
};

/// The membership protocol of the controllers. It decides which digests they
/// exchange, and derives from them which nodes are live, which servers are
/// leaving and which requests are in quarantine. Within a zone, every node
/// sends to every other node; between zones, only the relays of the zones do. A
/// digest contains the entries that its receiver has not acknowledged, so the
/// next digest makes up for a lost one.
class MembershipProtocol {
public:
  /// A node or a zone that has been silent for this time is not live. Digests
  /// are sent each second, so two of them may be lost.
  static constexpr Duration NodeSilenceLimit = std::chrono::milliseconds(3500);
  static constexpr Duration ZoneSilenceLimit = std::chrono::seconds(5);

  /// \p Incarnation must increase from one start of the node to the next, as
  /// milliseconds since 1970 do.
  MembershipProtocol(const Clock &Time, std::string Node,
                     const FleetSettings &Settings, std::uint64_t Incarnation);

  void setSettings(const FleetSettings &Settings);

  /// Sets the state of this node: whether it can serve, the lowest settings
  /// version in force in its daemons, and its load by model
  /// ("model=running/waiting ...").
  void setOwnState(bool Serving, std::uint64_t LowestVersion,
                   const std::string &Load);

  bool announceLeaving(const std::string &Server);
  bool announceQuarantine(const std::string &Fingerprint);

  /// Called each second. Returns the digests to send.
  std::vector<OutgoingDigest> tick();

  /// Returns the digests to send immediately if servers or requests have been
  /// marked since the last digests, or an empty list.
  std::vector<OutgoingDigest> urgentDigests();

  /// Returns a digest for each receiver. It is used for a new settings version
  /// that must not wait for the next tick.
  std::vector<OutgoingDigest> digests() const;

  /// Processes a digest and returns whether the view of the fleet may have
  /// changed.
  bool receive(const Digest &Body);

  std::set<std::string> liveNodes() const;
  std::set<std::string> leavingServers() const;
  std::set<std::string> quarantinedFingerprints() const;
  std::vector<ZoneStatus> zones() const;

  /// Returns the relay of \p Zone according to this node's state.
  std::string relayOf(const std::string &Zone) const;
  bool isRelay() const { return this->relayOf(this->Zone) == this->Node; }

  /// Returns the zone of this node.
  const std::string &zone() const { return this->Zone; }

  const ReplicatedEntries &entries() const { return this->Entries; }

private:
  struct Peer {
    std::string Zone;
    std::uint64_t Incarnation = 0;
    /// The highest sequence number received from the peer.
    std::uint64_t ReceivedSequence = 0;
    /// The highest change number of this node that the peer has acknowledged.
    std::uint64_t AcknowledgedChange = 0;
    Instant LastHeard;
    bool EverHeard = false;
  };

  bool hasJustStarted() const;
  bool isServing(const std::string &Node) const;
  bool wasHeardRecently(const std::string &Node) const;
  bool isZoneReachable(const std::string &Zone) const;
  std::uint64_t settingsVersionOf(const std::string &Node) const;
  std::set<std::string> liveNodesIn(const std::string &Zone) const;
  ZoneStatus statusOf(const std::string &Zone) const;
  std::vector<std::string> receivers() const;
  std::string receiverIn(const std::string &Zone) const;
  std::string zoneOf(const std::string &Node) const;
  OutgoingDigest makeDigestFor(const std::string &Node) const;
  void publishZoneState();

  const Clock &Time;
  std::string Node;
  std::string Zone;
  std::uint64_t Incarnation;
  Instant StartedAt;
  std::uint64_t Ticks = 0;
  std::uint64_t SettingsVersion = 0;
  /// The nodes of each zone of the settings, sorted by name.
  std::map<std::string, std::vector<std::string>> ZoneNodes;
  std::map<std::string, std::string> NodeZones;
  std::map<std::string, Peer> Peers;
  std::map<std::string, Instant> ZoneLastHeard;
  Instant RelaySince;
  bool WasRelay = false;
  std::uint64_t LastUrgentChange;
  ReplicatedEntries Entries;
};

} // namespace turmericpass

#endif
