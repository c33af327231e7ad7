#ifndef TURMERICPASS_SERVING_EVENTSPLITTER_H
#define TURMERICPASS_SERVING_EVENTSPLITTER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// One whole event of a stream.
struct StreamEvent {
  /// The bytes as they came, with the empty line that ends the event.
  std::string Bytes;
  /// Its number, if it has one.
  std::optional<std::uint64_t> Id;
  /// The values of its data fields, separated by line feeds.
  std::string Data;
};

/// Cuts a stream of server-sent events into whole events without changing
/// their bytes. Pieces may end anywhere.
class EventSplitter {
public:
  /// Reads the next piece and returns the events that it ends.
  std::vector<StreamEvent> feed(std::string_view Piece);

  /// The bytes of an event that has not ended.
  const std::string &rest() const { return this->Pending; }

  /// Forgets a part of an event, before another answer goes on.
  void reset() { this->Pending.clear(); }

private:
  std::string Pending;
};

} // namespace turmericpass

#endif
