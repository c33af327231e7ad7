#ifndef TURMERICPASS_RAWHTTP_OUTPUTPROGRESS_H
#define TURMERICPASS_RAWHTTP_OUTPUTPROGRESS_H

#include "Core/Clock.h"

#include <cstddef>
#include <cstdint>

namespace turmericpass {

/// What the kernel knows about the peer of a connection.
struct PeerState {
  /// The number of bytes that the peer has not acknowledged.
  std::size_t Unacknowledged = 0;
  /// The number of retransmissions and window probes since the last
  /// acknowledgement.
  unsigned UnansweredPackets = 0;
  Duration SinceAcknowledgement = Duration(0);

  /// Returns whether packets to the peer get lost. A peer that does not read
  /// still acknowledges window probes, of which one at a time is in flight.
  bool isUnresponsive() const;
};

/// Decides whether a caller still takes the bytes of its answers. This class
/// performs no I/O. It handles callers on links so slow that an answer takes
/// longer than the idle timeout, and callers that stop reading.
class OutputProgress {
public:
  /// How long a caller may take nothing. Pauses of a caller that is busy with
  /// what it has read last some seconds; one that never reads again must not
  /// hold memory for long.
  static constexpr Duration UnreadTime = std::chrono::seconds(20);

  explicit OutputProgress(Instant Now) : LastTakenAt(Now) {}

  void recordWritten(std::size_t Bytes, Instant Now);

  /// Records that the caller has not taken \p Untaken of the written bytes.
  void recordUntaken(std::size_t Untaken, Instant Now);

  bool isAllTaken() const { return this->Taken == this->Written; }
  /// Returns whether there are bytes to take and the caller has taken none for
  /// UnreadTime.
  bool hasStopped(Instant Now) const {
    return !this->isAllTaken() && Now - this->LastTakenAt >= UnreadTime;
  }
  /// The time at which the caller was last seen to take bytes.
  Instant lastTakenAt() const { return this->LastTakenAt; }

private:
  std::uint64_t Written = 0;
  std::uint64_t Taken = 0;
  Instant LastTakenAt;
};

} // namespace turmericpass

#endif
