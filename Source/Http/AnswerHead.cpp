#include "Http/AnswerHead.h"

#include "Http/HeadSyntax.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// The start of a status line, in which "#" stands for a digit.
constexpr std::string_view StatusLineStart = "HTTP/1.# ###";

constexpr int SwitchingProtocolsStatus = 101;
constexpr int NoContentStatus = 204;
constexpr int NotModifiedStatus = 304;

bool isDigit(char Each) { return Each >= '0' && Each <= '9'; }

/// Returns \p Value without the white space at its end, which is not part of
/// it.
std::string_view trimEnd(std::string_view Value) {
  return Value.substr(0, Value.find_last_not_of(" \t") + 1);
}

/// Returns whether \p Headers delimit the body in at most one way (RFC 9112,
/// section 6). Transfer codings other than chunked are not supported, because
/// the body would be passed on without the header that names them.
bool delimitOneBody(const HttpHeaders &Headers) {
  int Delimiters = 0;
  for (const auto &[Name, UntrimmedValue] : Headers) {
    const std::string_view Value = trimEnd(UntrimmedValue);
    const bool IsLength = equalsIgnoringCase(Name, "Content-Length");
    if (!IsLength && !equalsIgnoringCase(Name, "Transfer-Encoding"))
      continue;
    const bool IsValid =
        IsLength
            ? !Value.empty() && std::all_of(Value.begin(), Value.end(), isDigit)
            : equalsIgnoringCase(Value, "chunked");
    if (!IsValid || ++Delimiters > 1)
      return false;
  }
  return true;
}

/// Returns whether one of \p Headers, whose syntax is valid, announces a body.
bool announceBody(const HttpHeaders &Headers) {
  return std::any_of(Headers.begin(), Headers.end(), [](const auto &Header) {
    const auto &[Name, Value] = Header;
    if (equalsIgnoringCase(Name, "Content-Length"))
      return trimEnd(Value).find_first_not_of('0') != std::string::npos;
    return equalsIgnoringCase(Name, "Transfer-Encoding");
  });
}

} // namespace

bool isAnswerHead(int Status, const HttpHeaders &Headers) {
  // No request asks for another protocol.
  if (Status < 100 || Status >= 600 || Status == SwitchingProtocolsStatus ||
      !areHeaderLines(Headers) || !delimitOneBody(Headers))
    return false;
  // The headers of a 304 describe the body that another status would have had.
  return !isAnswerWithoutBody(Status) || Status == NotModifiedStatus ||
         !announceBody(Headers);
}

bool isInterimStatus(int Status) { return Status >= 100 && Status < 200; }

bool isAnswerWithoutBody(int Status) {
  return isInterimStatus(Status) || Status == NoContentStatus ||
         Status == NotModifiedStatus;
}

bool AnswerLines::isValidAtColumn(char Byte) const {
  if (this->Lines > 0)
    return this->Column > 0 || (Byte != ' ' && Byte != '\t');
  if (this->Column == StatusLineStart.size())
    return Byte == ' ' || Byte == '\r' || Byte == '\n';
  const char Expected = StatusLineStart[this->Column];
  return Expected == '#' ? isDigit(Byte) : Byte == Expected;
}

bool AnswerLines::add(std::string_view Bytes) {
  for (const char Byte : Bytes) {
    if (this->Column > StatusLineStart.size())
      break;
    if (!this->isValidAtColumn(Byte))
      return false;
    ++this->Column;
  }
  if (Bytes.ends_with('\n')) {
    ++this->Lines;
    this->Column = 0;
  }
  return true;
}

void AnswerLines::reset() {
  this->Lines = 0;
  this->Column = 0;
}

} // namespace turmericpass
