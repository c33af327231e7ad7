#ifndef TURMERICPASS_RAWHTTP_RAWMESSAGE_H
#define TURMERICPASS_RAWHTTP_RAWMESSAGE_H

#include "Http/HeadSyntax.h"
#include "Http/HttpTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericpass {

/// The head of a request or an answer as read from a connection.
struct RawHead {
  /// Empty in an answer.
  std::string Method;
  /// Path and query exactly as received; empty in an answer.
  std::string Target;
  /// 0 in a request.
  int Status = 0;
  HttpHeaders Headers;
  /// The declared length of the body; not set if the body is chunked or ends
  /// when the connection is closed.
  std::optional<std::uint64_t> ContentLength;
  /// Whether the connection may carry another message after this one.
  bool KeepAlive = false;

  /// Returns the value of header \p Name, whose letter case is ignored, or an
  /// empty view if the header is missing.
  std::string_view header(std::string_view Name) const;
  /// Returns whether the head says where the body ends. If not, the body ends
  /// with the connection.
  bool hasLength() const;
};

/// A complete request that was received or is to be sent.
struct RawRequest {
  std::string Method;
  std::string Target;
  HttpHeaders Headers;
  std::string Body;
};

/// Returns the value of header \p Name, whose letter case is ignored, or an
/// empty view if the header is missing.
std::string_view rawHeader(const HttpHeaders &Headers, std::string_view Name);

/// Returns whether header \p Name applies to a single connection only, so that
/// it must not be forwarded (RFC 9110, section 7.6.1).
bool isHopByHop(std::string_view Name);

/// Returns whether the head of \p Request, written as it is, is read as one
/// head with its own body. It must not state the length of the body, which the
/// writer adds.
bool hasValidHead(const RawRequest &Request);

/// Appends the header line "Name: Value" to \p Out, with its line break.
void appendHeader(std::string &Out, std::string_view Name,
                  std::string_view Value);

/// Returns the bytes of \p Request, which has a valid head, with the length of
/// its body.
std::string formatRequest(const RawRequest &Request);

/// Returns the reason phrase of \p Status, or "Status" for an unknown one.
std::string_view reasonPhrase(int Status);

} // namespace turmericpass

#endif
