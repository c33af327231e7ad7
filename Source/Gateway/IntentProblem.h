#ifndef TURMERICPASS_GATEWAY_INTENTPROBLEM_H
#define TURMERICPASS_GATEWAY_INTENTPROBLEM_H

#include "Core/Clock.h"
#include "Gateway/Problem.h"
#include "Jobs/IntentLedger.h"

#include <cstdint>

namespace turmericpass {

/// Returns the problem for a resend that may not run and has no stored outcome
/// to replay. \p Verdict must be Mismatch or InProgress. \p AgeMs is the age of
/// the intent row, and \p TimeLimit is the time that such a call may take.
/// An older row without an outcome means that its gateway stopped before it
/// stored one.
Problem makeIntentProblem(IntentVerdict Verdict, std::int64_t AgeMs,
                          Duration TimeLimit);

} // namespace turmericpass

#endif
