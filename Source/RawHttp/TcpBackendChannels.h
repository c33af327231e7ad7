#ifndef TURMERICPASS_RAWHTTP_TCPBACKENDCHANNELS_H
#define TURMERICPASS_RAWHTTP_TCPBACKENDCHANNELS_H

#include "RawHttp/BackendChannels.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace turmericpass {

class BackendConnection;
class EventLoop;

/// BackendChannels over TCP.
class TcpBackendChannels : public BackendChannels {
public:
  explicit TcpBackendChannels(EventLoop &Loop);
  ~TcpBackendChannels() override;

  SendId send(BackendRequest Order, SendHandler &Handler) override;
  void cancel(SendId Id) override;
  void forget(const std::string &Address) override;
  bool hasIdleConnection(const std::string &Address) const override;
  void setConnectionLimit(const std::string &Address,
                          std::size_t Limit) override;

  /// How many connections were opened since the start.
  std::uint64_t opened() const { return this->Opened; }

private:
  friend class BackendConnection;

  struct Pool {
    /// Idle connections, the one used last at the end.
    std::vector<std::uint64_t> Idle;
    std::size_t Open = 0;
    std::size_t Limit = 0;
  };

  BackendConnection *takeIdle(Pool &Idle);
  void becameIdle(BackendConnection &Connection);
  void removed(BackendConnection &Connection);
  void sweep();

  EventLoop &Loop;
  std::unordered_map<std::string, Pool> Pools;
  std::unordered_map<std::uint64_t, std::unique_ptr<BackendConnection>>
      Connections;
  /// The connection of each request in flight.
  std::unordered_map<SendId, std::uint64_t> Sends;
  std::uint64_t NextConnection = 1;
  SendId NextSend = 1;
  std::uint64_t Opened = 0;
};

} // namespace turmericpass

#endif
