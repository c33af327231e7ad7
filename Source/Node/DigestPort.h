#ifndef TURMERICPASS_NODE_DIGESTPORT_H
#define TURMERICPASS_NODE_DIGESTPORT_H

#include "Core/Error.h"
#include "Loop/EventLoop.h"

#include <functional>
#include <string>
#include <string_view>

namespace turmericpass {

/// Sends and receives digests as UDP datagrams. A lost digest is superseded by
/// the next one, so datagrams are not retransmitted, and there is no connection
/// that can stall.
class DigestPort {
public:
  /// Called for each datagram. \p From is the sender's "ip:port".
  using ReceiveCallback =
      std::function<void(const std::string &From, std::string_view Bytes)>;

  explicit DigestPort(EventLoop &Loop) : Loop(Loop) {}
  ~DigestPort();
  DigestPort(const DigestPort &) = delete;
  DigestPort &operator=(const DigestPort &) = delete;

  /// Binds the socket to \p Address, "ip:port". Errors: Unavailable,
  /// InvalidArgument.
  Result<void> open(const std::string &Address, ReceiveCallback Callback);

  /// Sends one datagram. It is dropped if the send would block or fails.
  void send(const std::string &Address, std::string_view Bytes);

private:
  void receiveAll();

  EventLoop &Loop;
  ReceiveCallback Callback;
  int Descriptor = -1;
};

} // namespace turmericpass

#endif
