#ifndef TURMERICPASS_RAWHTTP_TCPBACKENDCHANNELS_H
#define TURMERICPASS_RAWHTTP_TCPBACKENDCHANNELS_H

#include "Loop/EventLoop.h"
#include "RawHttp/BackendChannels.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace turmericpass {

class BackendConnection;

/// Implements BackendChannels over TCP.
class TcpBackendChannels : public BackendChannels {
public:
  explicit TcpBackendChannels(EventLoop &Loop);
  ~TcpBackendChannels() override;

  SendId send(BackendRequest Request, SendHandler &Handler) override;
  void cancel(SendId Id) override;
  void setReading(SendId Id, bool Reading) override;
  std::size_t unsentBytes(SendId Id) const override;
  void forget(const std::string &Address) override;
  bool hasIdleConnection(const std::string &Address) const override;
  void setConnectionLimit(const std::string &Address,
                          std::size_t Limit) override;

  /// Returns the number of connections that were opened so far.
  std::uint64_t openedConnections() const { return this->OpenedConnections; }

private:
  friend class BackendConnection;

  struct Pool {
    /// Ids of the idle connections; the most recently used one is the last.
    std::vector<std::uint64_t> Idle;
    std::size_t Open = 0;
    std::size_t Limit = 0;
  };

  /// Fails request \p Id, of which nothing was sent, from the event loop.
  void failUnsent(SendId Id, SendHandler &Handler, std::string_view Reason);
  BackendConnection *takeIdleConnection(Pool &From);
  void addIdleConnection(BackendConnection &Connection);
  void removeConnection(BackendConnection &Connection);
  void closeExpired();

  EventLoop &Loop;
  WatchId Sweep = 0;
  std::unordered_map<std::string, Pool> Pools;
  std::unordered_map<std::uint64_t, std::unique_ptr<BackendConnection>>
      Connections;
  /// Maps each request in flight to the id of its connection, or to 0 if it has
  /// none because it cannot be sent.
  std::unordered_map<SendId, std::uint64_t> Sends;
  std::uint64_t NextConnection = 1;
  SendId NextSend = 1;
  std::uint64_t OpenedConnections = 0;
};

} // namespace turmericpass

#endif
