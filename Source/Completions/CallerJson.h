#ifndef TURMERICPASS_COMPLETIONS_CALLERJSON_H
#define TURMERICPASS_COMPLETIONS_CALLERJSON_H

#include "Core/Error.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace turmericpass {

/// Parses a JSON object sent by a caller. The nesting depth is checked before
/// parsing, so that the recursion of the parser is bounded. Errors: Malformed.
Result<nlohmann::json> parseCallerObject(const std::string &Text);

} // namespace turmericpass

#endif
