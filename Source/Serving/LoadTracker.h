#ifndef TURMERICPASS_SERVING_LOADTRACKER_H
#define TURMERICPASS_SERVING_LOADTRACKER_H

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace turmericpass {

/// The load that one VM puts on one server.
struct ServerLoad {
  /// The number of requests whose callers are waiting.
  int Online = 0;
  /// The number of items of batch jobs.
  int Batch = 0;
};

/// Identifies a server in messages between VMs by a hash of its id.
using ServerKey = std::uint32_t;

/// Loads by server.
using LoadsByServer = std::map<ServerKey, ServerLoad>;

/// Returns the key of the server with id \p Id.
ServerKey serverKey(const std::string &Id);

/// Returns how many of \p Wanted slots may be kept free of batch items at a
/// server with \p Slots slots. One slot is left for items, or a server with few
/// slots would never run any.
constexpr int slotsKeptFree(int Slots, int Wanted) {
  return std::min(Wanted, std::max(0, Slots - 1));
}

/// Tracks the load that all VMs put on each server: the requests of this VM,
/// the loads that the digests of other VMs report, and sums of the loads of
/// whole availability zones. The sums over all of them are kept up to date, so
/// that a lookup does not depend on the number of VMs. This class performs no
/// I/O.
class LoadTracker {
public:
  /// \p Self is the name of this VM.
  explicit LoadTracker(std::string Self);

  void addOnlineRequest(const std::string &Server);
  void removeOnlineRequest(const std::string &Server);
  void addBatchItem(const std::string &Server);
  void removeBatchItem(const std::string &Server);

  /// Replaces the loads of VM \p Node.
  void setPeerLoads(const std::string &Node, LoadsByServer Loads);
  /// Removes the loads of VM \p Node, which has gone.
  void removePeer(const std::string &Node);

  /// Replaces the sum of the loads of the other VMs in \p Zone. The loads of
  /// single VMs of that zone must not be set as well.
  void setZoneLoads(const std::string &Zone, LoadsByServer Loads);
  /// Removes the sum of the loads of \p Zone, which is out of date.
  void removeZone(const std::string &Zone);

  /// Returns the load of all VMs on \p Server.
  ServerLoad totalLoad(const std::string &Server) const;
  /// Returns the load of this VM on \p Server.
  ServerLoad localLoad(const std::string &Server) const;
  /// Returns the loads of this VM by server.
  const LoadsByServer &localLoads() const { return this->LocalLoads; }

  /// Returns the number of batch items that this VM has to withdraw from
  /// \p Server so that all VMs together run at most \p Slots requests there.
  /// If the loads of all VMs are known, every VM computes the same division
  /// from the same counts. If only sums are known, each VM withdraws its share
  /// of them at random, and waits until the sums show the result before it
  /// withdraws more.
  int batchItemsToYield(const std::string &Server, int Slots);

  /// Returns a number that increases with each change of this VM's own load.
  std::uint64_t revision() const { return this->Revision; }

private:
  /// A decision on how many items to withdraw from one server.
  struct YieldDecision {
    std::uint64_t ZoneUpdate = 0;
    /// The number of items of this VM that stay.
    int RemainingItems = 0;
  };

  ServerLoad &changeLocalLoad(const std::string &Server);
  void removeIfIdle(const std::string &Server);
  using LoadsByName = std::map<std::string, LoadsByServer>;
  void addToSums(const LoadsByServer &Loads, int Sign);
  /// Replaces or removes the loads of \p Name in \p All and in the sums.
  void replaceLoads(LoadsByName &All, const std::string &Name,
                    LoadsByServer Loads);
  void removeLoads(LoadsByName &All, const std::string &Name);
  int itemsToYieldFromSums(ServerKey Key, int LocalItems, int Excess,
                           int TotalItems);

  std::string Self;
  LoadsByServer LocalLoads;
  LoadsByName PeerLoads;
  LoadsByName ZoneLoads;
  /// The sums of PeerLoads and ZoneLoads.
  std::unordered_map<ServerKey, ServerLoad> Sums;
  std::unordered_map<ServerKey, YieldDecision> YieldDecisions;
  std::uint64_t ZoneUpdates = 0;
  std::uint64_t Revision = 0;
};

} // namespace turmericpass

#endif
