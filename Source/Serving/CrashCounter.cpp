#include "Serving/CrashCounter.h"

#include <algorithm>

namespace turmericpass {

namespace {

constexpr std::size_t MaxCounts = 4096;

/// The number of servers, and of requests with a part, that are remembered for
/// a suspect. More than block it are not needed.
constexpr std::size_t MaxServersPerSuspect = 6;
constexpr std::size_t MaxRequestsPerPart = 6;

/// How long a changed record is in all messages to other VMs. Messages to
/// another zone may be 400 ms apart, and some are lost.
constexpr Duration SharingTime = std::chrono::milliseconds(1300);
/// Blocked suspects are in all messages of the first part of each period.
constexpr Duration RepeatPeriod = std::chrono::seconds(10);
constexpr Duration RepeatTime = std::chrono::milliseconds(450);

/// How long the VM that blocked a suspect may take to store that before the
/// other VMs do.
constexpr Duration StoreDelayOfOthers = std::chrono::seconds(3);

/// The time from the last crash or trial of a blocked suspect to its first
/// trial, and the factor for each further trial. While all servers of a service
/// crash for other reasons, a part of all its prompts may be blocked.
constexpr Duration FirstTrialDelay = std::chrono::seconds(5);
constexpr int TrialDelayFactor = 5;
constexpr std::uint32_t MaxTrialDelaySteps = 4;

/// A part is not blocked if a server ran a request with it in this time, so
/// that other VMs cannot block it that lost their connections to all servers.
constexpr Duration RecentSuccess = std::chrono::seconds(2);
constexpr std::size_t MaxPartSuccesses = 4096;

Duration trialDelay(std::uint32_t Trials) {
  Duration Delay = FirstTrialDelay;
  for (std::uint32_t I = 0; I < std::min(Trials, MaxTrialDelaySteps); ++I)
    Delay *= TrialDelayFactor;
  return Delay;
}

} // namespace

std::uint32_t CrashCounter::wholeSeconds(Duration Age) {
  return static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::seconds>(std::max(Age, Duration(0)))
          .count());
}

unsigned CrashCounter::SuspectCount::total() const {
  unsigned Total = 0;
  for (const auto &[Server, Count] : this->Servers)
    Total += Count.Known;
  return this->IsPart
             ? std::min(Total, static_cast<unsigned>(this->Requests.size()))
             : Total;
}

void CrashCounter::SuspectCount::clear(std::uint32_t NewResets) {
  this->Resets = NewResets;
  this->Servers.clear();
  this->Requests.clear();
  this->Trials = 0;
  this->Stored = false;
}

void CrashCounter::SuspectCount::addServer(std::uint32_t Server,
                                           unsigned Known) {
  if (this->Servers.size() >= MaxServersPerSuspect &&
      !this->Servers.contains(Server))
    return;
  ServerCount &OfServer = this->Servers[Server];
  OfServer.Known = std::max(OfServer.Known, Known);
}

void CrashCounter::SuspectCount::addRequest(std::uint32_t Request) {
  if (this->Requests.size() < MaxRequestsPerPart)
    this->Requests.insert(Request);
}

void CrashCounter::share(SuspectCount &Count) const {
  Count.SharedUntil = this->Time.now() + SharingTime;
}

void CrashCounter::addCrash(const std::vector<CrashSuspects> &Requests,
                            std::uint32_t Server) {
  std::map<std::uint64_t, std::set<std::uint32_t>> RequestsByPart;
  for (const CrashSuspects &Each : Requests) {
    this->addCrashOf(Each.Request, Server, {});
    for (const std::uint64_t Part : Each.Parts)
      RequestsByPart[Part].insert(static_cast<std::uint32_t>(Each.Request));
  }
  for (const auto &[Part, WithPart] : RequestsByPart)
    this->addCrashOf(Part, Server, WithPart);
}

void CrashCounter::addCrashOf(std::uint64_t Suspect, std::uint32_t Server,
                              const std::set<std::uint32_t> &RequestsWithPart) {
  this->discardOldCounts();
  SuspectCount &Count = this->Counts[Suspect];
  const bool WasBlocked = Count.isBlocked();
  Count.IsPart = !RequestsWithPart.empty();
  Count.LastCrash = this->Time.now();
  this->share(Count);
  const auto Known = Count.Servers.find(Server);
  Count.addServer(Server,
                  Known == Count.Servers.end() ? 1 : Known->second.Local + 1);
  if (const auto Added = Count.Servers.find(Server);
      Added != Count.Servers.end())
    ++Added->second.Local;
  for (const std::uint32_t Request : RequestsWithPart)
    Count.addRequest(Request);
  this->resetIfSound(Suspect, Count);
  if (!WasBlocked && Count.isBlocked()) {
    Count.BlockedAt = this->Time.now();
    Count.StoresChange = true;
  }
}

