#include "BatchJobs/WaitingItems.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace turmericpass {

std::vector<ItemKey> waitingItems(const std::map<std::string, OwnedJob> &Jobs,
                                  Instant Now) {
  struct Candidate {
    std::uint64_t Events;
    std::int64_t AcceptedAtMillis;
    ItemKey Key;
  };
  std::vector<Candidate> Candidates;
  for (const auto &[JobId, Job] : Jobs)
    for (std::size_t I = 0; I < Job.Items.size(); ++I)
      if (const ItemRun &Run = Job.Items[I]; Run.State == ItemState::Pending &&
                                             Run.EarliestStart <= Now &&
                                             Run.Crashes.mayStart(Now))
        Candidates.push_back({Run.LastEventId.value_or(0),
                              Job.Metadata.AcceptedAtMillis,
                              {JobId, I}});
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const Candidate &A, const Candidate &B) {
                     return std::tie(B.Events, A.AcceptedAtMillis) <
                            std::tie(A.Events, B.AcceptedAtMillis);
                   });
  std::vector<ItemKey> Ordered;
  Ordered.reserve(Candidates.size());
  for (Candidate &Entry : Candidates)
    Ordered.push_back(std::move(Entry.Key));
  return Ordered;
}

std::vector<ItemKey> runningItems(const std::map<std::string, OwnedJob> &Jobs) {
  std::vector<std::pair<std::uint64_t, ItemKey>> Running;
  for (const auto &[JobId, Job] : Jobs)
    for (std::size_t I = 0; I < Job.Items.size(); ++I)
      if (Job.Items[I].ActiveSend != 0)
        Running.push_back({Job.Items[I].LastEventId.value_or(0), {JobId, I}});
  std::sort(Running.begin(), Running.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<ItemKey> Ordered;
  Ordered.reserve(Running.size());
  for (auto &[Events, Key] : Running)
    Ordered.push_back(std::move(Key));
  return Ordered;
}

std::set<std::string>
serversWithSuspects(const std::map<std::string, OwnedJob> &Jobs) {
  std::set<std::string> Servers;
  for (const auto &Job : Jobs)
    for (const ItemRun &Run : Job.second.Items)
      if (Run.ActiveSend != 0 && Run.Crashes.isSuspect())
        Servers.insert(Run.Server);
  return Servers;
}

} // namespace turmericpass
