#include "StandIns/PrefixCache.h"

#include "Core/PrefixBlocks.h"

namespace turmericpass {

namespace {

/// Older events are forgotten, as an engine's bounded log forgets them.
constexpr std::size_t MaxEvents = 10000;

} // namespace

PrefixCache::PrefixCache(const Clock &Time, std::size_t MaxBlocks, Duration Lag,
                         std::uint32_t GapEvery)
    : Time(Time), MaxBlocks(MaxBlocks), Lag(Lag), GapEvery(GapEvery) {}

std::size_t PrefixCache::use(std::string_view Prompt) {
  std::size_t Cached = 0;
  bool Leading = true;
  for (const std::uint64_t Block : prefixBlockHashes(Prompt)) {
    const auto Found = this->Places.find(Block);
    Leading = Leading && Found != this->Places.end();
    if (Leading)
      Cached += PrefixBlockBytes;
    if (Found != this->Places.end()) {
      this->Order.splice(this->Order.begin(), this->Order, Found->second);
      continue;
    }
    this->Order.push_front(Block);
    this->Places.emplace(Block, this->Order.begin());
    this->report(Block, true);
  }
  while (this->Order.size() > this->MaxBlocks) {
    this->report(this->Order.back(), false);
    this->Places.erase(this->Order.back());
    this->Order.pop_back();
  }
  return Cached;
}

void PrefixCache::report(std::uint64_t BlockHash, bool Stored) {
  const std::uint64_t Sequence = this->NextSequence++;
  if (this->GapEvery > 0 && Sequence % this->GapEvery == 0)
    return;
  this->Events.push_back(
      {Sequence, BlockHash, Stored, this->Time.now() + this->Lag});
  if (this->Events.size() > MaxEvents)
    this->Events.pop_front();
}

std::vector<PrefixCache::Event>
PrefixCache::eventsAfter(std::uint64_t After) const {
  std::vector<Event> Published;
  for (const Event &Each : this->Events)
    if (Each.Sequence > After && Each.Due <= this->Time.now())
      Published.push_back(Each);
  return Published;
}

} // namespace turmericpass
