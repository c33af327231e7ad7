#ifndef TURMERICPASS_GATEWAY_MULTIPART_H
#define TURMERICPASS_GATEWAY_MULTIPART_H

#include "Core/Error.h"

#include <string>
#include <vector>

namespace turmericpass {

/// One field of a multipart/form-data body.
struct FormField {
  std::string Name;
  /// Empty for a field that is no file.
  std::string FileName;
  std::string Bytes;
};

/// Reads a multipart/form-data body (RFC 7578). \p ContentType is the
/// request's header, with the boundary. Errors: Malformed.
Result<std::vector<FormField>> parseForm(const std::string &ContentType,
                                         const std::string &Body);

} // namespace turmericpass

#endif
