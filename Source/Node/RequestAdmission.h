#ifndef TURMERICPASS_NODE_REQUESTADMISSION_H
#define TURMERICPASS_NODE_REQUESTADMISSION_H

#include "BatchJobs/JobCallCodec.h"
#include "Serving/BackendProtocol.h"
#include "Serving/CallerIdentity.h"
#include "Serving/OrganisationDirectory.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace turmericpass {

/// The objects and functions that RequestAdmission depends on.
struct RequestAdmissionDependencies {
  const BackendProtocol &Protocol;
  const JobCallCodec &Codec;
  const OrganisationDirectory &Organisations;
  /// Returns the settings in force, or nullptr before the first ones arrive.
  std::function<const ServingSettings *()> Settings;
  /// Returns whether the known keys may be used. See KeyTrustPolicy.
  std::function<bool()> MayUseKeys;
  /// Returns whether this VM may end before a request that takes this long is
  /// over.
  std::function<bool(Duration)> MayEndWithin;
  /// Counts a request of an organisation, or returns the delay after which the
  /// caller may try again. See RateLimits.
  std::function<std::optional<Duration>(const OrganisationSettings &)>
      ApplyLimit = [](const OrganisationSettings &) { return std::nullopt; };
};

/// Why a request is not served. It has not run and never will.
struct RequestRefusal {
  int Status = 0;
  std::string_view Reason;
  /// The time in seconds after which the caller may try again, or empty.
  std::string RetryAfter;
};

/// A request that is to be served. It has either a route or a call.
struct AdmittedRequest {
  const RouteSettings *Route = nullptr;
  std::optional<JobCall> Call;
  /// The organisation of the caller, or nullptr if it is not known.
  const OrganisationSettings *Organisation = nullptr;
  CallerIdentity Identity;
};

/// Decides whether a request of a caller is served: the settings must be known,
/// the request must have a route or concern a job, its key must be known, and
/// its organisation must be within its limit.
/// This class performs no I/O.
class RequestAdmission {
public:
  explicit RequestAdmission(RequestAdmissionDependencies Dependencies)
      : Dependencies(std::move(Dependencies)) {}

  /// Decides on \p Request. The pointers in the result are valid until the
  /// settings change.
  tl::expected<AdmittedRequest, RequestRefusal>
  decide(const RawRequest &Request) const;

private:
  /// Returns the key in the headers, or an empty view if there is none.
  std::string_view keyOf(const HttpHeaders &Headers) const;
  /// Returns how long \p Request takes at most if its route allows \p MaxTime.
  Duration timeLimitOf(const RawRequest &Request, Duration MaxTime) const;

  RequestAdmissionDependencies Dependencies;
};

} // namespace turmericpass

#endif
