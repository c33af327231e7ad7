#ifndef TURMERICPASS_GATEWAY_INTENTPROBLEM_H
#define TURMERICPASS_GATEWAY_INTENTPROBLEM_H

#include "Core/Clock.h"
#include "Gateway/Problem.h"
#include "Jobs/IntentLedger.h"

#include <cstdint>

namespace turmericpass {

/// Returns what a resend is told that neither may run nor has an outcome: the
/// verdict is Mismatch or InProgress. \p AgeMs is the age of the row, and \p
/// Limit the time that a call of its class may take.
Problem intentProblem(IntentVerdict Verdict, std::int64_t AgeMs,
                      Duration Limit);

} // namespace turmericpass

#endif
