#include "Node/OrganisationLimiter.h"

#include "Serving/RateLimits.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <utility>

namespace turmericpass {

namespace {

/// The minimum interval between two log lines on one organisation. A line for
/// each refused request would be written at the rate of the demand.
constexpr Duration LogInterval = std::chrono::seconds(1);

} // namespace

OrganisationLimiter::Series
OrganisationLimiter::seriesOf(std::string_view Name) {
  std::string Label = "{organisation=\"";
  for (const char Each : Name) {
    if (Each == '\n') {
      Label += "\\n";
      continue;
    }
    if (Each == '"' || Each == '\\')
      Label += '\\';
    Label += Each;
  }
  Label += "\"}";
  Series Names;
  Names.Admitted = "limit_admitted_total" + Label;
  Names.Refused = "limit_refused_total" + Label;
  return Names;
}

OrganisationLimiter::Series &
OrganisationLimiter::findSeries(const std::string &Organisation) {
  const auto Found = this->Known.find(Organisation);
  if (Found != this->Known.end())
    return Found->second;
  if (this->Known.size() >= MaxOrganisations)
    return this->Others;
  return this->Known.emplace(Organisation, seriesOf(Organisation))
      .first->second;
}

std::optional<Duration>
OrganisationLimiter::apply(const OrganisationSettings &Organisation,
                           std::uint64_t Random) {
  if (Organisation.RatePerSecond <= 0)
    return std::nullopt;
  const std::optional<Duration> Delay =
      this->Limits.refuse(Organisation, Random);
  Series &Counted = this->findSeries(Organisation.Name);
  this->Stats.add(Delay ? Counted.Refused : Counted.Admitted);
  if (Delay)
    this->logRefusal(Counted, Organisation);
  return Delay;
}

void OrganisationLimiter::logRefusal(Series &Refused,
                                     const OrganisationSettings &Organisation) {
  ++Refused.RefusedSinceLog;
  const Instant Now = this->Time.now();
  if (Now - Refused.LoggedAt < LogInterval)
    return;
  Refused.LoggedAt = Now;
  const FleetShares &Shares = this->Limits.shares();
  this->Log.log(LogLevel::Info, "An organisation is over its limit.",
                {{"organisation", Organisation.Name},
                 {"refused", std::exchange(Refused.RefusedSinceLog, 0)},
                 {"rate", Organisation.RatePerSecond},
                 {"balance", this->Limits.balance(Organisation.Name)},
                 {"nodes_heard", Shares.heard()},
                 {"nodes", Shares.count()}});
}

} // namespace turmericpass