bool CrashCounter::reset(SuspectCount &Count) {
  if (Count.Servers.empty())
    return false;
  Count.StoresChange = Count.Stored;
  Count.clear(Count.Resets + 1);
  this->share(Count);
  return true;
}

void CrashCounter::resetIfSound(std::uint64_t Suspect, SuspectCount &Count) {
  if (!Count.IsPart || !Count.isBlocked())
    return;
  const auto Success = this->PartSuccesses.find(Suspect);
  if (Success != this->PartSuccesses.end() &&
      this->Time.now() - Success->second < RecentSuccess)
    this->reset(Count);
}

unsigned CrashCounter::recordSuccess(const CrashSuspects &Suspects) {
  unsigned Reset = 0;
  const auto ResetCount = [&](std::uint64_t Suspect) {
    const auto Found = this->Counts.find(Suspect);
    if (Found != this->Counts.end() && this->reset(Found->second))
      ++Reset;
  };
  ResetCount(Suspects.Request);
  for (const std::uint64_t Part : Suspects.Parts) {
    ResetCount(Part);
    this->recordPartSuccess(Part);
  }
  return Reset;
}

void CrashCounter::recordPartSuccess(std::uint64_t Part) {
  const Instant Now = this->Time.now();
  if (this->PartSuccesses.size() >= MaxPartSuccesses)
    std::erase_if(this->PartSuccesses, [&](const auto &Each) {
      return Now - Each.second >= RecentSuccess;
    });
  if (this->PartSuccesses.size() >= MaxPartSuccesses)
    this->PartSuccesses.clear();
  this->PartSuccesses[Part] = Now;
}

bool CrashCounter::mergeRecord(const CrashRecord &Record) {
  const Instant Now = this->Time.now();
  const Duration Age = std::chrono::seconds(Record.AgeSeconds);
  if (Age >= CountLifetime)
    return false;
  if (!this->Counts.contains(Record.Suspect))
    this->discardOldCounts();
  SuspectCount &Count = this->Counts[Record.Suspect];
  if (Record.Resets < Count.Resets) {
    // The sender has missed the reset.
    this->share(Count);
    return false;
  }
  Count.IsPart = Record.IsPart;
  const bool WasReset = Record.Resets > Count.Resets;
  if (WasReset)
    Count.clear(Record.Resets);
  const unsigned Before = Count.total();
  const std::size_t RequestsBefore = Count.Requests.size();
  const bool IsNewTrial = Record.Trials > Count.Trials;
  if (IsNewTrial) {
    Count.Trials = Record.Trials;
    Count.LastTrial = Now;
  }
  Count.Stored = Count.Stored || Record.Stored;
  for (const CrashRecord::ServerCrashes &Each : Record.Servers)
    Count.addServer(Each.Server, Each.Count);
  for (const std::uint32_t Request : Record.Requests)
    Count.addRequest(Request);
  // The age is rounded up, so that it grows even if VMs merge the records of
  // each other again and again.
  Count.LastCrash = std::max(Count.LastCrash, Now - Age);
  const bool Changed = WasReset || IsNewTrial || Count.total() != Before ||
                       Count.Requests.size() != RequestsBefore;
  if (Changed)
    this->share(Count);
  if (Before < BlockingCrashCount && Count.isBlocked())
    Count.BlockedAt = Now;
  this->resetIfSound(Record.Suspect, Count);
  return Changed;
}

const CrashCounter::SuspectCount *
CrashCounter::findCount(std::uint64_t Suspect) const {
  const auto Found = this->Counts.find(Suspect);
  return Found == this->Counts.end() ||
                 this->Time.now() - Found->second.LastCrash >= CountLifetime
             ? nullptr
             : &Found->second;
}

unsigned CrashCounter::crashesOf(std::uint64_t Suspect) const {
  const SuspectCount *Count = this->findCount(Suspect);
  return Count ? Count->total() : 0;
}

