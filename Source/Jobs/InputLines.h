#ifndef TURMERICPASS_JOBS_INPUTLINES_H
#define TURMERICPASS_JOBS_INPUTLINES_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// Returns the lines of \p Text that are not blank, without line ends.
std::vector<std::string_view> itemLines(std::string_view Text);

/// Cuts \p Text after line ends into pieces of at most \p ItemsPerPiece items;
/// their concatenation is \p Text. Text without an item gives one piece.
std::vector<std::string_view> cutPieces(std::string_view Text,
                                        std::uint32_t ItemsPerPiece);

/// Returns how many items a chunk of a job with \p Items items has: small jobs
/// are cut finer, so that several batchers can work on one.
std::uint32_t itemsPerChunk(std::size_t Items);

} // namespace turmericpass

#endif
