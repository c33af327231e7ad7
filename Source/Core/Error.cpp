#include "Core/Error.h"

#include "Core/EnumTable.h"

#include <cstdio>
#include <cstdlib>

namespace turmericpass {

namespace {

constexpr auto ErrorCodeNames = makeEnumTable<ErrorCode>({
    {ErrorCode::InvalidArgument, "invalid_argument"},
    {ErrorCode::NotFound, "not_found"},
    {ErrorCode::Conflict, "conflict"},
    {ErrorCode::Unavailable, "unavailable"},
    {ErrorCode::Timeout, "timeout"},
    {ErrorCode::TooLarge, "too_large"},
    {ErrorCode::Malformed, "malformed"},
    {ErrorCode::Unauthenticated, "unauthenticated"},
    {ErrorCode::Forbidden, "forbidden"},
    {ErrorCode::RateLimited, "rate_limited"},
    {ErrorCode::Cancelled, "cancelled"},
    {ErrorCode::Internal, "internal"},
});

} // namespace

std::string_view toName(ErrorCode Code) { return ErrorCodeNames.nameOf(Code); }

void invariant(bool Holds, const char *What) {
  if (Holds)
    return;
  std::fprintf(stderr, "Invariant violated: %s\n", What);
  std::abort();
}

} // namespace turmericpass
