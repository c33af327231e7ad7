#include "RawHttp/RawMessage.h"

#include <algorithm>
#include <array>
#include <http_parser.h>

namespace turmericpass {

namespace {

constexpr std::array<std::string_view, 9> HopByHopNames = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
    "proxy-authorization"};

} // namespace

bool RawHead::hasLength() const {
  return !this->header("Content-Length").empty() ||
         !this->header("Transfer-Encoding").empty();
}

std::string_view rawHeader(const HttpHeaders &Headers, std::string_view Name) {
  for (const auto &[Key, Value] : Headers)
    if (equalsIgnoringCase(Key, Name))
      return Value;
  return {};
}

std::string_view RawHead::header(std::string_view Name) const {
  return rawHeader(this->Headers, Name);
}

bool isHopByHop(std::string_view Name) {
  return std::any_of(
      HopByHopNames.begin(), HopByHopNames.end(),
      [&](std::string_view Known) { return equalsIgnoringCase(Name, Known); });
}

bool hasValidHead(const RawRequest &Request) {
  return isToken(Request.Method) && isVisibleText(Request.Target) &&
         areHeaderLines(Request.Headers) &&
         std::none_of(
             Request.Headers.begin(), Request.Headers.end(),
             [](const auto &Header) {
               return equalsIgnoringCase(Header.first, "Content-Length") ||
                      equalsIgnoringCase(Header.first, "Transfer-Encoding");
             });
}

void appendHeader(std::string &Out, std::string_view Name,
                  std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append("\r\n");
}

std::string formatRequest(const RawRequest &Request) {
  constexpr std::size_t UsualHeadBytes = 512;
  std::string Bytes;
  Bytes.reserve(UsualHeadBytes + Request.Body.size());
  Bytes.append(Request.Method).append(" ").append(Request.Target);
  Bytes.append(" HTTP/1.1\r\n");
  for (const auto &[Name, Value] : Request.Headers)
    appendHeader(Bytes, Name, Value);
  if (!Request.Body.empty() || Request.Method == "POST" ||
      Request.Method == "PUT")
    appendHeader(Bytes, "Content-Length", std::to_string(Request.Body.size()));
  Bytes.append("\r\n").append(Request.Body);
  return Bytes;
}

std::string_view reasonPhrase(int Status) {
  return http_status_str(static_cast<http_status>(Status)) ==
                 std::string_view("<unknown>")
             ? "Status"
             : http_status_str(static_cast<http_status>(Status));
}

} // namespace turmericpass
