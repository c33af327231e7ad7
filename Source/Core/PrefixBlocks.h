#ifndef TURMERICPASS_CORE_PREFIXBLOCKS_H
#define TURMERICPASS_CORE_PREFIXBLOCKS_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace turmericpass {

/// The size of one block of the prefix cache, in bytes of prompt text.
inline constexpr std::size_t PrefixBlockBytes = 256;

/// Returns a hash for each whole leading block of \p Prompt. Each hash
/// also covers all preceding blocks, so equal hashes mean equal prefixes. The
/// prompt of a chat is the concatenation of "role: content\n" for each message.
std::vector<std::uint64_t> prefixBlockHashes(std::string_view Prompt);

} // namespace turmericpass

#endif
