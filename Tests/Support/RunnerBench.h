#ifndef TURMERICPASS_TESTS_SUPPORT_RUNNERBENCH_H
#define TURMERICPASS_TESTS_SUPPORT_RUNNERBENCH_H

#include "BatchJobs/JobRunner.h"
#include "Core/IdSource.h"
#include "Loop/EventLoop.h"
#include "Serving/CrashCounter.h"
#include "Serving/CrashDetector.h"
#include "Serving/LoadTracker.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServerDirectory.h"
#include "Support/FakeChannels.h"
#include "Support/MemoryRowStore.h"
#include "Support/RunUntil.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

namespace turmericpass {

/// A JobRunner with a store in memory and servers that the test plays.
struct RunnerBench {
  BootClock Time;
  EventLoop Loop{Time};
  MemoryRowStore Rows{Loop};
  FakeChannels Channels;
  NullLogger Log;
  Metrics Stats;
  IdSource Ids{7};
  BackendProtocol Protocol;
  ServerDirectory Servers{Time};
  LoadTracker Loads{"self"};
  CrashCounter Crashes{Time};
  ServingSettings Settings;
  CrashDetector Detector{Loop,    Channels, Servers,
                         Crashes, Log,      [this] { return &this->Settings; }};
  PlacementPolicy Placement{Time, Servers, Loads, Channels, "a", "self"};
  JobDirectory Directory{Log};
  JobStore Store{Loop, Rows, Ids, Log};
  std::int64_t StoreNow = 0;
  bool SettingsAreCurrent = true;
  bool OtherVmsHaveUrgentItems = false;
  int OtherVmsWaitingItems = 0;
  /// The path under which startJob() submits.
  std::string JobTarget = "/";
  std::string ItemBody = "body";
  JobRunner Runner;

  RunnerBench()
      : Runner({Loop, Channels, Store, Directory, Servers, Loads, Placement,
                Crashes, Detector, Protocol, Log, Stats,
                [this] { return &this->Settings; },
                [this] { return this->SettingsAreCurrent; },
                [this] { return this->StoreNow; },
                [this] { return this->OtherVmsHaveUrgentItems; },
                [this] { return this->OtherVmsWaitingItems; }, "self"}) {
    Protocol.RequestId = "Id";
    Protocol.RemainingMs = "Remaining";
    Protocol.ExpectedServer = "Server";
    Protocol.NotRun = "Not-Run";
    Protocol.Leaving = "Leaving";
    Protocol.LastEventId = "After";
    Protocol.RetryAfter = "Retry-After";
    RouteSettings Route;
    Route.Name = "jobs";
    Route.Host = "h";
    Route.PathPrefix = "/";
    Route.Kind = RequestKind::Batch;
    Route.MaxAttempts = 3;
    Route.Services = {{"model", 1}};
    Settings.Routes = {Route};
    Servers.update({"s1", "model", "127.0.0.1:1", "a", 8, false, 1});
  }

  /// Returns the metadata of a new job of \p Count items that this VM owns.
  static JobMetadata makeMetadata(std::size_t Count) {
    JobMetadata Metadata;
    Metadata.Host = "h";
    Metadata.Target = "/";
    Metadata.Route = "jobs";
    Metadata.Owner = "self";
    Metadata.Epoch = 1;
    Metadata.TotalItems = Count;
    return Metadata;
  }

  /// Accepts a job of \p Count items and lets the runner start them, or as many
  /// as \p Slots allows.
  bool startJob(const std::string &JobId, std::size_t Count,
                std::size_t Slots = 100) {
    JobMetadata Metadata = makeMetadata(Count);
    Metadata.Target = JobTarget;
    std::vector<JobItem> Items;
    for (std::size_t I = 0; I < Count; ++I)
      Items.push_back({"item" + std::to_string(I), "/x", {}, ItemBody, 10});
    Metadata.TotalTokens = 10 * Count;
    bool Accepted = false;
    Store.acceptJob(JobId, Metadata, Items,
                    Time.now() + std::chrono::seconds(5), Directory,
                    [&](JobStore::ChangeOutcome Outcome) {
                      Accepted = Outcome == JobStore::ChangeOutcome::Done;
                      Runner.runJob(JobId);
                    });
    const std::size_t Before = Channels.All.size();
    return runUntil(Loop, [&] {
      return Accepted && Channels.All.size() == Before + std::min(Count, Slots);
    });
  }

  /// Reports the rows of all jobs as the feed does.
  void reportJobs() {
    bool Reported = false;
    RowRange Range;
    Range.Table = JobStore::JobTable;
    Range.Part = JobStore::Part;
    Rows.read(Range, [&](Result<RowPage> Page) {
      Directory.update(Page->Rows);
      Reported = true;
    });
    runUntil(Loop, [&] { return Reported; });
  }

  /// Plays a whole answer of two events to request \p Id.
  void complete(SendId Id) {
    Channels.head(Id, 200, {{"Content-Type", "text/event-stream"}});
    Channels.body(Id, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    Channels.done(Id);
  }

  std::vector<ItemResult> results(const std::string &JobId) {
    std::optional<std::vector<ItemResult>> Read;
    Store.readResults(JobId, 0, 0, [&](Result<std::vector<ItemResult>> Found) {
      Read = Found ? *Found : std::vector<ItemResult>();
    });
    runUntil(Loop, [&] { return Read.has_value(); });
    return *Read;
  }
};

} // namespace turmericpass

#endif
