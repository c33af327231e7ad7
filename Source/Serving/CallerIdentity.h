#ifndef TURMERICPASS_SERVING_CALLERIDENTITY_H
#define TURMERICPASS_SERVING_CALLERIDENTITY_H

#include <optional>
#include <string>

namespace turmericpass {

/// What is known of the caller of a request.
struct CallerIdentity {
  /// Whether the settings have organisations. If not, headers with keys and
  /// names of organisations are passed on unchanged.
  bool IsChecked = false;
  /// The organisation whose key the caller sent, or empty if the request is
  /// public and has no known key.
  std::string Organisation;
  /// The priority of the organisation, if it has one of its own.
  std::optional<int> Priority;
};

} // namespace turmericpass

#endif
