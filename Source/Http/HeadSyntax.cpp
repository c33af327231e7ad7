#include "Http/HeadSyntax.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// The characters of a token besides letters and digits.
constexpr std::string_view TokenMarks = "!#$%&'*+-.^_`|~";

bool isTokenCharacter(char Each) {
  return (Each >= 'a' && Each <= 'z') || (Each >= 'A' && Each <= 'Z') ||
         (Each >= '0' && Each <= '9') ||
         TokenMarks.find(Each) != std::string_view::npos;
}

bool isControlCharacter(char Each) {
  const auto Byte = static_cast<unsigned char>(Each);
  return Byte < 0x20 || Byte == 0x7f;
}

char lower(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter + 32)
                                        : Letter;
}

} // namespace

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(),
                    [](char A, char B) { return lower(A) == lower(B); });
}

bool isToken(std::string_view Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), isTokenCharacter);
}

bool isVisibleText(std::string_view Text) {
  return !Text.empty() && std::none_of(Text.begin(), Text.end(), [](char Each) {
    return Each == ' ' || isControlCharacter(Each);
  });
}

bool isHeaderLine(std::string_view Name, std::string_view Value) {
  return isToken(Name) &&
         std::none_of(Value.begin(), Value.end(), [](char Each) {
           return Each != '\t' && isControlCharacter(Each);
         });
}

bool areHeaderLines(const HttpHeaders &Headers) {
  return std::all_of(Headers.begin(), Headers.end(), [](const auto &Header) {
    return isHeaderLine(Header.first, Header.second);
  });
}

} // namespace turmericpass
