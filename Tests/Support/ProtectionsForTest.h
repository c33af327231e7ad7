#ifndef TURMERICPASS_TESTS_SUPPORT_PROTECTIONSFORTEST_H
#define TURMERICPASS_TESTS_SUPPORT_PROTECTIONSFORTEST_H

#include "Jobs/Protections.h"

namespace turmericpass {

/// Turns off one protection of durable work.
struct ProtectionsForTest {
  static Protections withoutEpochCheck() {
    Protections Rules;
    Rules.EpochCheck = false;
    return Rules;
  }
  static Protections withoutReadBack() {
    Protections Rules;
    Rules.ReadBack = false;
    return Rules;
  }
  static Protections withoutIntentRow() {
    Protections Rules;
    Rules.IntentRow = false;
    return Rules;
  }
  static Protections withoutRaisedEpoch() {
    Protections Rules;
    Rules.RaiseEpoch = false;
    return Rules;
  }
};

} // namespace turmericpass

#endif
