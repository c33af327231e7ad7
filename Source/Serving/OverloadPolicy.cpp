#include "Serving/OverloadPolicy.h"

#include "Serving/ServerDirectory.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// The weight of the newest request in the moving average of the service time.
constexpr double NewestWeight = 0.05;

/// The part of the target latency that a first attempt may wait for its start.
/// The rest is needed to process the prompt and to transmit the messages.
constexpr double FirstAttemptWaitTargets = 0.75;

/// The number of target latencies that a retried request may wait. A longer
/// queue would delay all later requests as well, long after the burst.
constexpr double RetryWaitTargets = 3;

/// A retry is recognised by its shorter remaining time. A difference up to this
/// limit is attributed to transmission.
constexpr Duration FirstAttemptTolerance = std::chrono::milliseconds(150);

/// Callers honour a retry delay of up to a third of their remaining time.
constexpr int HonouredDivisor = 3;
/// Retries are spread over the interval from this part of the longest honoured
/// delay to its end, so that they do not form another burst.
constexpr double EarliestRetryFraction = 0.85;
constexpr std::uint64_t SpreadSteps = 1000;

} // namespace

void OverloadPolicy::recordServiceTime(const std::string &Service,
                                       Duration Time) {
  double &Mean = this->MeanServiceMicros[Service];
  const auto Micros = static_cast<double>(Time.count());
  Mean = Mean == 0 ? Micros : Mean + NewestWeight * (Micros - Mean);
}

Duration OverloadPolicy::expectedWait(const std::string &Service,
                                      const Placement &Choice) const {
  const auto Mean = this->MeanServiceMicros.find(Service);
  if (Mean == this->MeanServiceMicros.end() || Choice.WaitingRequests <= 0)
    return Duration(0);
  // On average, a slot becomes free once per mean service time divided by the
  // number of slots.
  return Duration(static_cast<std::int64_t>(
      Mean->second * Choice.WaitingRequests / Choice.Server->Entry.Slots));
}

std::optional<Duration> OverloadPolicy::computeRetryDelay(
    const RouteSettings &Route, const std::string &Service,
    const Placement &Choice, std::optional<Duration> Remaining,
    std::uint64_t Random) {
  if (!Remaining)
    return std::nullopt;
  Duration &LongestLimit = this->LongestTimeLimits[Route.Name];
  LongestLimit = std::max(LongestLimit, *Remaining);
  const bool IsFirstAttempt =
      LongestLimit - *Remaining <= FirstAttemptTolerance;
  const double AllowedWaitMicros =
      static_cast<double>(Route.TargetLatency.count()) *
      (IsFirstAttempt ? FirstAttemptWaitTargets : RetryWaitTargets);
  if (static_cast<double>(this->expectedWait(Service, Choice).count()) <=
      AllowedWaitMicros)
    return std::nullopt;
  const double LongestDelay =
      static_cast<double>(Remaining->count()) / HonouredDivisor;
  const double Fraction =
      EarliestRetryFraction + (1 - EarliestRetryFraction) *
                                  static_cast<double>(Random % SpreadSteps) /
                                  static_cast<double>(SpreadSteps);
  return Duration(static_cast<std::int64_t>(LongestDelay * Fraction));
}

} // namespace turmericpass
