#include "Http/AnswerHead.h"

namespace turmericpass {

namespace {

/// The start of a status line, in which "#" stands for a digit.
constexpr std::string_view StatusLineStart = "HTTP/1.# ###";

constexpr int SwitchingProtocolsStatus = 101;

bool isDigit(char Each) { return Each >= '0' && Each <= '9'; }

} // namespace

bool isAnswerStatus(int Status) {
  // No request asks for another protocol.
  return Status >= 100 && Status < 600 && Status != SwitchingProtocolsStatus;
}

bool isInterimStatus(int Status) { return Status >= 100 && Status < 200; }

bool AnswerLines::isValidAtColumn(char Byte) const {
  if (this->Lines > 0)
    return true;
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
