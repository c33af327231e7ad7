#ifndef TURMERICPASS_CORE_ERROR_H
#define TURMERICPASS_CORE_ERROR_H

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace turmericpass {

/// The kinds of failure that callers distinguish.
enum class ErrorCode {
  InvalidArgument,
  NotFound,
  Conflict,
  Unavailable,
  Timeout,
  TooLarge,
  Malformed,
  Unauthenticated,
  Forbidden,
  RateLimited,
  Cancelled,
  Internal,
};

/// Returns the name of \p Code in logs and problem documents.
std::string_view toName(ErrorCode Code);

/// Describes a failure.
struct Error {
  ErrorCode Code = ErrorCode::Internal;
  /// A full sentence that says what failed and how to repair it.
  std::string Message;
};

template <typename T> using Result = tl::expected<T, Error>;

/// Builds the failure side of a Result.
inline tl::unexpected<Error> failure(ErrorCode Code, std::string Message) {
  return tl::make_unexpected(Error{Code, std::move(Message)});
}

/// Aborts the process with a message if \p Holds is false. Use it only for
/// conditions that no input, peer or store can violate.
void invariant(bool Holds, const char *What);

} // namespace turmericpass

#endif
