#include "BatchJobs/JobTakeover.h"

#include "Core/Hash.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

/// The VM that ranks first for a job takes it over at once. Each following VM
/// waits this much longer, in case those before it cannot reach the store.
constexpr Duration TakeoverDelay = std::chrono::milliseconds(1200);

} // namespace

JobTakeover::JobTakeover(const Clock &Time, std::string Self)
    : Time(Time), Self(std::move(Self)) {}

std::vector<std::string> JobTakeover::chooseJobs(
    const std::map<std::string, KnownJob> &Jobs,
    const std::vector<std::string> &AliveVms,
    const std::function<bool(const std::string &)> &IsAlive) {
  std::vector<std::string> Candidates = AliveVms;
  Candidates.push_back(this->Self);
  const int SelfIndex = static_cast<int>(Candidates.size()) - 1;
  const Instant Now = this->Time.now();
  std::map<std::string, Instant> NewOrphanedSince;
  std::vector<std::string> ChosenJobs;
  for (const auto &[JobId, Known] : Jobs) {
    if (!Known.Metadata.isOpen() || Known.Version.Newest == 0 ||
        (!Known.Metadata.Owner.empty() && IsAlive(Known.Metadata.Owner)))
      continue;
    const auto Previous = this->OrphanedSince.find(JobId);
    const Instant Since =
        Previous == this->OrphanedSince.end() ? Now : Previous->second;
    NewOrphanedSince.emplace(JobId, Since);
    const std::vector<int> RankedCandidates =
        rendezvousOrder(JobId, Candidates);
    const auto OwnRank =
        std::find(RankedCandidates.begin(), RankedCandidates.end(), SelfIndex);
    if (Now - Since >= TakeoverDelay * (OwnRank - RankedCandidates.begin()))
      ChosenJobs.push_back(JobId);
  }
  this->OrphanedSince = std::move(NewOrphanedSince);
  return ChosenJobs;
}

} // namespace turmericpass
