#include "RawHttp/SocketOptions.h"

#include <arpa/inet.h>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace turmericpass {

namespace {

/// A partition swallows packets without a reset. With these figures a
/// silent peer is given up after 2 to 3 s, before most callers' deadlines.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr unsigned UserTimeoutMs = 2500;

template <typename T>
void setOption(int Descriptor, int Level, int Name, T Value) {
  // A refused option leaves the system's default, which only detects a silent
  // peer later.
  (void)setsockopt(Descriptor, Level, Name, &Value, sizeof(Value));
}

} // namespace

Result<sockaddr_in> parseSocketAddress(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  sockaddr_in Parsed{};
  Parsed.sin_family = AF_INET;
  std::uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  if (Colon == std::string::npos ||
      inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Parsed.sin_addr) !=
          1 ||
      std::from_chars(Address.data() + Colon + 1, End, Port).ptr != End ||
      Port == 0)
    return failure(ErrorCode::InvalidArgument,
                   "The address \"" + Address +
                       "\" is not of the form a.b.c.d:port.");
  Parsed.sin_port = htons(Port);
  return Parsed;
}

void tuneConnection(int Descriptor) {
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
}

} // namespace turmericpass
