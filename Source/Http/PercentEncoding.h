#ifndef TURMERICPASS_HTTP_PERCENTENCODING_H
#define TURMERICPASS_HTTP_PERCENTENCODING_H

#include <optional>
#include <string>
#include <string_view>

namespace turmericpass {

/// Encodes every byte of \p Text outside RFC 3986's unreserved characters, so
/// that any key can stand in a path segment or in a query value.
std::string percentEncode(std::string_view Text);

/// Reverses percentEncode(). Returns nothing if an escape is cut or not
/// hexadecimal.
std::optional<std::string> percentDecode(std::string_view Text);

/// Returns the decoded value of \p Name in \p Query, or an empty string.
std::string findQueryValue(std::string_view Query, std::string_view Name);

} // namespace turmericpass

#endif
