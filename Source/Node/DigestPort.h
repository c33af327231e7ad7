#ifndef TURMERICPASS_NODE_DIGESTPORT_H
#define TURMERICPASS_NODE_DIGESTPORT_H

#include "Core/Error.h"
#include "Loop/EventLoop.h"

#include <functional>
#include <string>
#include <string_view>

namespace turmericpass {

/// Sends and receives digests as datagrams. A digest that is lost is followed
/// by a newer one, so nothing is sent again and no connection can fall silent.
class DigestPort {
public:
  /// \p From is the sender's "ip:port".
  using Received =
      std::function<void(const std::string &From, std::string_view Bytes)>;

  explicit DigestPort(EventLoop &Loop) : Loop(Loop) {}
  ~DigestPort();
  DigestPort(const DigestPort &) = delete;
  DigestPort &operator=(const DigestPort &) = delete;

  /// Opens "ip:port". Errors: Unavailable, InvalidArgument.
  Result<void> open(const std::string &Address, Received Told);

  /// Sends one datagram; it is dropped if it cannot be sent at once.
  void send(const std::string &Address, std::string_view Bytes);

private:
  void readAll();

  EventLoop &Loop;
  Received Told;
  int Descriptor = -1;
};

} // namespace turmericpass

#endif
