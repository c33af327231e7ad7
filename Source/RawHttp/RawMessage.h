#ifndef TURMERICPASS_RAWHTTP_RAWMESSAGE_H
#define TURMERICPASS_RAWHTTP_RAWMESSAGE_H

#include "Http/HttpTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericpass {

/// The head of a request or of an answer as it was read from a connection.
struct RawHead {
  /// Empty in an answer.
  std::string Method;
  /// Path and query exactly as the sender wrote them; empty in an answer.
  std::string Target;
  /// 0 in a request.
  int Status = 0;
  HttpHeaders Headers;
  /// The declared length of the body; nothing if it is chunked or ends with
  /// the connection.
  std::optional<std::uint64_t> ContentLength;
  /// The connection can carry another message after this one.
  bool KeepAlive = false;

  /// Returns the value of header \p Name in any letter case, or an empty view.
  std::string_view header(std::string_view Name) const;
};

/// A request that was read whole, or that is to be sent.
struct RawRequest {
  std::string Method;
  std::string Target;
  HttpHeaders Headers;
  std::string Body;
};

/// Returns the value of header \p Name in any letter case, or an empty view.
std::string_view rawHeader(const HttpHeaders &Headers, std::string_view Name);

/// Whether \p Left and \p Right are the same but for the case of letters.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

/// Whether header \p Name concerns one connection only and so is not passed
/// from one connection to the next (RFC 9110, section 7.6.1).
bool isHopByHop(std::string_view Name);

/// Appends "Name: Value" and the line end to \p Out.
void appendHeader(std::string &Out, std::string_view Name,
                  std::string_view Value);

/// Returns the reason phrase of \p Status, or "Status" for an unknown one.
std::string_view reasonPhrase(int Status);

} // namespace turmericpass

#endif
