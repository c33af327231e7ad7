#include "Gateway/IntentProblem.h"

namespace turmericpass {

namespace {

constexpr std::uint64_t InProgressRetryAfterMs = 1000;

} // namespace

Problem makeIntentProblem(IntentVerdict Verdict, std::int64_t AgeMs,
                          Duration TimeLimit) {
  if (Verdict == IntentVerdict::Mismatch)
    return makeKeyReusedProblem(
        "Header \"Idempotency-Key\" was used with another "
        "request; send a new key.");
  if (std::chrono::milliseconds(AgeMs) > TimeLimit)
    return {409,
            "outcome-unknown",
            "The outcome of the call is unknown",
            "The gateway that sent this call left no outcome, and the call is "
            "never sent again. Find out at the service.",
            Execution::Unknown,
            0};
  return {409,
          "in-progress",
          "The call is in progress",
          "An earlier request with this idempotency key has no outcome yet.",
          Execution::Unknown,
          InProgressRetryAfterMs};
}

} // namespace turmericpass
