#ifndef TURMERICPASS_NODE_PEERBOOK_H
#define TURMERICPASS_NODE_PEERBOOK_H

#include "Core/Clock.h"
#include "Node/PeerDigest.h"
#include "Rows/RowStore.h"

#include <map>
#include <string>
#include <vector>

namespace turmericpass {

class LoadTracker;

/// The other VMs, as their digests and the store tell. It has no I/O.
class PeerBook {
public:
  /// A VM that says nothing for so long has probably stopped.
  static constexpr Duration SilenceLimit = std::chrono::milliseconds(1500);

  PeerBook(const Clock &Time, LoadTracker &Loads, CrashCounter &Crashes,
           std::string Self);

  /// A digest came from \p Address.
  void received(const std::string &Address, PeerDigest Digest);

  /// The addresses that the store lists.
  void setListed(std::vector<std::string> Addresses);

  /// Forgets the load of VMs that have fallen silent. Returns the incarnations
  /// that fell silent since the last call.
  std::vector<std::string> sweep();

  /// Where digests go: listed VMs and those that sent one lately. Dependencies
  /// \p Zone, without the VMs that are known to be in another zone.
  std::vector<std::string> addresses(const std::string &Zone = "") const;

  /// Incarnations that were heard lately and do not stop, without this VM's.
  std::vector<std::string> alive() const;

  /// Whether any VM that was heard lately has urgent items.
  bool isAnyUrgent() const;

  /// How many VMs were heard within the last minute.
  int count() const { return static_cast<int>(this->Peers.size()); }

  /// Whether \p Incarnation was heard lately or is this VM's own.
  bool isAlive(const std::string &Incarnation) const;

  /// The addresses of the VMs that see the store as it is now.
  std::vector<std::string> informed() const;

private:
  struct Peer {
    PeerDigest Digest;
    std::string Address;
    Instant Heard;
    bool Silent = false;
  };

  const Clock &Time;
  LoadTracker &Loads;
  CrashCounter &Crashes;
  std::string Self;
  std::map<std::string, Peer> Peers;
  std::vector<std::string> Listed;
};

} // namespace turmericpass

#endif
