#ifndef TURMERICPASS_NODE_ORGANISATIONLIMITER_H
#define TURMERICPASS_NODE_ORGANISATIONLIMITER_H

#include "Core/Clock.h"
#include "Serving/ServingSettings.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace turmericpass {

class Logger;
class Metrics;
class RateLimits;

/// Applies the limits of organisations to requests of callers, and counts the
/// admitted and the refused ones. There may be 10,000 organisations, so only
/// the first ones with requests have their own series.
class OrganisationLimiter {
public:
  /// The number of organisations with their own series. The rest is counted
  /// under the name OtherOrganisations.
  static constexpr std::size_t MaxOrganisations = 99;
  static constexpr std::string_view OtherOrganisations = "(other)";

  OrganisationLimiter(const Clock &Time, RateLimits &Limits, Logger &Log,
                      Metrics &Stats)
      : Time(Time), Limits(Limits), Log(Log), Stats(Stats) {}

  /// Counts a request of \p Organisation, or returns the delay after which the
  /// caller may try again. \p Random spreads the attempts of several callers.
  std::optional<Duration> apply(const OrganisationSettings &Organisation,
                                std::uint64_t Random);

private:
  /// The names of the two series of an organisation, and its log lines.
  struct Series {
    std::string Admitted;
    std::string Refused;
    std::uint64_t RefusedSinceLog = 0;
    Instant LoggedAt;
  };

  static Series seriesOf(std::string_view Name);
  Series &findSeries(const std::string &Organisation);
  void logRefusal(Series &Refused, const OrganisationSettings &Organisation);

  const Clock &Time;
  RateLimits &Limits;
  Logger &Log;
  Metrics &Stats;
  std::map<std::string, Series, std::less<>> Known;
  Series Others = seriesOf(OtherOrganisations);
};

} // namespace turmericpass

#endif
