#ifndef TURMERICPASS_SCHEDULING_PREFIXINDEX_H
#define TURMERICPASS_SCHEDULING_PREFIXINDEX_H

#include "Backends/BackendPort.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericpass {

/// Which prompt blocks each server is thought to have in its prefix cache.
/// It is a hint: events come late and with gaps, and a wrong guess costs only
/// the time to take in the prompt again.
class PrefixIndex {
public:
  void apply(const std::string &Server, const std::vector<CacheEvent> &Events);

  /// The server was just given a prompt with these blocks.
  void expect(const std::string &Server,
              const std::vector<std::uint64_t> &Blocks);

  /// Forgets a server, whose cache a crash has emptied.
  void forget(const std::string &Server) { this->Servers.erase(Server); }

  /// Returns how many of the leading \p Blocks the server is thought to hold.
  std::size_t depth(const std::string &Server,
                    const std::vector<std::uint64_t> &Blocks) const;

private:
  struct Holdings {
    std::uint64_t LastSequence = 0;
    std::uint32_t Generation = 0;
    /// The generation in which a block was last heard of.
    std::unordered_map<std::uint64_t, std::uint32_t> Blocks;
  };

  static void purge(Holdings &Held, std::uint32_t Oldest);

  std::map<std::string, Holdings> Servers;
};

} // namespace turmericpass

#endif
