#include "Backends/EventStreamParser.h"

#include <utility>

namespace turmericpass {

namespace {

constexpr std::string_view DataField = "data:";

tl::unexpected<Error> tooLarge() {
  return failure(ErrorCode::TooLarge,
                 "An event of the stream exceeds the size limit.");
}

} // namespace

Result<std::vector<std::string>>
EventStreamParser::feed(std::string_view Piece) {
  std::vector<std::string> Events;
  while (!Piece.empty()) {
    const std::size_t End = Piece.find('\n');
    if (const Result<void> Added = this->addToLine(Piece.substr(0, End));
        !Added)
      return tl::make_unexpected(Added.error());
    if (End == std::string_view::npos)
      break;
    Piece.remove_prefix(End + 1);
    if (const Result<void> LineResult = this->endLine(Events); !LineResult)
      return tl::make_unexpected(LineResult.error());
  }
  return Events;
}

Result<void> EventStreamParser::addToLine(std::string_view Bytes) {
  if (this->Line.size() + Bytes.size() > this->MaxEventBytes)
    return tooLarge();
  this->Line += Bytes;
  return {};
}

Result<void> EventStreamParser::endLine(std::vector<std::string> &Events) {
  std::string CompleteLine = std::exchange(this->Line, {});
  if (!CompleteLine.empty() && CompleteLine.back() == '\r')
    CompleteLine.pop_back();
  if (CompleteLine.empty()) {
    if (std::exchange(this->HasData, false))
      Events.push_back(std::exchange(this->Data, {}));
    return {};
  }
  if (!CompleteLine.starts_with(DataField))
    return {};
  std::string_view Value =
      std::string_view(CompleteLine).substr(DataField.size());
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  if (this->Data.size() + Value.size() > this->MaxEventBytes)
    return tooLarge();
  if (std::exchange(this->HasData, true))
    this->Data += '\n';
  this->Data += Value;
  return {};
}

} // namespace turmericpass
