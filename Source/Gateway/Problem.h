#ifndef TURMERICPASS_GATEWAY_PROBLEM_H
#define TURMERICPASS_GATEWAY_PROBLEM_H

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Http/HttpTypes.h"
#include "Wire/Messages.h"

#include <cstdint>
#include <string>

namespace turmericpass {

/// An error as it is reported to the caller: a problem document (RFC 9457).
struct Problem {
  int Status = 500;
  /// The last component of the type URI, such as "overloaded".
  std::string Kind;
  std::string Title;
  std::string Detail;
  Execution Ran = Execution::NotRun;
  /// If 0, the reply has no Retry-After header.
  std::uint64_t RetryAfterMs = 0;
};

/// Returns the problem document as JSON text on one line.
std::string toJson(const Problem &Value);

/// Returns the HTTP reply for \p Value. Its Retry-After header is in whole
/// seconds, rounded up.
HttpReply toReply(const Problem &Value);

/// Returns the problem for a request that was refused before anything ran.
Problem toProblem(const Error &Reason);

/// Returns the problem for a method that the path does not support. \p Allowed
/// is the supported method.
Problem makeMethodNotAllowedProblem(const std::string &Allowed);

/// Returns the problem for an idempotency key that was already used for another
/// request.
Problem makeKeyReusedProblem(const std::string &Detail);

/// Returns the problem for a customer whose quota is used up. \p Wait is the
/// time after which a request can be admitted.
Problem makeQuotaExceededProblem(Duration Wait);

/// Returns the problem for a request that did not end successfully.
Problem toProblem(const Finish &Ending);

} // namespace turmericpass

#endif
