#include "Scheduling/PrefixIndex.h"

namespace turmericpass {

namespace {

// The eviction of a block may be lost in a gap of the events, so a block is
// removed from the index if it was not reported again within this many gaps.
constexpr std::uint32_t GapsBelieved = 2;
constexpr std::size_t MostBlocks = 65536;

} // namespace

void PrefixIndex::purge(Holdings &Held, std::uint32_t Oldest) {
  std::erase_if(Held.Blocks,
                [Oldest](const auto &Block) { return Block.second < Oldest; });
}

void PrefixIndex::apply(const std::string &Server,
                        const std::vector<CacheEvent> &Events) {
  Holdings &Held = this->Servers[Server];
  for (const CacheEvent &Event : Events) {
    if (Event.Sequence <= Held.LastSequence)
      continue;
    if (Held.LastSequence != 0 && Event.Sequence != Held.LastSequence + 1 &&
        ++Held.Generation >= GapsBelieved)
      purge(Held, Held.Generation - GapsBelieved + 1);
    Held.LastSequence = Event.Sequence;
    if (Event.Stored)
      Held.Blocks[Event.BlockHash] = Held.Generation;
    else
      Held.Blocks.erase(Event.BlockHash);
  }
  if (Held.Blocks.size() > MostBlocks)
    Held.Blocks.clear();
}

void PrefixIndex::expect(const std::string &Server,
                         const std::vector<std::uint64_t> &Blocks) {
  Holdings &Held = this->Servers[Server];
  if (Held.Blocks.size() + Blocks.size() > MostBlocks)
    Held.Blocks.clear();
  for (const std::uint64_t Block : Blocks)
    Held.Blocks[Block] = Held.Generation;
}

std::size_t PrefixIndex::depth(const std::string &Server,
                               const std::vector<std::uint64_t> &Blocks) const {
  const auto Held = this->Servers.find(Server);
  if (Held == this->Servers.end())
    return 0;
  std::size_t Depth = 0;
  while (Depth < Blocks.size() && Held->second.Blocks.count(Blocks[Depth]) != 0)
    ++Depth;
  return Depth;
}

} // namespace turmericpass
