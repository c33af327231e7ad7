#ifndef TURMERICPASS_PEERS_NNGPEERPORT_H
#define TURMERICPASS_PEERS_NNGPEERPORT_H

#include "Peers/PeerPort.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace turmericpass {

class EventLoop;

/// PeerPort over nng: one listening pull socket, and one push socket for each
/// peer to which messages are sent.
class NngPeerPort : public PeerPort {
public:
  explicit NngPeerPort(EventLoop &Loop);
  ~NngPeerPort() override;
  NngPeerPort(const NngPeerPort &) = delete;
  NngPeerPort &operator=(const NngPeerPort &) = delete;

  /// Listens on \p Address ("ip:port", port 0 for any free port). Errors:
  /// Unavailable if the port is taken.
  Result<void> listen(const std::string &Address);

  Result<void> send(const std::string &Peer, Message Body) override;
  void onReceive(Receive Handler) override;
  void onLost(Lost Handler) override;
  void forget(const std::string &Peer) override;
  const std::string &address() const override { return this->OwnAddress; }

  /// Returns the number of received messages that could not be decoded.
  std::uint64_t malformedCount() const { return this->MalformedMessages; }

  /// Return the number of message bytes sent and received, without the overhead
  /// of TCP.
  std::uint64_t sentBytes() const { return this->SentByteCount; }
  std::uint64_t receivedBytes() const { return this->ReceivedByteCount; }

private:
  struct Link;
  struct Inbox;

  Result<Link *> linkTo(const std::string &Peer);
  void flush(Link &Open);
  void receiveMessages();
  void handlePipeEvents();

  EventLoop &Loop;
  std::string OwnAddress;
  std::unique_ptr<Inbox> In;
  std::map<std::string, std::unique_ptr<Link>> Links;
  Receive ReceiveHandler;
  Lost LostHandler;
  std::uint64_t MalformedMessages = 0;
  std::uint64_t SentByteCount = 0;
  std::uint64_t ReceivedByteCount = 0;
};

} // namespace turmericpass

#endif
