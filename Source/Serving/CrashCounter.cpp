#include "Serving/CrashCounter.h"

#include "Core/Hash.h"

#include <algorithm>

namespace turmericpass {

namespace {

constexpr std::size_t MaxCounts = 4096;

/// The number of servers of a request that are remembered, which is more than
/// block it.
constexpr std::size_t MaxServersPerRequest = 6;

/// How long a changed record is in all messages to other VMs. Messages to
/// another zone may be 400 ms apart, and some are lost.
constexpr Duration SharingTime = std::chrono::milliseconds(1300);
/// Blocked requests are in all messages of the first part of each period.
constexpr Duration RepeatPeriod = std::chrono::seconds(10);
constexpr Duration RepeatTime = std::chrono::milliseconds(450);

/// How long the VM that blocked a request may take to store that before the
/// other VMs do.
constexpr Duration StoreDelayOfOthers = std::chrono::seconds(3);

} // namespace

std::uint32_t CrashCounter::wholeSeconds(Duration Age) {
  return static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::seconds>(std::max(Age, Duration(0)))
          .count());
}

std::uint64_t CrashCounter::fingerprint(std::string_view Target,
                                        std::string_view Body) {
  return hash64(Body, hash64(Target));
}

unsigned CrashCounter::RequestCount::total() const {
  unsigned Total = 0;
  for (const auto &[Server, Count] : this->Servers)
    Total += Count.Known;
  return Total;
}

void CrashCounter::share(RequestCount &Count) const {
  Count.SharedUntil = this->Time.now() + SharingTime;
}

void CrashCounter::addCrash(std::uint64_t Fingerprint, std::uint32_t Server) {
  this->discardOldCounts();
  RequestCount &Count = this->Counts[Fingerprint];
  Count.LastCrash = this->Time.now();
  this->share(Count);
  if (Count.Servers.size() >= MaxServersPerRequest &&
      !Count.Servers.contains(Server))
    return;
  const unsigned Before = Count.total();
  ServerCount &OfServer = Count.Servers[Server];
  OfServer.Known = std::max(OfServer.Known, ++OfServer.Local);
  if (Before < BlockingCrashCount && Count.total() >= BlockingCrashCount) {
    Count.BlockedAt = this->Time.now();
    Count.StoresChange = true;
  }
}

unsigned CrashCounter::resetCount(std::uint64_t Fingerprint) {
  const auto Found = this->Counts.find(Fingerprint);
  if (Found == this->Counts.end() || Found->second.Servers.empty())
    return 0;
  RequestCount &Count = Found->second;
  const unsigned Before = Count.total();
  ++Count.Resets;
  Count.Servers.clear();
  Count.StoresChange = Count.Stored;
  Count.Stored = false;
  this->share(Count);
  return Before;
}

bool CrashCounter::mergeRecord(const CrashRecord &Record) {
  const Instant Now = this->Time.now();
  const Duration Age = std::chrono::seconds(Record.AgeSeconds);
  if (Age >= CountLifetime)
    return false;
  if (!this->Counts.contains(Record.Fingerprint))
    this->discardOldCounts();
  RequestCount &Count = this->Counts[Record.Fingerprint];
  if (Record.Resets < Count.Resets) {
    // The sender has missed the reset.
    this->share(Count);
    return false;
  }
  bool Changed = Record.Resets > Count.Resets;
  if (Changed) {
    Count.Resets = Record.Resets;
    Count.Servers.clear();
    Count.Stored = false;
  }
  Count.Stored = Count.Stored || Record.Stored;
  const unsigned Before = Count.total();
  for (const CrashRecord::ServerCrashes &Each : Record.Servers) {
    if (Count.Servers.size() >= MaxServersPerRequest &&
        !Count.Servers.contains(Each.Server))
      continue;
    ServerCount &OfServer = Count.Servers[Each.Server];
    if (Each.Count > OfServer.Known) {
      OfServer.Known = Each.Count;
      Changed = true;
    }
  }
  // The age is rounded up, so that it grows even if VMs merge the records of
  // each other again and again.
  Count.LastCrash = std::max(Count.LastCrash, Now - Age);
  if (Before < BlockingCrashCount && Count.total() >= BlockingCrashCount)
    Count.BlockedAt = Now;
  if (Changed)
    this->share(Count);
  return Changed;
}

