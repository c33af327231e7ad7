#ifndef TURMERICPASS_ADMISSION_PROMPTSHAPE_H
#define TURMERICPASS_ADMISSION_PROMPTSHAPE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// Estimates the number of tokens in \p Text: one token for four ASCII bytes
/// and one for each other character, which is what common tokenizers produce
/// for Korean.
std::uint32_t estimateTokens(std::string_view Text);

/// Returns the hashes of the leading blocks of \p Prompt, up to a fixed number
/// of blocks.
std::vector<std::uint64_t> hashPrefixBlocks(std::string_view Prompt);

/// Returns a hash that is the same for equal requests of one customer.
std::string computeFingerprint(std::string_view Customer,
                               std::string_view Service, std::string_view Path,
                               std::string_view Body);

} // namespace turmericpass

#endif
