#ifndef TURMERICPASS_PEERS_PEERPORT_H
#define TURMERICPASS_PEERS_PEERPORT_H

#include "Core/Error.h"
#include "Wire/Codec.h"

#include <functional>
#include <string>

namespace turmericpass {

/// Sends messages to other processes and receives theirs. Delivery is at most
/// once and in order for each peer while its connection lasts.
class PeerPort {
public:
  using Receive = std::function<void(const std::string &From, Message Body)>;
  using Lost = std::function<void(const std::string &Peer)>;

  virtual ~PeerPort() = default;

  /// Queues \p Body for \p Peer ("ip:port"). Errors: Unavailable if the queue
  /// for the peer is full, TooLarge for an oversized message. Success does
  /// not imply delivery.
  virtual Result<void> send(const std::string &Peer, Message Body) = 0;

  /// Sets the handler of received messages, which the event loop calls.
  virtual void onReceive(Receive Handler) = 0;

  /// Sets the handler that is called when the connection to a peer is lost.
  /// Messages that are queued for the peer and not yet written are dropped.
  virtual void onLost(Lost Handler) = 0;

  /// Drops the connection and the queue of \p Peer.
  virtual void forget(const std::string &Peer) = 0;

  /// Returns the address of this process, "ip:port".
  virtual const std::string &address() const = 0;
};

} // namespace turmericpass

#endif
