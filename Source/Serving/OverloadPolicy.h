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

/// Decides which requests are refused while the load exceeds what the servers
/// can serve in time. This class performs no I/O.
///
/// The policy is meant for load bursts of some seconds that exceed the slots
/// and are followed by spare capacity. If the servers worked in order of
/// arrival, every request of a burst would be late. Therefore the caller of a
/// request that cannot be on time is told immediately to retry after the burst.
/// A retried request is served, even if it is late, unless the queue has grown
/// so long that this request and all later ones would wait for a long time. A
/// burst of several times the capacity causes such a queue.
class OverloadPolicy {
public:
  /// Records that a server took \p Time for a request of \p Service.
  void recordServiceTime(const std::string &Service, Duration Time);

  /// Returns the delay after which the caller should retry, or nullopt if its
  /// request is to be sent to \p Choice now. \p Remaining is the time for which
  /// the caller keeps waiting. \p Random spreads the retries of several
  /// callers.
  std::optional<Duration> computeRetryDelay(const RouteSettings &Route,
                                            const std::string &Service,
                                            const Placement &Choice,
                                            std::optional<Duration> Remaining,
                                            std::uint64_t Random);

  /// Returns how long a request would wait at the server of \p Choice before it
  /// starts.
  Duration expectedWait(const std::string &Service,
                        const Placement &Choice) const;

private:
  /// The mean time that servers take for a request, by service, in
  /// microseconds.
  std::map<std::string, double> MeanServiceMicros;
  /// The longest time for which a caller of each route keeps waiting. A
  /// considerably shorter remaining time indicates a retry.
  std::map<std::string, Duration> LongestTimeLimits;
};

} // namespace turmericpass

#endif
