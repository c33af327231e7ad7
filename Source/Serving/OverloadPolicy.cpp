#include "Serving/OverloadPolicy.h"

#include "Serving/ServerDirectory.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// The weight of the newest request in the mean time of requests.
constexpr double NewestWeight = 0.05;

/// The part of the target latency that a request may wait for its start; the
/// rest is for its prompt and the way.
constexpr double WaitShare = 0.75;

/// How many target latencies a request may wait that has come back. A longer
/// queue makes everyone behind it late as well, long after the wave.
constexpr double ReturnedWaitTargets = 3;

/// Two attempts of a caller are told apart by the time that it has left; less
/// than this is the time on the way.
constexpr Duration FirstAttemptSlack = std::chrono::milliseconds(150);

/// Callers honour a wait of up to a third of the time that they have left.
constexpr int HonouredPart = 3;
/// Callers come back spread over the last part of the wait that they honour,
/// so that they do not make a wave of their own.
constexpr double EarliestReturn = 0.85;
constexpr std::uint64_t SpreadSteps = 1000;

} // namespace

void OverloadPolicy::served(const std::string &Service, Duration Time) {
  double &Mean = this->MeanMicros[Service];
  const auto Micros = static_cast<double>(Time.count());
  Mean = Mean == 0 ? Micros : Mean + NewestWeight * (Micros - Mean);
}

Duration OverloadPolicy::expectedWait(const std::string &Service,
                                      const Placement &Choice) const {
  const auto Mean = this->MeanMicros.find(Service);
  if (Mean == this->MeanMicros.end() || Choice.Waiting <= 0)
    return Duration(0);
  // A slot comes free every mean time divided by the slots.
  return Duration(static_cast<std::int64_t>(Mean->second * Choice.Waiting /
                                            Choice.Server->Entry.Slots));
}

std::optional<Duration>
OverloadPolicy::refuse(const RouteSettings &Route, const std::string &Service,
                       const Placement &Choice,
                       std::optional<Duration> Remaining,
                       std::uint64_t Random) {
  if (!Remaining)
    return std::nullopt;
  Duration &Full = this->FullTime[Route.Name];
  Full = std::max(Full, *Remaining);
  const bool FirstAttempt = Full - *Remaining <= FirstAttemptSlack;
  const double Allowed = static_cast<double>(Route.TargetLatency.count()) *
                         (FirstAttempt ? WaitShare : ReturnedWaitTargets);
  if (static_cast<double>(this->expectedWait(Service, Choice).count()) <=
      Allowed)
    return std::nullopt;
  const double Longest = static_cast<double>(Remaining->count()) / HonouredPart;
  const double Part =
      EarliestReturn + (1 - EarliestReturn) *
                           static_cast<double>(Random % SpreadSteps) /
                           static_cast<double>(SpreadSteps);
  return Duration(static_cast<std::int64_t>(Longest * Part));
}

} // namespace turmericpass
