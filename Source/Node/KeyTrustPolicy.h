#ifndef TURMERICPASS_NODE_KEYTRUSTPOLICY_H
#define TURMERICPASS_NODE_KEYTRUSTPOLICY_H

#include "Core/Clock.h"

namespace turmericpass {

/// Decides whether a VM that may have missed the removal of a key goes on with
/// the keys that it knows. This class performs no I/O.
class KeyTrustPolicy {
public:
  /// If \p IsStrict is false, the keys are always used. If it is true, they are
  /// used for \p Limit after the last contact.
  KeyTrustPolicy(bool IsStrict, Duration Limit)
      : IsStrict(IsStrict), Limit(Limit) {}

  /// \p LastContact is the time of the last message of the store or of another
  /// VM.
  bool mayUseKeys(Instant LastContact, Instant Now) const {
    return !this->IsStrict || Now - LastContact <= this->Limit;
  }

private:
  bool IsStrict;
  Duration Limit;
};

} // namespace turmericpass

#endif
