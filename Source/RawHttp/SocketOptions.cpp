#include "RawHttp/SocketOptions.h"

#include <arpa/inet.h>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace turmericpass {

namespace {

/// A network partition drops packets without a reset. These values close the
/// connection to an unresponsive peer after 2 to 3 s, before the deadlines of
/// most callers.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr unsigned UserTimeoutMs = 2500;

template <typename T>
void setOption(int Descriptor, int Level, int Name, T Value) {
  // If the option is rejected, the default of the system applies, which detects
  // an unresponsive peer later.
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

void setSocketOptions(int Descriptor) {
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
}

PeerState readPeerState(int Descriptor) {
  PeerState State;
  int Unacknowledged = 0;
  if (ioctl(Descriptor, SIOCOUTQ, &Unacknowledged) == 0)
    State.Unacknowledged = static_cast<std::size_t>(Unacknowledged);
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  if (getsockopt(Descriptor, IPPROTO_TCP, TCP_INFO, &Info, &Size) == 0) {
    State.UnansweredPackets =
        static_cast<unsigned>(Info.tcpi_retransmits) + Info.tcpi_probes;
    State.SinceAcknowledgement =
        std::chrono::milliseconds(Info.tcpi_last_ack_recv);
  }
  return State;
}

void setUnreadTime(int Descriptor, std::optional<Duration> UnreadTime) {
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            UnreadTime ? static_cast<unsigned>(toMillis(*UnreadTime))
                       : UserTimeoutMs);
}

} // namespace turmericpass
