#include "Scheduling/PrefixIndex.h"

namespace turmericpass {

namespace {

// The eviction of a block may be lost in a gap of the events, so a block is
// removed from the index if it was not reported again within this many gaps.
constexpr std::uint32_t MaxUnconfirmedGaps = 2;
constexpr std::size_t MaxBlocks = 65536;

} // namespace

void PrefixIndex::removeOldBlocks(CacheState &Cache,
                                  std::uint32_t OldestGeneration) {
  std::erase_if(Cache.Blocks, [OldestGeneration](const auto &Block) {
    return Block.second < OldestGeneration;
  });
}

void PrefixIndex::applyEvents(const std::string &Server,
                              const std::vector<CacheEvent> &Events) {
  CacheState &Cache = this->Servers[Server];
  for (const CacheEvent &Event : Events) {
    if (Event.Sequence <= Cache.LastSequence)
      continue;
    if (Cache.LastSequence != 0 && Event.Sequence != Cache.LastSequence + 1 &&
        ++Cache.Generation >= MaxUnconfirmedGaps)
      removeOldBlocks(Cache, Cache.Generation - MaxUnconfirmedGaps + 1);
    Cache.LastSequence = Event.Sequence;
    if (Event.Stored)
      Cache.Blocks[Event.BlockHash] = Cache.Generation;
    else
      Cache.Blocks.erase(Event.BlockHash);
  }
  if (Cache.Blocks.size() > MaxBlocks)
    Cache.Blocks.clear();
}

void PrefixIndex::expectBlocks(const std::string &Server,
                               const std::vector<std::uint64_t> &Blocks) {
  CacheState &Cache = this->Servers[Server];
  if (Cache.Blocks.size() + Blocks.size() > MaxBlocks)
    Cache.Blocks.clear();
  for (const std::uint64_t Block : Blocks)
    Cache.Blocks[Block] = Cache.Generation;
}

std::size_t PrefixIndex::cachedPrefixLength(
    const std::string &Server, const std::vector<std::uint64_t> &Blocks) const {
  const auto Cache = this->Servers.find(Server);
  if (Cache == this->Servers.end())
    return 0;
  std::size_t Length = 0;
  while (Length < Blocks.size() &&
         Cache->second.Blocks.count(Blocks[Length]) != 0)
    ++Length;
  return Length;
}

} // namespace turmericpass
