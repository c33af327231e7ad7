#ifndef TURMERICPASS_TESTS_STANDINS_PREFIXCACHE_H
#define TURMERICPASS_TESTS_STANDINS_PREFIXCACHE_H

#include "Core/Clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string_view>
#include <vector>

namespace turmericpass {

/// An engine's cache of prompt prefixes, by block. The block used longest ago
/// goes first. Events about blocks are published late, and some never.
class PrefixCache {
public:
  struct Event {
    std::uint64_t Sequence = 0;
    std::uint64_t BlockHash = 0;
    bool Stored = true;
    Instant Due;
  };

  PrefixCache(const Clock &Time, std::size_t MaxBlocks, Duration Lag,
              std::uint32_t GapEvery);

  /// Returns how many leading bytes of \p Prompt are cached, and caches all of
  /// its whole blocks.
  std::size_t use(std::string_view Prompt);

  /// Returns the published events after sequence number \p After.
  std::vector<Event> eventsAfter(std::uint64_t After) const;

  std::size_t blocks() const { return this->Order.size(); }

private:
  void report(std::uint64_t BlockHash, bool Stored);

  const Clock &Time;
  std::size_t MaxBlocks;
  Duration Lag;
  std::uint32_t GapEvery;
  /// Blocks in order of use, the latest first.
  std::list<std::uint64_t> Order;
  std::map<std::uint64_t, std::list<std::uint64_t>::iterator> Places;
  std::deque<Event> Events;
  std::uint64_t NextSequence = 1;
};

} // namespace turmericpass

#endif
