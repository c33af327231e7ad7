#include "Node/DigestPort.h"

#include "RawHttp/SocketOptions.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace turmericpass {

namespace {

/// The size of the receive buffer. A digest of 60 servers has about 1 KB.
constexpr std::size_t DatagramBytes = 16384;

} // namespace

DigestPort::~DigestPort() {
  if (this->Descriptor >= 0)
    close(this->Descriptor);
}

Result<void> DigestPort::open(const std::string &Address,
                              ReceiveCallback Handler) {
  this->Callback = std::move(Handler);
  const Result<sockaddr_in> Own = parseSocketAddress(Address);
  if (!Own)
    return tl::make_unexpected(Own.error());
  this->Descriptor =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (this->Descriptor < 0 ||
      bind(this->Descriptor, reinterpret_cast<const sockaddr *>(&*Own),
           sizeof(*Own)) != 0)
    return failure(ErrorCode::Unavailable, "Cannot bind UDP socket " + Address +
                                               ": " + std::strerror(errno) +
                                               ".");
  this->Loop.onReadable(this->Descriptor, [this] { this->receiveAll(); });
  return {};
}

void DigestPort::send(const std::string &Address, std::string_view Bytes) {
  const Result<sockaddr_in> To = parseSocketAddress(Address);
  if (To)
    // The result is ignored because the next digest supersedes this one.
    (void)sendto(this->Descriptor, Bytes.data(), Bytes.size(), 0,
                 reinterpret_cast<const sockaddr *>(&*To), sizeof(*To));
}

void DigestPort::receiveAll() {
  std::array<char, DatagramBytes> Buffer;
  sockaddr_in From{};
  socklen_t Length = sizeof(From);
  for (;;) {
    const ssize_t Count =
        recvfrom(this->Descriptor, Buffer.data(), Buffer.size(), 0,
                 reinterpret_cast<sockaddr *>(&From), &Length);
    if (Count < 0)
      return;
    std::array<char, INET_ADDRSTRLEN> Ip{};
    inet_ntop(AF_INET, &From.sin_addr, Ip.data(), Ip.size());
    this->Callback(
        std::string(Ip.data()) + ":" + std::to_string(ntohs(From.sin_port)),
        std::string_view(Buffer.data(), static_cast<std::size_t>(Count)));
  }
}

} // namespace turmericpass
