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
  /// Takes the keys and models of \p Settings.
  void configure(const FleetSettings &Settings);

  /// Returns the name of the customer whose key stands in \p Authorization, a
  /// header "Bearer KEY". Errors: Unauthenticated.
  Result<std::string> authenticate(const std::string &Authorization) const;

  /// Returns the name of the service of \p Model, or nullptr.
  const std::string *findServiceOfModel(const std::string &Model) const;

private:
  std::unordered_map<std::string, std::string> CustomerByHash;
  std::unordered_map<std::string, std::string> ServiceByModel;
};

} // namespace turmericpass

#endif
