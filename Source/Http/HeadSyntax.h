#ifndef TURMERICPASS_HTTP_HEADSYNTAX_H
#define TURMERICPASS_HTTP_HEADSYNTAX_H

#include "Http/HttpTypes.h"

#include <string_view>

namespace turmericpass {

/// Returns whether \p Left and \p Right are equal if the case of ASCII letters
/// is ignored.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

/// Returns whether \p Text can be the name of a method or a header (RFC 9110,
/// section 5.6.2).
bool isToken(std::string_view Text);

/// Returns whether \p Text consists of visible characters, so that it can be
/// written as one part of a request line. Bytes above 0x7f count as visible.
bool isVisibleText(std::string_view Text);

/// Returns whether \p Name and \p Value can be written as one header line (RFC
/// 9110, sections 5.1 and 5.5). A line break in the value would end the line
/// and, after an empty line, begin the body or another message.
bool isHeaderLine(std::string_view Name, std::string_view Value);

/// Returns whether each of \p Headers is a header line.
bool areHeaderLines(const HttpHeaders &Headers);

} // namespace turmericpass

#endif
