#ifndef TURMERICPASS_GATEWAY_MULTIPART_H
#define TURMERICPASS_GATEWAY_MULTIPART_H

#include "Core/Error.h"

#include <string>
#include <vector>

namespace turmericpass {

/// One field of a multipart/form-data body.
struct FormField {
  std::string Name;
  /// Empty if the field is not a file.
  std::string FileName;
  std::string Bytes;
};

/// Parses a multipart/form-data body (RFC 7578). \p ContentType is the value of
/// the request's Content-Type header, which contains the boundary. Errors:
/// Malformed.
Result<std::vector<FormField>> parseForm(const std::string &ContentType,
                                         const std::string &Body);

} // namespace turmericpass

#endif
