#ifndef TURMERICPASS_COMPLETIONS_CALLERJSON_H
#define TURMERICPASS_COMPLETIONS_CALLERJSON_H

#include "Core/Error.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace turmericpass {

/// Parses a caller's JSON object. The depth of nesting is checked first, so
/// that no input makes the parser recurse without bound. Errors: Malformed.
Result<nlohmann::json> parseCallerObject(const std::string &Text);

} // namespace turmericpass

#endif
