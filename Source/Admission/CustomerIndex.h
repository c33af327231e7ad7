#ifndef TURMERICPASS_ADMISSION_CUSTOMERINDEX_H
#define TURMERICPASS_ADMISSION_CUSTOMERINDEX_H

#include "Core/Error.h"

#include <string>
#include <unordered_map>

namespace turmericpass {

struct FleetSettings;

/// Finds customers by API key and services by model name.
class CustomerIndex {
public:
  /// Replaces the indexes with the API keys and models in \p Settings.
  void configure(const FleetSettings &Settings);

  /// Returns the name of the customer whose API key is in \p Authorization, a
  /// header value of the form "Bearer KEY". Errors: Unauthenticated.
  Result<std::string> authenticate(const std::string &Authorization) const;

  /// Returns the name of the service that serves \p Model, or nullptr if there
  /// is none.
  const std::string *findServiceOfModel(const std::string &Model) const;

private:
  std::unordered_map<std::string, std::string> CustomerByKeyHash;
  std::unordered_map<std::string, std::string> ServiceByModel;
};

} // namespace turmericpass

#endif
