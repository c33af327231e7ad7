#ifndef TURMERICPASS_TESTS_SUPPORT_SLOWPEER_H
#define TURMERICPASS_TESTS_SUPPORT_SLOWPEER_H

#include "Support/RawPeer.h"

#include <netinet/tcp.h>

namespace turmericpass {

/// A caller whose kernel buffers little of what the test has not read.
class SlowPeer : public RawPeer {
public:
  void connect(std::uint16_t Port) {
    this->Descriptor = socket(AF_INET, SOCK_STREAM, 0);
    // With the large segments of the loopback device, the kernel buffers
    // whole answers.
    const int BufferBytes = 32768;
    const int SegmentBytes = 1400;
    setsockopt(this->Descriptor, SOL_SOCKET, SO_RCVBUF, &BufferBytes,
               sizeof(BufferBytes));
    setsockopt(this->Descriptor, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes,
               sizeof(SegmentBytes));
    const sockaddr_in Address = loopback(Port);
    // A failure shows as a connection that nobody accepts.
    (void)::connect(this->Descriptor,
                    reinterpret_cast<const sockaddr *>(&Address),
                    sizeof(Address));
  }

  /// Returns whether the received bytes end with \p End.
  bool hasReceived(std::string_view End) const {
    return this->Received.ends_with(End);
  }
};

} // namespace turmericpass

#endif
