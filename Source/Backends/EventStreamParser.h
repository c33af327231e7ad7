#ifndef TURMERICPASS_BACKENDS_EVENTSTREAMPARSER_H
#define TURMERICPASS_BACKENDS_EVENTSTREAMPARSER_H

#include "Core/Error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// Cuts a stream of server-sent events into the data of its events. Pieces may
/// end anywhere. Only the field "data" is read; lines end with LF or CRLF.
class EventStreamParser {
public:
  /// \p MaxEventBytes bounds one line and the data of one event.
  explicit EventStreamParser(std::size_t MaxEventBytes)
      : MaxEventBytes(MaxEventBytes) {}

  /// Reads the next piece and returns the data of the events that it ends.
  /// Errors: TooLarge for an event or a line above the limit.
  Result<std::vector<std::string>> feed(std::string_view Piece);

  /// Whether the stream stopped inside an event.
  bool insideEvent() const { return this->HasData || !this->Line.empty(); }

private:
  Result<void> addToLine(std::string_view Bytes);
  Result<void> endLine(std::vector<std::string> &Events);

  std::size_t MaxEventBytes;
  /// The present line as far as it came.
  std::string Line;
  std::string Data;
  bool HasData = false;
};

} // namespace turmericpass

#endif
