#ifndef TURMERICPASS_CORE_PREFIXBLOCKS_H
#define TURMERICPASS_CORE_PREFIXBLOCKS_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace turmericpass {

/// The bytes of prompt text in one block of the prefix cache.
inline constexpr std::size_t PrefixBlockBytes = 256;

/// Returns a hash for each whole leading block of \p Prompt. Each one covers
/// all blocks before it too, so equal hashes mean equal prefixes. For chats
/// the text is "role: content\n" of each message in turn.
std::vector<std::uint64_t> prefixBlockHashes(std::string_view Prompt);

} // namespace turmericpass

#endif
