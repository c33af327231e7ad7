#include "Serving/StallPolicy.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// The shortest pause that counts as a stall.
constexpr Duration MinStallTime = std::chrono::milliseconds(600);

/// The number of target latencies within which the answer has to begin.
constexpr int TargetLatenciesToBegin = 3;

/// The number of gap targets, and of the longest gaps of the stream so far,
/// that a pause of the stream may last.
constexpr int GapTargets = 2;
constexpr int LongestGaps = 4;

/// The bytes of a body that count as progress.
constexpr std::size_t MinProgressBytes = 512;

/// Callers leave a stream after a pause of this time, of this number of target
/// latencies or of this number of gap targets, whichever is longest.
constexpr Duration CallerPatience = std::chrono::seconds(2);
constexpr int PatientTargetLatencies = 4;
constexpr int PatientGapTargets = 8;
/// The caller's own decision to leave comes first.
constexpr Duration PatienceMargin = std::chrono::milliseconds(500);

} // namespace

void StallPolicy::start(Instant Now) {
  *this = StallPolicy();
  this->LastProgress = Now;
}

void StallPolicy::recordHead(Instant Now, bool IsStream) {
  this->HeadArrived = true;
  this->IsEventStream = IsStream;
  this->LastProgress = Now;
}

void StallPolicy::recordEvent(Instant Now) {
  this->LongestGap = std::max(this->LongestGap, Now - this->LastProgress);
  this->LastProgress = Now;
}

bool StallPolicy::recordBody(Instant Now, std::size_t Bytes) {
  this->BytesSinceProgress += Bytes;
  if (this->BytesSinceProgress < MinProgressBytes)
    return false;
  this->BytesSinceProgress = 0;
  this->LastProgress = Now;
  return true;
}

Duration StallPolicy::retryLimit(const RouteSettings &Route) const {
  if (!this->HeadArrived || !this->IsEventStream)
    return std::max<Duration>(MinStallTime,
                              Route.TargetLatency * TargetLatenciesToBegin);
  return std::max({MinStallTime, Duration(Route.EventGapTarget * GapTargets),
                   Duration(this->LongestGap * LongestGaps)});
}

std::optional<Duration>
StallPolicy::abandonLimit(const RouteSettings &Route) const {
  if (!this->HeadArrived || !this->IsEventStream)
    return std::nullopt;
  return std::max({CallerPatience,
                   Duration(Route.TargetLatency * PatientTargetLatencies),
                   Duration(Route.EventGapTarget * PatientGapTargets),
                   Duration(this->LongestGap * LongestGaps)}) +
         PatienceMargin;
}

} // namespace turmericpass
