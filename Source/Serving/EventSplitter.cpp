#include "Serving/EventSplitter.h"

#include "Http/HeadSyntax.h"

#include <charconv>
#include <utility>

namespace turmericpass {

namespace {

/// Returns the value of the field in \p Line if its name is \p Name.
std::optional<std::string_view> fieldValue(std::string_view Line,
                                           std::string_view Name) {
  if (!Line.starts_with(Name) || Line.substr(Name.size(), 1) != ":")
    return std::nullopt;
  Line.remove_prefix(Name.size() + 1);
  if (Line.starts_with(' '))
    Line.remove_prefix(1);
  return Line;
}

void readLine(StreamEvent &Event, bool &HasData, std::string_view Line) {
  if (Line.empty() || Line.starts_with(':'))
    return;
  Event.HasFields = true;
  // A field without a colon has an empty value.
  const std::size_t NameEnd = Line.find(':');
  const bool IsField =
      NameEnd == std::string_view::npos
          ? Line == "id" || Line == "data" || Line == "event" || Line == "retry"
          : isToken(Line.substr(0, NameEnd));
  if (!IsField)
    Event.IsWellFormed = false;
  if (const auto Id = fieldValue(Line, "id")) {
    std::uint64_t Number = 0;
    const char *End = Id->data() + Id->size();
    if (std::from_chars(Id->data(), End, Number).ptr == End && !Id->empty())
      Event.Id = Number;
  } else if (const auto Data = fieldValue(Line, "data")) {
    if (std::exchange(HasData, true))
      Event.Data += '\n';
    Event.Data += *Data;
  }
}

StreamEvent readEvent(std::string_view Bytes) {
  StreamEvent Event;
  Event.Bytes = Bytes;
  bool HasData = false;
  while (!Bytes.empty()) {
    const std::size_t End = Bytes.find('\n');
    std::string_view Line = Bytes.substr(0, End);
    Bytes.remove_prefix(End == std::string_view::npos ? Bytes.size() : End + 1);
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    readLine(Event, HasData, Line);
  }
  return Event;
}

/// Returns the length of the first complete event in \p Bytes, or npos if there
/// is none. The search for its end starts at \p From.
std::size_t eventLength(std::string_view Bytes, std::size_t From) {
  for (std::size_t LineEnd = Bytes.find('\n', From);
       LineEnd != std::string_view::npos;
       LineEnd = Bytes.find('\n', LineEnd + 1)) {
    if (Bytes.substr(LineEnd + 1, 1) == "\n")
      return LineEnd + 2;
    if (Bytes.substr(LineEnd + 1, 2) == "\r\n")
      return LineEnd + 3;
  }
  return std::string_view::npos;
}

} // namespace

std::vector<StreamEvent> EventSplitter::feed(std::string_view Piece) {
  // The end of an event may be split between two pieces, with at most three of
  // its bytes in the earlier one.
  std::size_t From = this->Pending.size() > 3 ? this->Pending.size() - 3 : 0;
  this->Pending += Piece;
  std::vector<StreamEvent> Events;
  std::string_view Unread = this->Pending;
  for (std::size_t Length = eventLength(Unread, From);
       Length != std::string_view::npos; Length = eventLength(Unread, 0)) {
    Events.push_back(readEvent(Unread.substr(0, Length)));
    this->BytesWithoutFields =
        Events.back().HasFields ? 0 : this->BytesWithoutFields + Length;
    Unread.remove_prefix(Length);
  }
  this->Pending.erase(0, this->Pending.size() - Unread.size());
  return Events;
}

} // namespace turmericpass
