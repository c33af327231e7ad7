#include "Serving/CrashCounter.h"

#include "Core/Hash.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// So many broken answers make a request suspect of crashing its servers.
constexpr unsigned BarredFrom = 3;

/// A request that was not seen for so long is forgotten.
constexpr Duration RecordTime = std::chrono::minutes(10);

constexpr std::size_t MostRecords = 4096;

} // namespace

std::uint64_t CrashCounter::fingerprint(std::string_view Target,
                                        std::string_view Body) {
  return hash64(Body, hash64(Target));
}

void CrashCounter::brokeOff(std::uint64_t Fingerprint) {
  this->forgetOld();
  Count &Known = this->Counts[Fingerprint];
  ++Known.Own;
  Known.Last = this->Time.now();
}

void CrashCounter::answered(std::uint64_t Fingerprint) {
  this->Counts.erase(Fingerprint);
}

void CrashCounter::merge(std::uint64_t Fingerprint, unsigned PeerCount) {
  Count &Known = this->Counts[Fingerprint];
  Known.Peers = std::max(Known.Peers, PeerCount);
  Known.Last = this->Time.now();
}

bool CrashCounter::isBlocked(std::uint64_t Fingerprint) const {
  const auto Found = this->Counts.find(Fingerprint);
  return Found != this->Counts.end() &&
         Found->second.Own + Found->second.Peers >= BarredFrom;
}

std::vector<CrashCounter::Entry>
CrashCounter::countsToShare(std::size_t Limit) const {
  std::vector<Entry> Shared;
  for (const auto &[Fingerprint, Known] : this->Counts)
    if (Known.Own > 0 && Shared.size() < Limit)
      Shared.push_back({Fingerprint, Known.Own});
  return Shared;
}

void CrashCounter::forgetOld() {
  const Instant Now = this->Time.now();
  std::erase_if(this->Counts, [&](const auto &Each) {
    return Now - Each.second.Last > RecordTime;
  });
  if (this->Counts.size() >= MostRecords)
    this->Counts.erase(this->Counts.begin());
}

} // namespace turmericpass
