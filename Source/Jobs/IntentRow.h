#ifndef TURMERICPASS_JOBS_INTENTROW_H
#define TURMERICPASS_JOBS_INTENTROW_H

#include "Jobs/IntentLedger.h"

namespace turmericpass {

enum class IntentState {
  /// The attempt may have sent the work.
  Begun,
  /// The outcome is stored.
  Done,
  /// The work did not run; another attempt may take the row.
  Released,
};

std::string_view toName(IntentState State);

/// The value of an intent row.
struct IntentRow {
  IntentState State = IntentState::Begun;
  std::string AttemptId;
  std::string RequestHash;
  std::int64_t SinceMs = 0;
  IntentOutcome Outcome;
};

/// Returns the key of the row. The idempotency key is hashed because callers
/// choose its bytes.
std::string intentRowKey(const IntentKey &Key);

std::string encodeIntentRow(const IntentRow &Row);

/// Errors: Malformed.
Result<IntentRow> decodeIntentRow(const std::string &Text);

} // namespace turmericpass

#endif
