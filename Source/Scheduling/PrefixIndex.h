#ifndef TURMERICPASS_SCHEDULING_PREFIXINDEX_H
#define TURMERICPASS_SCHEDULING_PREFIXINDEX_H

#include "Backends/BackendPort.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericpass {

/// Tracks which prompt blocks each server probably has in its prefix cache. The
/// index is a hint: events arrive late and some are lost, and a wrong guess
/// costs only the time to process the prompt again.
class PrefixIndex {
public:
  void applyEvents(const std::string &Server,
                   const std::vector<CacheEvent> &Events);

  /// Records that the server was given a prompt with \p Blocks and will cache
  /// them.
  void expectBlocks(const std::string &Server,
                    const std::vector<std::uint64_t> &Blocks);

  /// Discards the entries of a server whose cache was lost in a crash.
  void forget(const std::string &Server) { this->Servers.erase(Server); }

  /// Returns how many of the leading \p Blocks the server probably has in its
  /// cache.
  std::size_t
  cachedPrefixLength(const std::string &Server,
                     const std::vector<std::uint64_t> &Blocks) const;

private:
  struct CacheState {
    std::uint64_t LastSequence = 0;
    std::uint32_t Generation = 0;
    /// Maps each block to the generation in which it was last reported or
    /// expected.
    std::unordered_map<std::uint64_t, std::uint32_t> Blocks;
  };

  static void removeOldBlocks(CacheState &Cache,
                              std::uint32_t OldestGeneration);

  std::map<std::string, CacheState> Servers;
};

} // namespace turmericpass

#endif
