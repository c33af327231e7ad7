#ifndef TURMERICPASS_TESTS_SUPPORT_FAKEPEERPORT_H
#define TURMERICPASS_TESTS_SUPPORT_FAKEPEERPORT_H

#include "Peers/PeerPort.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmericpass {

/// Keeps what is sent, and delivers what a test tells it to.
class FakePeerPort : public PeerPort {
public:
  struct Sent {
    std::string Peer;
    Message Body;
  };

  Result<void> send(const std::string &Peer, Message Body) override {
    if (this->Full.count(Peer))
      return failure(ErrorCode::Unavailable, "The queue is full.");
    this->Out.push_back({Peer, std::move(Body)});
    return {};
  }

  void onReceive(Receive Handler) override {
    this->ReceiveHandler = std::move(Handler);
  }
  void onLost(Lost Handler) override { this->LostHandler = std::move(Handler); }
  void forget(const std::string &) override {}
  const std::string &address() const override { return this->Own; }

  void deliver(const std::string &From, const Message &Body) {
    this->ReceiveHandler(From, Body);
  }
  void lose(const std::string &Peer) { this->LostHandler(Peer); }

  /// Returns all messages of type \p M in the order of sending.
  template <typename M> std::vector<M> all() const {
    std::vector<M> Found;
    for (const Sent &Entry : this->Out)
      if (const M *Body = std::get_if<M>(&Entry.Body))
        Found.push_back(*Body);
    return Found;
  }

  /// Returns the peer that got the last message.
  const std::string &lastPeer() const { return this->Out.back().Peer; }

  std::vector<Sent> Out;
  /// Peers whose queue is full.
  std::set<std::string> Full;

private:
  std::string Own = "127.0.0.1:1";
  Receive ReceiveHandler;
  Lost LostHandler;
};

} // namespace turmericpass

#endif
