#ifndef TURMERICPASS_HTTP_PERCENTENCODING_H
#define TURMERICPASS_HTTP_PERCENTENCODING_H

#include <optional>
#include <string>
#include <string_view>

namespace turmericpass {

/// Encodes every byte of \p Text except the unreserved characters of RFC 3986,
/// so that any key can be used in a path segment or a query value.
std::string percentEncode(std::string_view Text);

/// Decodes the result of percentEncode(). Returns nothing if an escape sequence
/// is truncated or not hexadecimal.
std::optional<std::string> percentDecode(std::string_view Text);

/// Returns the decoded value of the parameter \p Name in \p Query, or an empty
/// string.
std::string findQueryValue(std::string_view Query, std::string_view Name);

} // namespace turmericpass

#endif
