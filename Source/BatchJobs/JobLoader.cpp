#include "BatchJobs/JobLoader.h"

#include "Loop/EventLoop.h"
#include "Telemetry/Logger.h"

#include <map>
#include <utility>

namespace turmericpass {

namespace {

constexpr Duration RetryPause = std::chrono::milliseconds(300);

std::vector<ItemRun> makeRuns(std::vector<JobItem> Items,
                              const std::vector<ItemResult> &Results,
                              const std::vector<ItemProgress> &Progress) {
  std::vector<ItemRun> Runs;
  std::map<std::string, std::size_t> ByName;
  for (JobItem &Item : Items) {
    ByName.emplace(Item.Id, Runs.size());
    Runs.emplace_back();
    Runs.back().Item = std::move(Item);
  }
  for (const ItemResult &Known : Results)
    if (const auto At = ByName.find(Known.ItemId); At != ByName.end())
      Runs[At->second].State = ItemState::Listed;
  for (const ItemProgress &Known : Progress)
    if (Known.Index < Runs.size()) {
      Runs[Known.Index].LastEvent = Known.LastEvent;
      Runs[Known.Index].Output = Known.Output;
    }
  return Runs;
}

} // namespace

void JobLoader::retry(const std::string &JobId, bool IsNew,
                      const Wanted &StillWanted, const Loaded &Done,
                      const Error &Why) {
  this->Log.log(LogLevel::Warning,
                "Failed to read a job from the store; retrying.",
                {{"job", JobId}, {"reason", Why.Message}});
  this->Loop.after(RetryPause, [this, JobId, IsNew, StillWanted, Done] {
    if (StillWanted())
      this->load(JobId, IsNew, StillWanted, Done);
  });
}

void JobLoader::load(const std::string &JobId, bool IsNew,
                     const Wanted &StillWanted, const Loaded &Done) {
  const auto Retry = [=, this](const Error &Why) {
    this->retry(JobId, IsNew, StillWanted, Done, Why);
  };
  this->Store.readItems(JobId, [=, this](Result<std::vector<JobItem>> Items) {
    if (!Items) {
      Retry(Items.error());
      return;
    }
    if (IsNew) {
      Done(makeRuns(std::move(*Items), {}, {}));
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
              JobId,
              [=, Items = std::move(Items), Results = std::move(*Results)](
                  Result<std::vector<ItemProgress>> Progress) mutable {
                // A failure to read progress is ignored: the items start from
                // the beginning.
                Done(makeRuns(std::move(Items), Results,
                              Progress ? *Progress
                                       : std::vector<ItemProgress>()));
              });
        });
  });
}

} // namespace turmericpass
