#include "Core/PrefixBlocks.h"

#include "Core/Hash.h"

namespace turmericpass {

std::vector<std::uint64_t> prefixBlockHashes(std::string_view Prompt) {
  std::vector<std::uint64_t> Hashes;
  std::uint64_t Previous = 0;
  for (std::size_t End = PrefixBlockBytes; End <= Prompt.size();
       End += PrefixBlockBytes) {
    Previous = hash64(Prompt.substr(End - PrefixBlockBytes, PrefixBlockBytes),
                      Previous);
    Hashes.push_back(Previous);
  }
  return Hashes;
}

} // namespace turmericpass
