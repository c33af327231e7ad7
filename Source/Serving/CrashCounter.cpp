#include "Serving/CrashCounter.h"

#include "Core/Hash.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// The number of crashes from which a request is blocked.
constexpr unsigned BlockingCrashCount = 3;

/// A count that has not changed for this long is discarded.
constexpr Duration CountLifetime = std::chrono::minutes(10);

constexpr std::size_t MaxCounts = 4096;

} // namespace

std::uint64_t CrashCounter::fingerprint(std::string_view Target,
                                        std::string_view Body) {
  return hash64(Body, hash64(Target));
}

void CrashCounter::addCrash(std::uint64_t Fingerprint) {
  this->discardOldCounts();
  CrashCount &Count = this->CountsByRequest[Fingerprint];
  ++Count.Local;
  Count.LastChange = this->Time.now();
}

void CrashCounter::resetCount(std::uint64_t Fingerprint) {
  this->CountsByRequest.erase(Fingerprint);
}

void CrashCounter::mergePeerCount(std::uint64_t Fingerprint,
                                  unsigned PeerCount) {
  CrashCount &Count = this->CountsByRequest[Fingerprint];
  Count.Peers = std::max(Count.Peers, PeerCount);
  Count.LastChange = this->Time.now();
}

bool CrashCounter::isBlocked(std::uint64_t Fingerprint) const {
  const auto Found = this->CountsByRequest.find(Fingerprint);
  return Found != this->CountsByRequest.end() &&
         Found->second.Local + Found->second.Peers >= BlockingCrashCount;
}

CrashCounter::Counts CrashCounter::countsOf(std::uint64_t Fingerprint) const {
  const auto Found = this->CountsByRequest.find(Fingerprint);
  return Found == this->CountsByRequest.end()
             ? Counts()
             : Counts{Found->second.Local, Found->second.Peers};
}

std::size_t CrashCounter::localCountSize() const {
  return static_cast<std::size_t>(
      std::count_if(this->CountsByRequest.begin(), this->CountsByRequest.end(),
                    [](const auto &Each) { return Each.second.Local > 0; }));
}

std::vector<CrashCounter::Entry>
CrashCounter::countsToShare(std::size_t Limit) const {
  std::vector<Entry> Shared;
  for (const auto &[Fingerprint, Count] : this->CountsByRequest)
    if (Count.Local > 0 && Shared.size() < Limit)
      Shared.push_back({Fingerprint, Count.Local});
  return Shared;
}

void CrashCounter::discardOldCounts() {
  const Instant Now = this->Time.now();
  std::erase_if(this->CountsByRequest, [&](const auto &Each) {
    return Now - Each.second.LastChange > CountLifetime;
  });
  if (this->CountsByRequest.size() >= MaxCounts)
    this->CountsByRequest.erase(this->CountsByRequest.begin());
}

} // namespace turmericpass
