#ifndef TURMERICPASS_NODE_PEERDIRECTORY_H
#define TURMERICPASS_NODE_PEERDIRECTORY_H

#include "Core/Clock.h"
#include "Node/PeerDigest.h"
#include "Rows/RowStore.h"

#include <map>
#include <string>
#include <vector>

namespace turmericpass {

class LoadTracker;

/// The other VMs as known from their digests and from the store. The class does
/// no I/O.
class PeerDirectory {
public:
  /// A VM that has sent no digest for this time is regarded as stopped.
  static constexpr Duration SilenceLimit = std::chrono::milliseconds(1500);

  PeerDirectory(const Clock &Time, LoadTracker &Loads, CrashCounter &Crashes,
                std::string Self);

  /// Processes a digest that arrived from \p Address.
  void handleDigest(const std::string &Address, PeerDigest Digest);

  /// Sets the addresses that the store lists.
  void setListedAddresses(std::vector<std::string> Addresses);

  /// Removes the load of VMs that have become silent. Returns the incarnations
  /// that have become silent since the last call.
  std::vector<std::string> detectSilentPeers();

  /// Returns the addresses to send digests to: the listed VMs and the VMs that
  /// are not silent. If \p Zone is not empty, VMs that are known to be in
  /// another zone are left out.
  std::vector<std::string> addresses(const std::string &Zone = "") const;

  /// Returns the incarnations of the other VMs that are neither silent nor
  /// stopping.
  std::vector<std::string> aliveIncarnations() const;

  /// Returns whether any VM that is not silent has urgent items.
  bool otherVmsHaveUrgentItems() const;

  /// Returns the number of VMs that sent a digest within the last minute.
  int count() const { return static_cast<int>(this->Peers.size()); }

  /// Returns whether \p Incarnation is this VM's own or is not silent.
  bool isAlive(const std::string &Incarnation) const;

  /// Returns the addresses of the VMs that have a current view of the store.
  std::vector<std::string> storeViewAddresses() const;

private:
  struct Peer {
    PeerDigest Digest;
    std::string Address;
    Instant LastHeard;
    bool Silent = false;
  };

  const Clock &Time;
  LoadTracker &Loads;
  CrashCounter &Crashes;
  std::string Self;
  std::map<std::string, Peer> Peers;
  std::vector<std::string> ListedAddresses;
};

} // namespace turmericpass

#endif
