#ifndef TURMERICPASS_HTTP_HTTPTYPES_H
#define TURMERICPASS_HTTP_HTTPTYPES_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace turmericpass {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first header named \p Name, whose letter case is
/// ignored, or an empty string.
std::string findHeader(const HttpHeaders &Headers, const std::string &Name);

struct HttpRequest {
  std::string Method;
  /// The path without the query, in its percent-encoded form.
  std::string Path;
  std::string Query;
  HttpHeaders Headers;
  std::string Body;
};

struct HttpReply {
  int Status = 200;
  HttpHeaders Headers;
  std::string Body;
};

/// Size limits of the requests that a server reads, in bytes.
struct HttpLimits {
  std::size_t HeaderBytes = std::size_t{64} << 10U;
  std::size_t BodyBytes = std::size_t{8} << 20U;
};

} // namespace turmericpass

#endif
