#ifndef TURMERICPASS_JOBS_INTENTLEDGER_H
#define TURMERICPASS_JOBS_INTENTLEDGER_H

#include "Core/Error.h"
#include "Wire/Messages.h"

#include <functional>
#include <string>

namespace turmericpass {

/// Identifies work that must run at most once.
struct IntentKey {
  std::string Customer;
  std::string IdempotencyKey;
};

/// The stored outcome of work that must run at most once.
struct IntentOutcome {
  Execution Ran = Execution::Unknown;
  std::uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
};

/// What the caller of begin() may do.
enum class IntentVerdict {
  /// This attempt obtained the row: send the work once, then call finish().
  Proceed,
  /// An earlier attempt finished; Outcome holds its result.
  Replay,
  /// Another attempt holds the row and has not stored an outcome yet.
  InProgress,
  /// The key was used for a different request body.
  Mismatch,
};

std::string_view toName(IntentVerdict Verdict);

struct IntentDecision {
  IntentVerdict Verdict = IntentVerdict::InProgress;
  IntentOutcome Outcome;
  /// The time at which the row was inserted, in milliseconds since 1970.
  std::int64_t SinceMs = 0;
};

/// Keeps intent rows in the platform's table. Errors of the table are returned
/// as Unavailable; an error of begin() guarantees that this attempt did not
/// obtain the row.
class IntentLedger {
public:
  using BeginDone = std::function<void(Result<IntentDecision>)>;
  using FinishDone = std::function<void(Result<void>)>;

  virtual ~IntentLedger() = default;

  /// Inserts the row of \p Key if it is absent. \p AttemptId is unique. \p
  /// RequestHash distinguishes a resend from another request with the same key.
  virtual void begin(const IntentKey &Key, const std::string &AttemptId,
                     const std::string &RequestHash, BeginDone Done) = 0;

  /// Stores the outcome in the row that \p AttemptId holds. The write is
  /// retried until the table accepts it, unless the outcomes that wait for the
  /// table exceed their limit. An outcome with Execution::NotRun releases the
  /// row, so that a resend may run.
  virtual void finish(const IntentKey &Key, const std::string &AttemptId,
                      IntentOutcome Outcome, FinishDone Done) = 0;
};

} // namespace turmericpass

#endif
