#ifndef TURMERICPASS_NODE_PEERDIRECTORY_H
#define TURMERICPASS_NODE_PEERDIRECTORY_H

#include "Core/Clock.h"
#include "Node/AggregatorElection.h"
#include "Node/PeerDigest.h"
#include "Node/ZoneSummary.h"
#include "Serving/CrashCounter.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericpass {

class LoadTracker;

/// A VM that the store lists.
struct ListedNode {
  /// The "ip:port" for digests.
  std::string Address;
  std::string Zone;
  /// The processor share in percent of a core.
  int Weight = 0;
};

/// Returns the addresses of \p Nodes for digests.
std::vector<std::string> addressesOf(const std::vector<ListedNode> &Nodes);

/// The other VMs as known from their digests, from summaries of zones and from
/// the store. While there are few VMs, each sends its digest to all others.
/// Above MaxMeshNodes, the loads of a zone are taken from its summary. The
/// class does no I/O.
class PeerDirectory {
public:
  /// A VM that has sent no digest for this time is regarded as stopped.
  static constexpr Duration SilenceLimit = std::chrono::milliseconds(1500);
  /// The number of other VMs up to which digests go to all of them.
  static constexpr std::size_t MaxMeshNodes = 96;

  /// \p Self is this VM as the others see it, and \p Incarnation identifies
  /// the run of its process.
  PeerDirectory(const Clock &Time, LoadTracker &Loads, CrashCounter &Crashes,
                const std::string &Incarnation, ListedNode Self);

  /// Processes a digest that arrived from \p Address.
  void handleDigest(const std::string &Address, PeerDigest Digest);

  /// Processes a summary. Returns whether it is the newest one of its zone, so
  /// that an aggregator passes it on.
  bool handleSummary(ZoneSummary Summary);

  /// Sets the VMs that the store lists.
  void setListedNodes(std::vector<ListedNode> Nodes);

  /// Records the loads that this VM sent in the digest \p Sequence, so that
  /// they can be told apart from those of the other VMs in a summary.
  void recordSentDigest(std::uint64_t Sequence, const LoadsByServer &Loads);

  /// Removes the loads of VMs and zones that have become silent. Returns the
  /// VMs that have become silent since the last call.
  std::vector<std::string> detectSilentPeers();

  /// Passes the VMs of \p Zone that are known to the election.
  void updateCandidates(const std::string &Zone);

  /// Returns whether there are so many VMs that zones are summed up.
  bool usesAggregation() const;

  /// Returns the addresses to send digests to if zones are not summed up: the
  /// listed VMs and the VMs that are not silent. If \p Zone is not empty, VMs
  /// that are known to be in another zone are left out.
  std::vector<std::string> addresses(const std::string &Zone = "") const;

  /// Returns the sum of the digests of the own zone and of this VM's own
  /// \p Digest.
  ZoneSummary summarizeOwnZone(const PeerDigest &Digest) const;
  /// Returns the number of VMs of the own zone whose digests arrive here.
  std::size_t ownZoneDigests() const;
  /// Returns the zones other than the own one that are known.
  std::vector<std::string> otherZones() const;
  /// Returns whether the loads of \p Zone come from a summary.
  bool isSummarized(const std::string &Zone) const;
  /// Returns whether enough is known about the other VMs to tell which of them
  /// have gone.
  bool hasOverview() const;

  AggregatorElection &election() { return this->Election; }

  /// Returns names of the other VMs that are neither silent nor stopping. They
  /// are the same on every VM, and this VM's own one is ownName().
  std::vector<std::string> aliveNames() const;
  const std::string &ownName() const { return this->OwnName; }
  NodeKey ownKey() const { return this->OwnKey; }

  /// Returns whether any VM that is not silent has urgent items.
  bool otherVmsHaveUrgentItems() const;

  /// Returns the number of items that wait for a slot on the other VMs, as
  /// summaries tell. Those of this VM may be included.
  int waitingItems() const;

  /// Returns the number of VMs that are known.
  int count() const { return static_cast<int>(this->KnownNodes); }

  /// Returns whether \p Incarnation is this VM's own or is not silent.
  bool isAlive(const std::string &Incarnation) const;

  /// Returns the addresses of those VMs with a current view of the store that
  /// have the newest settings among them, so that a VM that starts again does
  /// not go back to an earlier version.
  std::vector<std::string> storeViewAddresses() const;

  /// Returns the newest settings version of the other VMs, or 0 if none is
  /// known.
  std::uint64_t newestSettings() const;
  /// Returns the addresses of the VMs with settings after version \p Version.
  std::vector<std::string>
  addressesWithSettingsAfter(std::uint64_t Version) const;

  /// Returns the time at which a message of another VM last arrived, or
  /// Instant() if there was none.
  Instant lastHeard() const { return this->LastHeard; }

private:
  struct Peer {
    PeerDigest Digest;
    NodeKey Key = 0;
    std::string Address;
    Instant LastHeard;
    bool Silent = false;
  };
  struct SummarizedZone {
    ZoneSummary Summary;
    /// The members by key.
    std::map<NodeKey, std::size_t> MembersByKey;
    Instant HeardAt;
  };

  /// Passes the address, whether it has a store view and the settings version
  /// of each VM that is not silent to \p Visit. The version is 0 if a summary
  /// states only that it is not the newest one.
  void visitSettings(
      const std::function<void(const std::string &Address, bool HasStoreView,
                               std::uint64_t Version)> &Visit) const;
  const ZoneMember *findMember(NodeKey Key) const;
  /// Returns the loads of \p Summary without those of this VM.
  LoadsByServer loadsOfOthers(const ZoneSummary &Summary) const;
  /// Returns whether this VM gets the digests of the zone itself, which are
  /// newer than \p Summary.
  bool hasNewerDigests(const ZoneSummary &Summary) const;
  bool isAdopted(const ZoneSummary &Summary) const;
  void dropSummary(const std::string &Zone);
  void addLoads(const Peer &Known);
  void updateCount();

  const Clock &Time;
  LoadTracker &Loads;
  CrashCounter &Crashes;
  std::string Incarnation;
  NodeKey OwnKey;
  std::string OwnName;
  ListedNode Self;
  std::map<std::string, Peer> Peers;
  std::map<std::string, SummarizedZone> Zones;
  std::map<std::string, ListedNode> Listed;
  std::size_t KnownNodes = 0;
  Instant LastHeard;
  AggregatorElection Election;
  struct SentDigest {
    std::uint64_t Sequence = 0;
    LoadsByServer Loads;
  };
  std::deque<SentDigest> SentDigests;
};

} // namespace turmericpass

#endif
