#ifndef TURMERICPASS_SERVING_EVENTSPLITTER_H
#define TURMERICPASS_SERVING_EVENTSPLITTER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// One complete event of a stream.
struct StreamEvent {
  /// The unchanged bytes of the event, including the empty line that ends it.
  std::string Bytes;
  /// The id of the event, if it has a numeric one.
  std::optional<std::uint64_t> Id;
  /// The values of its data fields, separated by line feeds.
  std::string Data;
  /// Whether each line is a field, whose name is a token, or a comment. Other
  /// text, such as the head of another answer, is no part of a stream.
  bool IsWellFormed = true;
  /// Whether there is any field, and not comments alone.
  bool HasFields = false;
};

/// Splits a stream of server-sent events into complete events without changing
/// their bytes. The stream may be fed in pieces of any size.
class EventSplitter {
public:
  /// Reads the next piece of the stream and returns the events that it
  /// completes.
  std::vector<StreamEvent> feed(std::string_view Piece);

  /// Returns the bytes of the event that is not complete yet.
  const std::string &incompleteEvent() const { return this->Pending; }

  /// Returns the number of bytes that came after the last event with fields:
  /// comments, empty lines and the event that is not complete yet.
  std::size_t bytesSinceEvent() const {
    return this->BytesWithoutFields + this->Pending.size();
  }

  /// Discards an incomplete event, before another answer continues the stream.
  void reset() { *this = EventSplitter(); }

private:
  std::string Pending;
  /// The size of the complete events since the last one with fields.
  std::size_t BytesWithoutFields = 0;
};

} // namespace turmericpass

#endif
