#include "Http/PercentEncoding.h"

#include <algorithm>

namespace turmericpass {

namespace {

constexpr std::string_view HexDigits = "0123456789ABCDEF";

bool isUnreserved(char Byte) {
  return (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z') ||
         (Byte >= '0' && Byte <= '9') || Byte == '-' || Byte == '.' ||
         Byte == '_' || Byte == '~';
}

int hexValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'A' && Digit <= 'F')
    return Digit - 'A' + 10;
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  return -1;
}

} // namespace

std::string percentEncode(std::string_view Text) {
  std::string Encoded;
  Encoded.reserve(Text.size());
  for (const char Byte : Text) {
    if (isUnreserved(Byte)) {
      Encoded += Byte;
      continue;
    }
    const auto Code = static_cast<unsigned char>(Byte);
    Encoded += '%';
    Encoded += HexDigits[Code >> 4U];
    Encoded += HexDigits[Code & 15U];
  }
  return Encoded;
}

std::optional<std::string> percentDecode(std::string_view Text) {
  std::string Decoded;
  Decoded.reserve(Text.size());
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%') {
      Decoded += Text[I];
      continue;
    }
    if (I + 2 >= Text.size())
      return std::nullopt;
    const int High = hexValue(Text[I + 1]);
    const int Low = hexValue(Text[I + 2]);
    if (High < 0 || Low < 0)
      return std::nullopt;
    Decoded += static_cast<char>(High * 16 + Low);
    I += 2;
  }
  return Decoded;
}

std::string findQueryValue(std::string_view Query, std::string_view Name) {
  while (!Query.empty()) {
    const std::size_t End = std::min(Query.find('&'), Query.size());
    const std::string_view Pair = Query.substr(0, End);
    const std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name && Equals != std::string_view::npos)
      return percentDecode(Pair.substr(Equals + 1)).value_or("");
    Query.remove_prefix(std::min(End + 1, Query.size()));
  }
  return {};
}

} // namespace turmericpass
