#include "Jobs/InputLines.h"

#include "Jobs/JobRows.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// The minimum number of items that justify the two table writes of a chunk.
constexpr std::size_t MinItemsPerChunk = 50;
/// The number of chunks of a job of moderate size.
constexpr std::size_t ChunksPerJob = 16;

bool isBlank(std::string_view Line) {
  return Line.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

/// Calls \p Visit with each line, including its line end.
template <typename Visitor>
void forEachLine(std::string_view Text, Visitor Visit) {
  while (!Text.empty()) {
    const std::size_t End = Text.find('\n');
    const std::size_t Length =
        End == std::string_view::npos ? Text.size() : End + 1;
    Visit(Text.substr(0, Length));
    Text.remove_prefix(Length);
  }
}

} // namespace

std::vector<std::string_view> splitItemLines(std::string_view Text) {
  std::vector<std::string_view> Lines;
  forEachLine(Text, [&Lines](std::string_view Line) {
    if (isBlank(Line))
      return;
    const std::size_t Last = Line.find_last_not_of("\r\n");
    Lines.push_back(Line.substr(0, Last + 1));
  });
  return Lines;
}

std::vector<std::string_view> splitIntoPieces(std::string_view Text,
                                              std::uint32_t ItemsPerPiece) {
  std::vector<std::string_view> Pieces;
  std::size_t Start = 0;
  std::size_t At = 0;
  std::uint32_t Items = 0;
  forEachLine(Text, [&](std::string_view Line) {
    if (!isBlank(Line)) {
      if (Items == ItemsPerPiece) {
        Pieces.push_back(Text.substr(Start, At - Start));
        Start = At;
        Items = 0;
      }
      ++Items;
    }
    At += Line.size();
  });
  Pieces.push_back(Text.substr(Start));
  return Pieces;
}

std::uint32_t itemsPerChunk(std::size_t Items) {
  const std::size_t Even = (Items + ChunksPerJob - 1) / ChunksPerJob;
  return static_cast<std::uint32_t>(
      std::clamp(Even, MinItemsPerChunk, std::size_t{MaxItemsPerChunk}));
}

} // namespace turmericpass
