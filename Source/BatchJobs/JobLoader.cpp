#include "BatchJobs/JobLoader.h"

#include "Loop/EventLoop.h"
#include "Telemetry/Logger.h"

#include <map>
#include <utility>

namespace turmericpass {

namespace {

constexpr Duration RetryDelay = std::chrono::milliseconds(300);

std::vector<ItemRun> makeItemRuns(std::vector<JobItem> Items,
                                  const std::vector<ItemResult> &Results,
                                  const std::vector<ItemProgress> &Progress) {
  std::vector<ItemRun> Runs;
  std::map<std::string, std::size_t> IndexById;
  for (JobItem &Item : Items) {
    IndexById.emplace(Item.Id, Runs.size());
    Runs.emplace_back();
    Runs.back().Item = std::move(Item);
  }
  for (const ItemResult &Known : Results)
    if (const auto At = IndexById.find(Known.ItemId); At != IndexById.end())
      Runs[At->second].State = ItemState::Committed;
  for (const ItemProgress &Known : Progress)
    if (Known.Index < Runs.size()) {
      ItemRun &Run = Runs[Known.Index];
      if (Known.HasEvents)
        Run.LastEventId = Known.LastEventId;
      Run.Output = Known.Output;
      Run.Failures = Run.SavedFailures = Known.Failures;
      Run.SavedCrashes = Known.Crashes;
    }
  return Runs;
}

} // namespace

void JobLoader::retry(const std::string &JobId, bool IsNew,
                      const NeededPredicate &IsNeeded, const LoadCallback &Done,
                      const Error &Reason) {
  this->Log.log(LogLevel::Warning,
                "Failed to read a job from the store; retrying.",
                {{"job", JobId}, {"reason", Reason.Message}});
  this->Loop.after(RetryDelay, [this, JobId, IsNew, IsNeeded, Done] {
    if (IsNeeded())
      this->load(JobId, IsNew, IsNeeded, Done);
  });
}

void JobLoader::load(const std::string &JobId, bool IsNew,
                     const NeededPredicate &IsNeeded,
                     const LoadCallback &Done) {
  const auto Retry = [=, this](const Error &Reason) {
    this->retry(JobId, IsNew, IsNeeded, Done, Reason);
  };
  this->Store.readItems(JobId, [=, this](Result<std::vector<JobItem>> Items) {
    if (!Items) {
      Retry(Items.error());
      return;
    }
    if (IsNew) {
      Done(makeItemRuns(std::move(*Items), {}, {}));
      return;
    }
    this->Store.readResults(
        JobId, 0, 0,
        [=, this, Items = std::move(*Items)](
            Result<std::vector<ItemResult>> Results) mutable {
          if (!Results) {
            Retry(Results.error());
            return;
          }
          this->Store.readProgress(
              JobId, [=, this, Items = std::move(Items),
                      Results = std::move(*Results)](
                         Result<std::vector<ItemProgress>> Progress) mutable {
                // Without the counts in the progress, items that crash servers
                // would be sent again. Only malformed progress is ignored, and
                // the items start from the beginning.
                if (!Progress &&
                    Progress.error().Code != ErrorCode::Malformed) {
                  this->retry(JobId, IsNew, IsNeeded, Done, Progress.error());
                  return;
                }
                Done(makeItemRuns(std::move(Items), Results,
                                  Progress ? *Progress
                                           : std::vector<ItemProgress>()));
              });
        });
  });
}

} // namespace turmericpass
