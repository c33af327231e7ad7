#include "Control/ReplicatedEntries.h"

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
std::optional<Duration> lifetimeOf(const std::string &Key) {
  if (Key.starts_with("leaving/"))
    return ReplicatedEntries::LeavingLifetime;
  if (Key.starts_with("quarantine/"))
    return ReplicatedEntries::QuarantineLifetime;
  return std::nullopt;
}

} // namespace

ReplicatedEntries::ReplicatedEntries(const Clock &Time,
                                     std::uint64_t FirstChange)
    : Time(Time), Change(FirstChange) {}

void ReplicatedEntries::store(const DigestEntry &Update, bool FromOwnZone) {
  this->Entries[Update.Key] = {Update.Version,   Update.Value, ++this->Change,
                               this->Time.now(), FromOwnZone,  false};
}

bool ReplicatedEntries::announce(const std::string &Key,
                                 const std::string &Value) {
  // Versions are wall-clock times, so a restarted node continues above its
  // earlier versions. If the clock was set back, a peer returns the old entry
  // and its version is exceeded then.
  auto Version = static_cast<std::uint64_t>(
      std::max<std::int64_t>(this->Time.wallMillis(), 1));
  const auto Known = this->Entries.find(Key);
  if (Known != this->Entries.end()) {
    const Entry &Old = Known->second;
    const std::optional<Duration> Lifetime = lifetimeOf(Key);
    const bool IsFresh =
        !Old.Expired &&
        (!Lifetime || this->Time.now() - Old.StoredAt < *Lifetime / 3);
    if (Old.Value == Value && IsFresh)
      return false;
    Version = std::max(Version, Old.Version + 1);
  }
  this->store({Key, Version, Value}, false);
  return true;
}

bool ReplicatedEntries::merge(const DigestEntry &Entry, bool FromOwnZone) {
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
  this->store(Entry, FromOwnZone);
  return true;
}

void ReplicatedEntries::markChanged(const std::string &Prefix) {
  for (auto Next = this->Entries.lower_bound(Prefix);
       Next != this->Entries.end() && Next->first.starts_with(Prefix); ++Next)
    Next->second.Change = ++this->Change;
}

std::vector<DigestEntry>
ReplicatedEntries::changedSince(std::uint64_t After,
                                const Filter &Wanted) const {
  std::vector<DigestEntry> Changed;
  for (const auto &[Key, Entry] : this->Entries)
    if (Entry.Change > After && !Entry.Expired &&
        Wanted(Key, Entry.FromOwnZone))
      Changed.push_back({Key, Entry.Version, Entry.Value});
  return Changed;
}

const std::string *ReplicatedEntries::find(const std::string &Key) const {
  const auto Known = this->Entries.find(Key);
  if (Known == this->Entries.end() || Known->second.Expired)
    return nullptr;
  return &Known->second.Value;
}

std::set<std::string>
ReplicatedEntries::names(const std::string &Prefix) const {
  std::set<std::string> Names;
  for (auto Next = this->Entries.lower_bound(Prefix);
       Next != this->Entries.end() && Next->first.starts_with(Prefix); ++Next)
    if (!Next->second.Expired)
      Names.insert(Next->first.substr(Prefix.size()));
  return Names;
}

bool ReplicatedEntries::expire() {
  bool AnyExpired = false;
  for (auto Next = this->Entries.begin(); Next != this->Entries.end();) {
    Entry &Each = Next->second;
    const std::optional<Duration> Lifetime = lifetimeOf(Next->first);
    const Duration Age = this->Time.now() - Each.StoredAt;
    if (Lifetime && Age >= *Lifetime && !Each.Expired) {
      Each.Expired = true;
      AnyExpired = true;
    }
    // An expired entry is kept for another lifetime, so that a peer on which it
    // expires slightly later does not reintroduce it.
    if (Lifetime && Age >= *Lifetime * 2)
      Next = this->Entries.erase(Next);
    else
      ++Next;
  }
  return AnyExpired;
}

} // namespace turmericpass
