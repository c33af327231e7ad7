#ifndef TURMERICPASS_SERVING_LOADTRACKER_H
#define TURMERICPASS_SERVING_LOADTRACKER_H

#include <cstdint>
#include <map>
#include <string>

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

/// Returns the key of the server with id \p Id.
ServerKey serverKey(const std::string &Id);

/// Tracks the load that each VM puts on each server: the requests of this VM
/// and the loads that the digests of the other VMs report. This class performs
/// no I/O.
class LoadTracker {
public:
  /// \p Self is the name of this VM.
  explicit LoadTracker(std::string Self);

  void addOnlineRequest(const std::string &Server);
  void removeOnlineRequest(const std::string &Server);
  void addBatchItem(const std::string &Server);
  void removeBatchItem(const std::string &Server);

  /// Replaces the loads of VM \p Node.
  void setPeerLoads(const std::string &Node,
                    std::map<ServerKey, ServerLoad> Loads);
  /// Removes the loads of VM \p Node, which has gone.
  void removePeer(const std::string &Node);

  /// Returns the load of all VMs on \p Server.
  ServerLoad totalLoad(const std::string &Server) const;
  /// Returns the load of this VM on \p Server.
  ServerLoad localLoad(const std::string &Server) const;
  /// Returns the loads of this VM by server.
  const std::map<ServerKey, ServerLoad> &localLoads() const {
    return this->LocalLoads;
  }

  /// Returns the number of batch items that this VM has to withdraw from
  /// \p Server so that all VMs together run at most \p Slots requests there.
  /// Every VM computes the same division from the same counts, so the VMs do
  /// not need to exchange messages about it.
  int batchItemsToYield(const std::string &Server, int Slots) const;

  /// Returns a number that increases with each change of this VM's own load.
  std::uint64_t revision() const { return this->Revision; }

private:
  ServerLoad &changeLocalLoad(const std::string &Server);
  void removeIfIdle(const std::string &Server);

  std::string Self;
  std::map<ServerKey, ServerLoad> LocalLoads;
  std::map<std::string, std::map<ServerKey, ServerLoad>> PeerLoads;
  std::uint64_t Revision = 0;
};

} // namespace turmericpass

#endif