std::optional<std::uint64_t>
CrashCounter::findBlocked(const CrashSuspects &Suspects) const {
  if (this->crashesOf(Suspects.Request) >= BlockingCrashCount)
    return Suspects.Request;
  for (const std::uint64_t Part : Suspects.Parts)
    if (this->crashesOf(Part) >= BlockingCrashCount)
      return Part;
  return std::nullopt;
}

bool CrashCounter::startTrial(
    const CrashSuspects &Suspects,
    const std::function<bool(std::uint64_t)> &IsChosen) {
  const Instant Now = this->Time.now();
  std::vector<std::uint64_t> All = Suspects.Parts;
  All.push_back(Suspects.Request);
  std::vector<SuspectCount *> Tried;
  for (const std::uint64_t Suspect : All) {
    if (this->crashesOf(Suspect) < BlockingCrashCount)
      continue;
    SuspectCount &Count = this->Counts.at(Suspect);
    if (Now - std::max(Count.LastCrash, Count.LastTrial) <
            trialDelay(Count.Trials) ||
        !IsChosen(Suspect))
      return false;
    Tried.push_back(&Count);
  }
  for (SuspectCount *Count : Tried) {
    ++Count->Trials;
    Count->LastTrial = Now;
    this->share(*Count);
  }
  return true;
}

std::size_t CrashCounter::size() const {
  return static_cast<std::size_t>(
      std::count_if(this->Counts.begin(), this->Counts.end(),
                    [](const auto &Each) { return Each.second.total() > 0; }));
}

bool CrashCounter::isDue(const SuspectCount &Count, Instant Now) const {
  return Now < Count.SharedUntil ||
         (Count.isBlocked() &&
          (Now - Count.LastCrash) % RepeatPeriod < RepeatTime);
}

std::vector<CrashRecord> CrashCounter::recordsToShare(std::size_t Limit) const {
  using Entry = std::pair<const std::uint64_t, SuspectCount>;
  const Instant Now = this->Time.now();
  std::vector<const Entry *> Due;
  for (const Entry &Each : this->Counts)
    if (this->isDue(Each.second, Now))
      Due.push_back(&Each);
  std::sort(Due.begin(), Due.end(), [](const Entry *A, const Entry *B) {
    const unsigned CrashesOfA = A->second.total();
    const unsigned CrashesOfB = B->second.total();
    return CrashesOfA != CrashesOfB
               ? CrashesOfA > CrashesOfB
               : A->second.SharedUntil > B->second.SharedUntil;
  });
  Due.resize(std::min(Due.size(), Limit));
  std::vector<CrashRecord> Records;
  Records.reserve(Due.size());
  for (const Entry *Each : Due)
    Records.push_back(this->makeRecord(Each->first, Each->second, Now));
  return Records;
}

CrashRecord CrashCounter::makeRecord(std::uint64_t Suspect,
                                     const SuspectCount &Count,
                                     Instant Now) const {
  CrashRecord Record;
  Record.Suspect = Suspect;
  Record.Resets = Count.Resets;
  Record.AgeSeconds = wholeSeconds(Now - Count.LastCrash);
  Record.Stored = Count.Stored;
  Record.IsPart = Count.IsPart;
  Record.Trials = Count.Trials;
  for (const auto &[Server, OfServer] : Count.Servers)
    Record.Servers.push_back({Server, OfServer.Known});
  Record.Requests.assign(Count.Requests.begin(), Count.Requests.end());
  return Record;
}

std::vector<CrashRecord> CrashCounter::recordsToStore() const {
  const Instant Now = this->Time.now();
  std::vector<CrashRecord> Records;
  for (const auto &[Suspect, Count] : this->Counts) {
    const bool IsLeftToOthers =
        !Count.isBlocked() || Now - Count.BlockedAt < StoreDelayOfOthers;
    if (!Count.Stored && (Count.StoresChange || !IsLeftToOthers))
      Records.push_back(this->makeRecord(Suspect, Count, Now));
  }
  return Records;
}

void CrashCounter::markStored(const CrashRecord &Record) {
  const auto Found = this->Counts.find(Record.Suspect);
  if (Found == this->Counts.end() || Found->second.Resets != Record.Resets)
    return;
  Found->second.Stored = true;
  Found->second.StoresChange = false;
  this->share(Found->second);
}

void CrashCounter::repeatBlocked() {
  for (auto &[Suspect, Count] : this->Counts)
    if (Count.isBlocked())
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
