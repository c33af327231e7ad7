#ifndef TURMERICPASS_GATEWAY_PROBLEM_H
#define TURMERICPASS_GATEWAY_PROBLEM_H

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Http/HttpTypes.h"
#include "Wire/Messages.h"

#include <cstdint>
#include <string>

namespace turmericpass {

/// An error as the caller sees it: a problem document after RFC 9457.
struct Problem {
  int Status = 500;
  /// The last part of the type URI, such as "overloaded".
  std::string Kind;
  std::string Title;
  std::string Detail;
  Execution Ran = Execution::NotRun;
  /// Milliseconds; 0 leaves out the Retry-After header.
  std::uint64_t RetryAfterMs = 0;
};

/// Returns the document's JSON text on one line.
std::string toJson(const Problem &Value);

/// Returns the HTTP reply of \p Value, with Retry-After in whole seconds,
/// rounded up.
HttpReply toReply(const Problem &Value);

/// Returns the problem of a request that was refused before anything ran.
Problem toProblem(const Error &Reason);

/// Returns the problem of a method that the path does not take.
Problem wrongMethod(const std::string &Allowed);

/// Returns the problem of an idempotency key that has another use.
Problem keyReused(const std::string &Detail);

/// Returns the problem of a customer that must wait for its quota.
Problem quotaUsedUp(Duration Wait);

/// Returns the problem of an ending that is not a good answer.
Problem toProblem(const Finish &Ending);

} // namespace turmericpass

#endif
