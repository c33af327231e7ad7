#ifndef TURMERICPASS_HTTP_ANSWERHEAD_H
#define TURMERICPASS_HTTP_ANSWERHEAD_H

#include "Http/HttpTypes.h"

#include <cstddef>
#include <string_view>

namespace turmericpass {

// The rules for heads of answers. All code that reads answers applies them,
// since the parsers that it uses accept more.

/// Returns whether \p Status and \p Headers form the head of an answer, which
/// may be an interim answer. Any other head means that the answer is broken: a
/// line that cannot be read may be the one that delimits the body.
bool isAnswerHead(int Status, const HttpHeaders &Headers);

/// Returns whether answers with \p Status precede the final answer.
bool isInterimStatus(int Status);

/// Returns whether answers with \p Status end with their head (RFC 9112,
/// section 6.3).
bool isAnswerWithoutBody(int Status);

/// Checks the lines of the head of an answer for what its parsed form does not
/// show: the digits of the status, and folded headers, which may hide another
/// header.
class AnswerLines {
public:
  /// Checks \p Bytes, which are a line or a part of one. Returns false if the
  /// line is not valid.
  bool add(std::string_view Bytes);
  /// Begins with the head of another answer.
  void reset();

private:
  bool isValidAtColumn(char Byte) const;

  /// The number of lines before the current one.
  std::size_t Lines = 0;
  /// The number of bytes of the current line, up to the end of the part that is
  /// checked.
  std::size_t Column = 0;
};

} // namespace turmericpass

#endif
