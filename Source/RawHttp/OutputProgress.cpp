#include "RawHttp/OutputProgress.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// The same time as the kernel's limit for connections without an answer in
/// progress.
constexpr Duration UnresponsiveTime = std::chrono::milliseconds(2500);

} // namespace

bool PeerState::isUnresponsive() const {
  return this->Unacknowledged > 0 && this->UnansweredPackets > 1 &&
         this->SinceAcknowledgement >= UnresponsiveTime;
}

void OutputProgress::recordWritten(std::size_t Bytes, Instant Now) {
  // A caller that had nothing to take was not slow.
  if (this->isAllTaken())
    this->LastTakenAt = Now;
  this->Written += Bytes;
}

void OutputProgress::recordUntaken(std::size_t Untaken, Instant Now) {
  const std::uint64_t NowTaken =
      this->Written - std::min<std::uint64_t>(Untaken, this->Written);
  if (NowTaken <= this->Taken)
    return;
  this->Taken = NowTaken;
  this->LastTakenAt = Now;
}

} // namespace turmericpass
