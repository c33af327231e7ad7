#include "Serving/HedgePlanner.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// At 3 requests a second, 50 samples take 17 s, and several times as many are
/// needed for a quantile of 0.99.
constexpr Duration SampleMaxAge = std::chrono::seconds(60);
constexpr std::size_t MaxSamples = 1024;

/// The delay is not computed for each request, because it sorts the samples.
constexpr Duration RefreshInterval = std::chrono::milliseconds(100);

Duration fromMillis(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Value));
}

} // namespace

std::string_view toName(HedgeDecision Decision) {
  switch (Decision) {
  case HedgeDecision::Send:
    return "send";
  case HedgeDecision::Disabled:
    return "disabled";
  case HedgeDecision::Attempts:
    return "attempts";
  case HedgeDecision::Suspect:
    return "suspect";
  case HedgeDecision::Deadline:
    return "deadline";
  case HedgeDecision::Capacity:
    return "capacity";
  case HedgeDecision::Budget:
    return "budget";
  }
  return "unknown";
}

double quantileWithLowerBounds(const std::vector<double> &Measured,
                               const std::vector<double> &LowerBounds,
                               double Share) {
  double Slower = 1;
  std::size_t Bounds = 0;
  for (std::size_t I = 0; I < Measured.size(); ++I) {
    while (Bounds < LowerBounds.size() && LowerBounds[Bounds] < Measured[I])
      ++Bounds;
    const auto AtRisk =
        static_cast<double>(Measured.size() - I + LowerBounds.size() - Bounds);
    Slower *= 1 - 1 / AtRisk;
    // The tolerance covers the rounding of the product.
    if (Slower <= 1 - Share + 1e-9)
      return Measured[I];
  }
  return LowerBounds.empty() ? Measured.back()
                             : std::max(Measured.back(), LowerBounds.back());
}

HedgePlanner::ServiceTimes::ServiceTimes()
    : Measured(MaxSamples, SampleMaxAge),
      LowerBounds(MaxSamples, SampleMaxAge) {}

void HedgePlanner::recordRequest() {
  if (this->isEnabled())
    this->Budget.recordRequest(this->Time.now());
}

void HedgePlanner::recordAnswer(const std::string &Service, Duration Elapsed) {
  if (this->isEnabled())
    this->Services[Service].Measured.add(toMillis(Elapsed), this->Time.now());
}

void HedgePlanner::recordLowerBound(const std::string &Service,
                                    Duration Elapsed) {
  if (this->isEnabled())
    this->Services[Service].LowerBounds.add(toMillis(Elapsed),
                                            this->Time.now());
}

HedgePlanner::ServiceTimes *HedgePlanner::refresh(std::string_view Service) {
  const auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return nullptr;
  ServiceTimes &Times = Found->second;
  const Instant Now = this->Time.now();
  if (Times.Delay && Now - Times.ComputedAt < RefreshInterval)
    return &Times;
  Times.ComputedAt = Now;
  Times.Delay.reset();
  const std::vector<double> Measured = Times.Measured.sorted(Now);
  if (Measured.size() < MinSamples)
    return &Times;
  const std::vector<double> LowerBounds = Times.LowerBounds.sorted(Now);
  Times.Delay = fromMillis(quantileWithLowerBounds(
      Measured, LowerBounds, 1 - this->Settings.Share / 2));
  Times.Median =
      fromMillis(quantileWithLowerBounds(Measured, LowerBounds, 0.5));
  return &Times;
}

std::optional<Duration> HedgePlanner::delay(std::string_view Service) {
  if (!this->isEnabled())
    return std::nullopt;
  const ServiceTimes *Times = this->refresh(Service);
  if (!Times || !Times->Delay)
    return std::nullopt;
  return std::max(*Times->Delay, this->Settings.MinDelay);
}

HedgeDecision HedgePlanner::checkRules(const HedgeCandidate &Candidate) {
  if (!this->isEnabled())
    return HedgeDecision::Disabled;
  // A request that had a broken send may have crashed its server.
  if (!Candidate.MayRepeat || Candidate.PossibleRuns > 1 ||
      Candidate.PossibleRuns >= Candidate.MaxAttempts)
    return HedgeDecision::Attempts;
  if (Candidate.IsSuspect)
    return HedgeDecision::Suspect;
  const ServiceTimes *Times = this->refresh(Candidate.Service);
  if (!Times || !Times->Delay || Candidate.Remaining <= Times->Median)
    return HedgeDecision::Deadline;
  if (!Candidate.HasServer || Candidate.FreeSlots < this->Settings.FreeSlots)
    return HedgeDecision::Capacity;
  return HedgeDecision::Send;
}

HedgeDecision HedgePlanner::decide(const HedgeCandidate &Candidate) {
  const HedgeDecision Decision = this->checkRules(Candidate);
  if (Decision != HedgeDecision::Send)
    return Decision;
  return this->Budget.tryTake(this->Settings.Share, this->Time.now())
             ? HedgeDecision::Send
             : HedgeDecision::Budget;
}

} // namespace turmericpass
