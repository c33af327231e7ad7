#ifndef TURMERICPASS_TESTS_SUPPORT_SCRIPTEDSERVER_H
#define TURMERICPASS_TESTS_SUPPORT_SCRIPTEDSERVER_H

#include "Support/RawPeer.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericpass {

/// A server on a real socket that answers each request with the same bytes, as
/// soon as it has read the head, and then ends the connection.
class ScriptedServer {
  RawPeer Listener;

public:
  enum class Ending { Close, Reset };

  /// Takes only a part of a long request, so that the rest is still being
  /// written when the answer arrives.
  ScriptedServer() {
    const int ReceiveBytes = 4096;
    setsockopt(this->Listener.Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
               sizeof(ReceiveBytes));
  }

  std::uint16_t Port = this->Listener.listen();
  std::string Address = "127.0.0.1:" + std::to_string(this->Port);
  std::string Answer;
  Ending Next = Ending::Close;
  /// The heads of the requests, in order.
  std::vector<std::string> Requests;
  /// How many more calls of serve() a connection stays open after its answer.
  int RoundsToEnd = 0;

  /// Takes new connections and answers the requests that have come.
  void serve() {
    for (int Descriptor = this->Listener.accept(); Descriptor >= 0;
         Descriptor = this->Listener.accept())
      this->Connections.push_back(std::make_unique<Connection>(Descriptor));
    for (const auto &Each : this->Connections) {
      if (Each->Peer.Descriptor < 0)
        continue;
      if (Each->RoundsLeft) {
        if (--*Each->RoundsLeft <= 0)
          this->end(Each->Peer);
        continue;
      }
      // Most of a long body is left unread.
      Each->Peer.readSome(1024);
      if (Each->Peer.Received.find("\r\n\r\n") == std::string::npos)
        continue;
      this->Requests.push_back(std::exchange(Each->Peer.Received, {}));
      Each->Peer.write(this->Answer);
      Each->RoundsLeft = this->RoundsToEnd;
    }
  }

private:
  struct Connection {
    explicit Connection(int Descriptor) : Peer(Descriptor) {}
    RawPeer Peer;
    /// Set once the answer is written.
    std::optional<int> RoundsLeft;
  };

  void end(RawPeer &Peer) const {
    if (this->Next == Ending::Close)
      Peer.drop();
    else
      Peer.reset();
  }

  std::vector<std::unique_ptr<Connection>> Connections;
};

} // namespace turmericpass

#endif
