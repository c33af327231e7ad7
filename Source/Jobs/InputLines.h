#ifndef TURMERICPASS_JOBS_INPUTLINES_H
#define TURMERICPASS_JOBS_INPUTLINES_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// Returns the lines of \p Text that are not blank, without line ends.
std::vector<std::string_view> splitItemLines(std::string_view Text);

/// Splits \p Text at line ends into pieces of at most \p ItemsPerPiece items.
/// The concatenation of the pieces is \p Text. A text without items results in
/// one piece.
std::vector<std::string_view> splitIntoPieces(std::string_view Text,
                                              std::uint32_t ItemsPerPiece);

/// Returns the number of items per chunk for a job with \p Items items. Small
/// jobs have smaller chunks, so that several batchers can work on one job.
std::uint32_t itemsPerChunk(std::size_t Items);

} // namespace turmericpass

#endif
