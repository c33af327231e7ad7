#include "Node/AggregatorElection.h"

#include "Core/Hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace turmericpass {

namespace {

/// The number of VMs of a zone that receive the digests of all others.
constexpr std::size_t AggregatorCount = 2;

/// The second aggregator acts when the first one has been silent for this time,
/// which covers several summaries.
constexpr Duration StandbyDelay = std::chrono::milliseconds(200);

/// The aggregators are passed over when no summary has arrived for this time.
/// The second one has had the time to take over by then.
constexpr Duration SummarySilenceLimit = std::chrono::milliseconds(700);
constexpr Duration PassOverTime = std::chrono::seconds(5);

/// A new aggregator collects digests for this time before it sends a summary,
/// because a summary from a few digests would show all other VMs as gone. Every
/// VM sends a digest within 400 ms.
constexpr Duration CollectingTime = std::chrono::milliseconds(600);

/// The number of members of one summary exceeds that of another one clearly if
/// it is larger by this factor.
constexpr double ClearlyMore = 1.25;

} // namespace

bool isClearlyMore(std::size_t Left, std::size_t Right) {
  return static_cast<double>(Left) > ClearlyMore * static_cast<double>(Right);
}

AggregatorElection::AggregatorElection(const Clock &Time, std::string OwnZone,
                                       std::string OwnAddress)
    : Time(Time), OwnZone(std::move(OwnZone)),
      OwnAddress(std::move(OwnAddress)), LastSummaryAt(Time.now()) {}

void AggregatorElection::setCandidates(const std::string &Zone,
                                       std::vector<Candidate> Candidates) {
  const std::uint64_t Seed = hash64(Zone);
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const Candidate &A, const Candidate &B) {
              return std::tuple(-A.Weight, hash64(A.Address, Seed)) <
                     std::tuple(-B.Weight, hash64(B.Address, Seed));
            });
  std::vector<std::string> &Ranked = this->Ranking[Zone];
  Ranked.clear();
  for (Candidate &Each : Candidates)
    Ranked.push_back(std::move(Each.Address));
  if (Zone == this->OwnZone)
    this->updateCollecting();
}

void AggregatorElection::recordOwnZoneSummary(std::size_t MemberCount) {
  this->LastSummaryAt = this->Time.now();
  this->LastSummaryMembers = MemberCount;
}

bool AggregatorElection::isPassedOver(const std::string &Address) const {
  const auto Found = this->PassedOverUntil.find(Address);
  return Found != this->PassedOverUntil.end() &&
         this->Time.now() < Found->second;
}

std::vector<std::string> AggregatorElection::firstUsable() const {
  std::vector<std::string> First;
  const auto Ranked = this->Ranking.find(this->OwnZone);
  if (Ranked == this->Ranking.end())
    return First;
  for (const std::string &Address : Ranked->second)
    if (First.size() < AggregatorCount && !this->isPassedOver(Address))
      First.push_back(Address);
  return First;
}

std::size_t AggregatorElection::ownRank() const {
  const std::vector<std::string> First = this->firstUsable();
  return static_cast<std::size_t>(
      std::find(First.begin(), First.end(), this->OwnAddress) - First.begin());
}

void AggregatorElection::updateCollecting() {
  const std::vector<std::string> First = this->firstUsable();
  if (std::find(First.begin(), First.end(), this->OwnAddress) == First.end())
    this->CollectingSince.reset();
  else if (!this->CollectingSince)
    this->CollectingSince = this->Time.now();
}

std::vector<std::string> AggregatorElection::checkForSilence() {
  const Instant Now = this->Time.now();
  std::vector<std::string> PassedOver;
  // An aggregator that does not act hears the one that does.
  if (Now - this->LastSummaryAt >= SummarySilenceLimit &&
      !this->CollectingSince) {
    std::erase_if(this->PassedOverUntil,
                  [&](const auto &Each) { return Each.second <= Now; });
    PassedOver = this->firstUsable();
    if (PassedOver.empty())
      this->PassedOverUntil.clear();
    for (const std::string &Address : PassedOver)
      this->PassedOverUntil[Address] = Now + PassOverTime;
    // The next ones get the same time before they are passed over.
    this->LastSummaryAt = Now;
    this->LastSummaryMembers = 0;
  }
  this->updateCollecting();
  return PassedOver;
}

std::vector<std::string> AggregatorElection::digestReceivers() const {
  std::vector<std::string> Receivers = this->firstUsable();
  std::erase(Receivers, this->OwnAddress);
  return Receivers;
}

bool AggregatorElection::isActing(std::size_t MemberCount) const {
  const Instant Now = this->Time.now();
  if (!this->CollectingSince || Now - *this->CollectingSince < CollectingTime)
    return false;
  if (Now - this->LastSummaryAt >= StandbyDelay)
    return true;
  // A VM that does not receive all digests, because others rank it lower, must
  // not replace one that does.
  return this->ownRank() == 0
             ? !isClearlyMore(this->LastSummaryMembers, MemberCount)
             : isClearlyMore(MemberCount, this->LastSummaryMembers);
}

std::vector<std::string>
AggregatorElection::aggregatorsOf(const std::string &Zone, bool IsZoneHeard,
                                  std::uint64_t Random) const {
  const auto Ranked = this->Ranking.find(Zone);
  if (Ranked == this->Ranking.end() || Ranked->second.empty())
    return {};
  const std::vector<std::string> &All = Ranked->second;
  std::vector<std::string> Receivers(
      All.begin(), All.begin() + static_cast<std::ptrdiff_t>(
                                     std::min(AggregatorCount, All.size())));
  if (!IsZoneHeard)
    Receivers.push_back(All[Random % All.size()]);
  return Receivers;
}

} // namespace turmericpass
