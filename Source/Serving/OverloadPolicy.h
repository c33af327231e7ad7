#ifndef TURMERICPASS_SERVING_OVERLOADPOLICY_H
#define TURMERICPASS_SERVING_OVERLOADPOLICY_H

#include "Core/Clock.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServingSettings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace turmericpass {

/// Decides which requests are turned away while callers ask for more than the
/// servers can serve in time. It has no I/O.
///
/// The load pattern that it answers: waves of some seconds that exceed the
/// slots, with room after them. Served in order of arrival, every request of
/// the wave would be late. A request that cannot be on time is told at once to
/// come back when the wave has passed. One that has come back is served, late
/// if need be, unless a burst of several times what the servers serve has made
/// a queue in which it and everyone behind it would wait for long.
class OverloadPolicy {
public:
  /// A request of \p Service took \p Time at its server.
  void served(const std::string &Service, Duration Time);

  /// Returns when a caller should come back, or nothing if its request is to
  /// be sent to \p Choice now. \p Remaining is how long the caller waits, and
  /// \p Random spreads the callers that come back.
  std::optional<Duration> refuse(const RouteSettings &Route,
                                 const std::string &Service,
                                 const Placement &Choice,
                                 std::optional<Duration> Remaining,
                                 std::uint64_t Random);

  /// How long a request waits at the server of \p Choice before it starts.
  Duration expectedWait(const std::string &Service,
                        const Placement &Choice) const;

private:
  /// The mean time of requests at servers, by service.
  std::map<std::string, double> MeanMicros;
  /// The most time that callers of a route give; less means that a caller has
  /// come back.
  std::map<std::string, Duration> FullTime;
};

} // namespace turmericpass

#endif
