#ifndef TURMERICPASS_CORE_BASE64_H
#define TURMERICPASS_CORE_BASE64_H

#include "Core/Error.h"

#include <string>
#include <string_view>

namespace turmericpass {

/// Returns \p Bytes in base64 with padding.
std::string encodeBase64(std::string_view Bytes);

/// Returns the bytes that \p Text stands for. Errors: Malformed.
Result<std::string> decodeBase64(std::string_view Text);

} // namespace turmericpass

#endif
