#ifndef TURMERICPASS_CORE_HASH_H
#define TURMERICPASS_CORE_HASH_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// Returns the XXH64 hash of \p Data. It is the same in every build, which
/// std::hash does not guarantee.
std::uint64_t hash64(std::string_view Data, std::uint64_t Seed = 0);

using Sha256Digest = std::array<unsigned char, 32>;

/// Returns the SHA-256 digest of \p Data.
Sha256Digest sha256(std::string_view Data);

/// Returns whether two digests are equal, in a time that does not depend on
/// their contents.
bool equalInConstantTime(const Sha256Digest &Left, const Sha256Digest &Right);

/// Returns the SHA-256 digest of \p Data as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Data);

/// Picks one of \p Candidates for \p Key by rendezvous hashing: the
/// removal of a candidate moves only the keys assigned to it. Returns the
/// index, or -1 if there are no candidates.
int rendezvousPick(std::string_view Key,
                   const std::vector<std::string> &Candidates);

/// Orders the indices of \p Candidates from the first choice for \p Key to
/// the last one.
std::vector<int> rendezvousOrder(std::string_view Key,
                                 const std::vector<std::string> &Candidates);

} // namespace turmericpass

#endif
