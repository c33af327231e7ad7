#ifndef TURMERICPASS_TESTS_SUPPORT_RAWPEER_H
#define TURMERICPASS_TESTS_SUPPORT_RAWPEER_H

#include "Loop/EventLoop.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace turmericpass {

/// A plain socket in a test's loop, for bytes that no proper client or server
/// would send.
class RawPeer {
public:
  RawPeer() = default;
  explicit RawPeer(int Descriptor) : Descriptor(Descriptor) {}
  ~RawPeer() { this->drop(); }
  RawPeer(const RawPeer &) = delete;
  RawPeer &operator=(const RawPeer &) = delete;

  static sockaddr_in loopback(std::uint16_t Port) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return Address;
  }

  /// Binds a free port and returns it.
  std::uint16_t listen() {
    this->Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in Address = loopback(0);
    socklen_t Length = sizeof(Address);
    // A failure of these calls shows as port 0, which no test can reach.
    (void)bind(this->Descriptor, reinterpret_cast<sockaddr *>(&Address),
               Length);
    ::listen(this->Descriptor, 16);
    getsockname(this->Descriptor, reinterpret_cast<sockaddr *>(&Address),
                &Length);
    return ntohs(Address.sin_port);
  }

  /// Returns the descriptor of a waiting connection, or -1.
  int accept() {
    return ::accept4(this->Descriptor, nullptr, nullptr, SOCK_NONBLOCK);
  }

  void connect(std::uint16_t Port) {
    this->Descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in Address = loopback(Port);
    // A failure shows as a connection that nobody accepts.
    (void)::connect(this->Descriptor,
                    reinterpret_cast<const sockaddr *>(&Address),
                    sizeof(Address));
  }

  /// Writes as much as the socket takes at once and returns its size.
  std::size_t writeSome(std::string_view Bytes) {
    const ssize_t Count = ::send(this->Descriptor, Bytes.data(), Bytes.size(),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
    return Count > 0 ? static_cast<std::size_t>(Count) : 0;
  }

  void write(std::string_view Bytes) {
    // A short write would only make a test fail.
    (void)::send(this->Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }

  /// Adds what has come to Received; returns whether the other side closed.
  bool read() {
    std::array<char, 4096> Buffer;
    for (;;) {
      const ssize_t Count =
          recv(this->Descriptor, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (Count <= 0)
        return Count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
      this->Received.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
  }

  /// Adds at most \p Limit bytes to Received; returns whether the other side
  /// closed.
  bool readSome(std::size_t Limit) {
    std::string Buffer(Limit, '\0');
    const ssize_t Count =
        recv(this->Descriptor, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Count <= 0)
      return Count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    this->Received.append(Buffer.data(), static_cast<std::size_t>(Count));
    return false;
  }

  /// Closes with a reset.
  void reset() {
    const linger Now{1, 0};
    setsockopt(this->Descriptor, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
    this->drop();
  }

  void drop() {
    if (this->Descriptor >= 0)
      close(this->Descriptor);
    this->Descriptor = -1;
  }

  std::string Received;
  int Descriptor = -1;
};

} // namespace turmericpass

#endif
