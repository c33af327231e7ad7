#ifndef TURMERICPASS_BACKENDS_EVENTSTREAMPARSER_H
#define TURMERICPASS_BACKENDS_EVENTSTREAMPARSER_H

#include "Core/Error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// Parses a stream of server-sent events incrementally and returns the data of
/// each event. The input may be split at any byte. All fields but "data" are
/// ignored; lines end with LF or CRLF.
class EventStreamParser {
public:
  /// \p MaxEventBytes limits the size of a line and of the data of an event.
  explicit EventStreamParser(std::size_t MaxEventBytes)
      : MaxEventBytes(MaxEventBytes) {}

  /// Parses the next piece of the stream and returns the data of the events
  /// that it completes. Errors: TooLarge if a line or an event exceeds the
  /// limit.
  Result<std::vector<std::string>> feed(std::string_view Piece);

  /// Returns whether the input so far ends in the middle of an event.
  bool isInsideEvent() const { return this->HasData || !this->Line.empty(); }

private:
  Result<void> addToLine(std::string_view Bytes);
  Result<void> endLine(std::vector<std::string> &Events);

  std::size_t MaxEventBytes;
  /// The part of the current line that was received so far.
  std::string Line;
  std::string Data;
  bool HasData = false;
};

} // namespace turmericpass

#endif
