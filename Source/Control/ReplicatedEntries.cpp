#include "Control/FleetEntries.h"

#include <algorithm>
#include <optional>

namespace turmericpass {

namespace {

/// These limits keep corrupt or foreign entries from filling the memory of
/// every node.
constexpr std::size_t MaxKeyBytes = 512;
constexpr std::size_t MaxValueBytes = std::size_t{64} << 10U;
constexpr std::size_t MaxEntries = 100000;

/// Returns the lifetime of an entry, or std::nullopt if it does not expire.
std::optional<Duration> lifetime(const std::string &Key) {
  if (Key.starts_with("leaving/"))
    return FleetEntries::LeavingTime;
  if (Key.starts_with("quarantine/"))
    return FleetEntries::QuarantineTime;
  return std::nullopt;
}

} // namespace

FleetEntries::FleetEntries(const Clock &Time, std::uint64_t FirstChange)
    : Time(Time), Change(FirstChange) {}

void FleetEntries::store(const DigestEntry &From, bool Shared) {
  this->Entries[From.Key] = {From.Version,     From.Value, ++this->Change,
                             this->Time.now(), Shared,     false};
}

bool FleetEntries::announce(const std::string &Key, const std::string &Value) {
  // Versions are wall-clock times, so a restarted node continues above its
  // earlier versions. If the clock was set back, a peer returns the old entry
  // and its version is exceeded then.
  auto Version = static_cast<std::uint64_t>(
      std::max<std::int64_t>(this->Time.wallMillis(), 1));
  const auto Known = this->Entries.find(Key);
  if (Known != this->Entries.end()) {
    const Entry &Old = Known->second;
    const std::optional<Duration> Life = lifetime(Key);
    const bool Fresh =
        !Old.Expired && (!Life || this->Time.now() - Old.Since < *Life / 3);
    if (Old.Value == Value && Fresh)
      return false;
    Version = std::max(Version, Old.Version + 1);
  }
  this->store({Key, Version, Value}, false);
  return true;
}

bool FleetEntries::merge(const DigestEntry &Entry, bool Shared) {
  if (Entry.Key.empty() || Entry.Key.size() > MaxKeyBytes ||
      Entry.Value.size() > MaxValueBytes)
    return false;
  const auto Known = this->Entries.find(Entry.Key);
  if (Known == this->Entries.end()) {
    if (this->Entries.size() >= MaxEntries)
      return false;
  } else if (Entry.Version < Known->second.Version ||
             (Entry.Version == Known->second.Version &&
              Entry.Value <= Known->second.Value)) {
    return false;
  }
  this->store(Entry, Shared);
  return true;
}

void FleetEntries::touch(const std::string &Prefix) {
  for (auto Next = this->Entries.lower_bound(Prefix);
       Next != this->Entries.end() && Next->first.starts_with(Prefix); ++Next)
    Next->second.Change = ++this->Change;
}

std::vector<DigestEntry>
FleetEntries::changedSince(std::uint64_t Since, const Filter &Wanted) const {
  std::vector<DigestEntry> Changed;
  for (const auto &[Key, Entry] : this->Entries)
    if (Entry.Change > Since && !Entry.Expired && Wanted(Key, Entry.Shared))
      Changed.push_back({Key, Entry.Version, Entry.Value});
  return Changed;
}

const std::string *FleetEntries::find(const std::string &Key) const {
  const auto Known = this->Entries.find(Key);
  if (Known == this->Entries.end() || Known->second.Expired)
    return nullptr;
  return &Known->second.Value;
}

std::set<std::string> FleetEntries::names(const std::string &Prefix) const {
  std::set<std::string> Names;
  for (auto Next = this->Entries.lower_bound(Prefix);
       Next != this->Entries.end() && Next->first.starts_with(Prefix); ++Next)
    if (!Next->second.Expired)
      Names.insert(Next->first.substr(Prefix.size()));
  return Names;
}

bool FleetEntries::expire() {
  bool Ended = false;
  for (auto Next = this->Entries.begin(); Next != this->Entries.end();) {
    Entry &Each = Next->second;
    const std::optional<Duration> Life = lifetime(Next->first);
    const Duration Age = this->Time.now() - Each.Since;
    if (Life && Age >= *Life && !Each.Expired) {
      Each.Expired = true;
      Ended = true;
    }
    // An expired entry is kept for another lifetime, so that a peer on which it
    // expires slightly later does not reintroduce it.
    if (Life && Age >= *Life * 2)
      Next = this->Entries.erase(Next);
    else
      ++Next;
  }
  return Ended;
}

} // namespace turmericpass
