#ifndef TURMERICPASS_SERVING_LOADTRACKER_H
#define TURMERICPASS_SERVING_LOADTRACKER_H

#include <cstdint>
#include <map>
#include <string>

namespace turmericpass {

/// What one VM runs at one server.
struct ServerLoad {
  /// Requests whose callers wait.
  int Online = 0;
  /// Items of batch jobs.
  int Batch = 0;
};

/// Names a server in messages between VMs: a hash of its id.
using ServerKey = std::uint32_t;

/// Returns the key of server \p Id.
ServerKey serverKey(const std::string &Id);

/// What every VM runs at every server: this VM's own requests, and what the
/// digests of the others said. It has no I/O.
class LoadTracker {
public:
  /// \p Self names this VM.
  explicit LoadTracker(std::string Self);

  void addOnlineRequest(const std::string &Server);
  void removeOnlineRequest(const std::string &Server);
  void addBatchItem(const std::string &Server);
  void removeBatchItem(const std::string &Server);

  /// Takes over what VM \p Node runs now.
  void setPeerLoads(const std::string &Node,
                    std::map<ServerKey, ServerLoad> Use);
  /// VM \p Node is gone, and with it its requests.
  void removePeer(const std::string &Node);

  /// What all VMs run at \p Server.
  ServerLoad total(const std::string &Server) const;
  /// What this VM runs at \p Server.
  ServerLoad own(const std::string &Server) const;
  /// What this VM runs anywhere, by server.
  const std::map<ServerKey, ServerLoad> &localLoads() const {
    return this->Own;
  }

  /// How many batch items this VM has to take off \p Server so that all VMs
  /// together leave at most \p Slots requests there. Every VM computes the
  /// same division from the same counts, so no message is needed.
  int batchItemsToYield(const std::string &Server, int Slots) const;

  /// Raised with each change of this VM's own use.
  std::uint64_t revision() const { return this->Revision; }

private:
  ServerLoad &ownOf(const std::string &Server);
  void trim(const std::string &Server);

  std::string Self;
  std::map<ServerKey, ServerLoad> Own;
  std::map<std::string, std::map<ServerKey, ServerLoad>> Peers;
  std::uint64_t Revision = 0;
};

} // namespace turmericpass

#endif