unsigned CrashCounter::crashesOf(std::uint64_t Fingerprint) const {
  const auto Found = this->Counts.find(Fingerprint);
  return Found == this->Counts.end() ||
                 this->Time.now() - Found->second.LastCrash >= CountLifetime
             ? 0
             : Found->second.total();
}

std::size_t CrashCounter::size() const {
  return static_cast<std::size_t>(
      std::count_if(this->Counts.begin(), this->Counts.end(),
                    [](const auto &Each) { return Each.second.total() > 0; }));
}

bool CrashCounter::isDue(const RequestCount &Count, Instant Now) const {
  return Now < Count.SharedUntil ||
         (Count.total() >= BlockingCrashCount &&
          (Now - Count.LastCrash) % RepeatPeriod < RepeatTime);
}

std::vector<CrashRecord> CrashCounter::recordsToShare(std::size_t Limit) const {
  using Entry = std::pair<const std::uint64_t, RequestCount>;
  const Instant Now = this->Time.now();
  std::vector<const Entry *> Due;
  for (const Entry &Each : this->Counts)
    if (this->isDue(Each.second, Now))
      Due.push_back(&Each);
  std::sort(Due.begin(), Due.end(), [](const Entry *A, const Entry *B) {
    const bool BlockedA = A->second.total() >= BlockingCrashCount;
    const bool BlockedB = B->second.total() >= BlockingCrashCount;
    return BlockedA != BlockedB ? BlockedA
                                : A->second.SharedUntil > B->second.SharedUntil;
  });
  Due.resize(std::min(Due.size(), Limit));
  std::vector<CrashRecord> Records;
  Records.reserve(Due.size());
  for (const Entry *Each : Due)
    Records.push_back(this->makeRecord(Each->first, Each->second, Now));
  return Records;
}

CrashRecord CrashCounter::makeRecord(std::uint64_t Fingerprint,
                                     const RequestCount &Count,
                                     Instant Now) const {
  CrashRecord Record;
  Record.Fingerprint = Fingerprint;
  Record.Resets = Count.Resets;
  Record.AgeSeconds = wholeSeconds(Now - Count.LastCrash);
  for (const auto &[Server, OfServer] : Count.Servers)
    Record.Servers.push_back({Server, OfServer.Known});
  Record.Stored = Count.Stored;
  return Record;
}

std::vector<CrashRecord> CrashCounter::recordsToStore() const {
  const Instant Now = this->Time.now();
  std::vector<CrashRecord> Records;
  for (const auto &[Fingerprint, Count] : this->Counts) {
    const bool IsLeftToOthers = Count.total() < BlockingCrashCount ||
                                Now - Count.BlockedAt < StoreDelayOfOthers;
    if (!Count.Stored && (Count.StoresChange || !IsLeftToOthers))
      Records.push_back(this->makeRecord(Fingerprint, Count, Now));
  }
  return Records;
}

void CrashCounter::markStored(const CrashRecord &Record) {
  const auto Found = this->Counts.find(Record.Fingerprint);
  if (Found == this->Counts.end() || Found->second.Resets != Record.Resets)
    return;
  Found->second.Stored = true;
  Found->second.StoresChange = false;
  this->share(Found->second);
}

void CrashCounter::repeatBlocked() {
  for (auto &[Fingerprint, Count] : this->Counts)
    if (Count.total() >= BlockingCrashCount)
      this->share(Count);
}

void CrashCounter::discardOldCounts() {
  const Instant Now = this->Time.now();
  std::erase_if(this->Counts, [&](const auto &Each) {
    return Now - Each.second.LastCrash >= CountLifetime;
  });
  if (this->Counts.size() < MaxCounts)
    return;
  const auto Oldest =
      std::min_element(this->Counts.begin(), this->Counts.end(),
                       [](const auto &A, const auto &B) {
                         return A.second.LastCrash < B.second.LastCrash;
                       });
  this->Counts.erase(Oldest);
}

} // namespace turmericpass
