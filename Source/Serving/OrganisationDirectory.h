#ifndef TURMERICPASS_SERVING_ORGANISATIONDIRECTORY_H
#define TURMERICPASS_SERVING_ORGANISATIONDIRECTORY_H

#include "Core/Hash.h"
#include "Serving/ServingSettings.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace turmericpass {

/// Finds the organisation that a key belongs to. It keeps digests instead of
/// keys, so that the time of a look-up says nothing about the keys. This class
/// performs no I/O.
class OrganisationDirectory {
public:
  /// Replaces all organisations and keys. If two organisations have the same
  /// key, which the reader of the settings rejects, it belongs to one of them.
  void replace(const std::vector<OrganisationSettings> &Settings);

  /// Returns whether there are no organisations, so that no key is needed.
  bool isEmpty() const { return this->Organisations.empty(); }

  /// Returns the organisation with \p Key, without its keys, or nullptr if the
  /// key is not known. The result is valid until the next call of replace().
  const OrganisationSettings *find(std::string_view Key) const;

private:
  struct KnownKey {
    Sha256Digest Digest;
    std::uint32_t Organisation;
  };

  std::vector<OrganisationSettings> Organisations;
  /// Sorted by digest.
  std::vector<KnownKey> Keys;
};

} // namespace turmericpass

#endif
