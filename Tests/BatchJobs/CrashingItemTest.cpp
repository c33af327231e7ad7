#include "Support/RunnerBench.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

constexpr int Servers = 4;
/// How long a crashed server is down. It is shorter than in production, to keep
/// the tests short.
constexpr Duration DownTime = 400ms;
constexpr Duration EventInterval = 5ms;
constexpr std::uint64_t EventsOfItem = 40;

/// Returns what the runner of another VM on the same store depends on.
JobRunnerDependencies dependenciesOfOther(RunnerBench &Bench) {
  return {Bench.Loop,
          Bench.Channels,
          Bench.Store,
          Bench.Directory,
          Bench.Servers,
          Bench.Loads,
          Bench.Placement,
          Bench.Crashes,
          Bench.Detector,
          Bench.Protocol,
          Bench.Log,
          Bench.Stats,
          [&Bench] { return &Bench.Settings; },
          [] { return true; },
          [&Bench] { return Bench.StoreNow; },
          [] { return false; },
          [] { return 0; },
          "other"};
}

/// Plays servers that crash when they run certain items.
struct CrashingServers {
  RunnerBench Bench;
  /// The event at which each of these items crashes its server.
  std::map<std::string, std::uint64_t> CrashingItems;
  /// The number of sends of each item.
  std::map<std::string, int> Sends;
  struct Run {
    SendId Id = 0;
    std::string Item;
    std::string Address;
    std::uint64_t FirstEvent = 0;
    std::uint64_t Events = 0;
    Instant NextEvent;
    bool HasEnded = false;
  };
  std::vector<Run> Runs;
  std::map<std::string, Instant> DownUntil;
  std::size_t Played = 0;
  /// The number of crashes while each item was running.
  std::map<std::string, int> CrashesUnder;
  std::vector<JobRunner *> Runners{&Bench.Runner};

  CrashingServers() {
    Bench.Servers.remove("s1");
    for (int I = 0; I < Servers; ++I)
      Bench.Servers.update({"s" + std::to_string(I), "model",
                            "127.0.0.1:" + std::to_string(I + 1), "a", 8, false,
                            1});
  }

  void accept(const FakeChannels::Sent &Sent) {
    const Instant Now = Bench.Time.now();
    const bool IsDown = DownUntil[Sent.Order.Address] > Now;
    if (IsDown) {
      Bench.Channels.fail(Sent.Id, SendFailure::NotSent);
    } else if (Sent.Order.Request.Method == "GET") {
      Bench.Channels.head(Sent.Id, 200);
      Bench.Channels.done(Sent.Id);
    } else {
      const std::string After(
          rawHeader(Sent.Order.Request.Headers, Bench.Protocol.LastEventId));
      const std::string Item(
          rawHeader(Sent.Order.Request.Headers, Bench.Protocol.RequestId));
      ++Sends[Item];
      const std::uint64_t First = After.empty() ? 0 : std::stoull(After) + 1;
      Runs.push_back({Sent.Id, Item, Sent.Order.Address, First, 0,
                      Now + EventInterval, false});
      Bench.Channels.head(Sent.Id, 200,
                          {{"Content-Type", "text/event-stream"}});
    }
  }

  void crash(const std::string &Address) {
    DownUntil[Address] = Bench.Time.now() + DownTime;
    for (Run &Each : Runs)
      if (!Each.HasEnded && Each.Address == Address) {
        Each.HasEnded = true;
        ++CrashesUnder[Each.Item];
        Bench.Channels.fail(Each.Id, SendFailure::AnswerTruncated);
      }
  }

  void advance(std::size_t Index) {
    Run &Each = Runs[Index];
    if (Each.HasEnded || Bench.Time.now() < Each.NextEvent)
      return;
    Each.HasEnded = Bench.Channels.Cancelled.contains(Each.Id);
    if (Each.HasEnded)
      return;
    Each.NextEvent += EventInterval;
    const auto Crashing = CrashingItems.find(Each.Item);
    if (Crashing != CrashingItems.end() &&
        Each.FirstEvent + Each.Events >= Crashing->second) {
      this->crash(std::string(Each.Address));
      return;
    }
    const std::uint64_t Event = Each.FirstEvent + Each.Events++;
    Each.HasEnded = Event + 1 >= EventsOfItem;
    const SendId Id = Each.Id;
    const bool IsLast = Each.HasEnded;
    Bench.Channels.body(Id, "id: " + std::to_string(Event) + "\ndata: x\n\n");
    if (IsLast)
      Bench.Channels.done(Id);
  }

  void play() {
    for (; Played < Bench.Channels.All.size(); ++Played)
      this->accept(FakeChannels::Sent(Bench.Channels.All[Played]));
    for (std::size_t I = 0; I < Runs.size(); ++I)
      this->advance(I);
  }

  template <typename F> bool runWhile(Duration Limit, F Holds) {
    const Instant End = Bench.Time.now() + Limit;
    while (Holds() && Bench.Time.now() < End) {
      this->play();
      for (JobRunner *Runner : Runners)
        Runner->schedule();
      Bench.Loop.runOnce(2ms);
    }
    return !Holds();
  }

  std::size_t unfinished(const std::string &JobId) {
    const OwnedJob *Job = nullptr;
    for (const JobRunner *Runner : Runners)
      if (const OwnedJob *Owned = Runner->find(JobId))
        Job = Owned;
    if (!Job)
      return 0;
    return static_cast<std::size_t>(std::count_if(
        Job->Items.begin(), Job->Items.end(), [&](const ItemRun &Run) {
          return !CrashingItems.contains(Run.Item.Id) &&
                 (Run.State == ItemState::Pending ||
                  Run.State == ItemState::Running);
        }));
  }
};

/// Runs a job of \p Items items and checks that all but \p Crashing are done
/// soon and that those are sent no more than the trials allow.
void checkOthersFinish(const std::map<std::string, std::uint64_t> &Crashing,
                       std::size_t Items) {
  CrashingServers Fleet;
  Fleet.CrashingItems = Crashing;
  cr_assert(Fleet.Bench.startJob("j", Items));
  cr_assert(Fleet.runWhile(5s, [&] { return Fleet.unfinished("j") > 0; }),
            "%zu items wait", Fleet.unfinished("j"));
  Fleet.runWhile(5s, [] { return true; });
  const auto IsSettled = [&] {
    const OwnedJob *Job = Fleet.Bench.Runner.find("j");
    return std::none_of(
        Job->Items.begin(), Job->Items.end(), [](const ItemRun &Run) {
          return Run.ActiveSend != 0 || Run.Crashes.isCheckPending();
        });
  };
  cr_assert(Fleet.runWhile(5s, [&] { return !IsSettled(); }));
  // Another owner would go on with what the store has.
  std::optional<std::vector<ItemProgress>> Rows;
  Fleet.Bench.Store.readProgress(
      "j",
      [&](const Result<std::vector<ItemProgress>> &Found) { Rows = *Found; });
  cr_assert(runUntil(Fleet.Bench.Loop, [&] { return Rows.has_value(); }));
  for (std::size_t I = 0; I < Items; ++I)
    if (Crashing.contains("item" + std::to_string(I))) {
      const auto Row = std::find_if(
          Rows->begin(), Rows->end(),
          [&](const ItemProgress &Each) { return Each.Index == I; });
      cr_assert(Row != Rows->end());
      cr_assert_eq(Row->Crashes.Crashes,
                   Fleet.Sends["item" + std::to_string(I)]);
      cr_assert_geq(Row->Crashes.Trials, 1);
    }
  for (const auto &[Item, Sends] : Fleet.Sends) {
    const bool IsCrashing = Crashing.contains(Item);
    cr_assert_leq(Sends,
                  IsCrashing ? 5 : 1 + 2 * static_cast<int>(Crashing.size()),
                  "%s was sent %d times", Item.c_str(), Sends);
    cr_assert_leq(Fleet.CrashesUnder[Item],
                  IsCrashing ? 5 : static_cast<int>(2 * Crashing.size()),
                  "%d crashes under %s", Fleet.CrashesUnder[Item],
                  Item.c_str());
  }
}

} // namespace

// Guards against an item that is sent to all servers again and again, and
// against other items that share the servers of its next sends.
Test(CrashingItem, OtherItemsFinishBesideACrashingItem) {
  checkOthersFinish({{"item0", 0}}, 10);
}

// Guards against the same if two items of the job crash servers.
Test(CrashingItem, OtherItemsFinishBesideTwoCrashingItems) {
  checkOthersFinish({{"item0", 0}, {"item5", 0}}, 10);
}

// Guards against the same if two VMs own a job with such an item each.
Test(CrashingItem, CrashingItemsOfTwoOwnersAreLimited) {
  CrashingServers Fleet;
  RunnerBench &Bench = Fleet.Bench;
  JobRunner Other(dependenciesOfOther(Bench));
  Fleet.Runners.push_back(&Other);
  Fleet.CrashingItems = {{"item0", 0}, {"k3", 0}};
  JobMetadata Metadata = RunnerBench::makeMetadata(6);
  Metadata.Owner = "other";
  std::vector<JobItem> Items;
  Items.reserve(6);
  for (int I = 0; I < 6; ++I)
    Items.push_back({"k" + std::to_string(I), "/x", {}, "body", 10});
  bool Accepted = false;
  Bench.Store.acceptJob("k", Metadata, Items, Bench.Time.now() + 5s,
                        Bench.Directory, [&](JobStore::ChangeOutcome) {
                          Accepted = true;
                          Other.runJob("k");
                        });
  cr_assert(runUntil(Bench.Loop, [&] {
    return Accepted && Other.find("k") && !Other.find("k")->Items.empty();
  }));
  cr_assert(Bench.startJob("j", 6));
  cr_assert(Fleet.runWhile(
      5s, [&] { return Fleet.unfinished("j") + Fleet.unfinished("k") > 0; }));
  Fleet.runWhile(5s, [] { return true; });
  for (const char *Item : {"item0", "k3"}) {
    cr_assert_geq(Fleet.Sends[Item], 3);
    cr_assert_leq(Fleet.Sends[Item], 6);
  }
}

// Guards against an innocent item that waits until its job ends, because a
// crashing request of callers ran beside each of its first sends.
Test(CrashingItem, ItemBesideACrashingRequestFinishes) {
  CrashingServers Fleet;
  Fleet.CrashingItems = {{"item0", 0}};
  cr_assert(Fleet.Bench.startJob("j", 1));
  cr_assert(Fleet.runWhile(10s, [&] { return Fleet.Sends["item0"] < 5; }));
  Fleet.CrashingItems.clear();
  cr_assert(Fleet.runWhile(2s, [&] { return Fleet.unfinished("j") > 0; }));
  cr_assert(runUntil(Fleet.Bench.Loop,
                     [&] { return !Fleet.Bench.results("j").empty(); }));
  cr_assert(Fleet.Bench.results("j").at(0).Succeeded);
}

// Guards against an item that is cleared by its progress although it crashes
// each server after some events.
Test(CrashingItem, ItemThatCrashesAfterTwentyEventsIsLimited) {
  CrashingServers Fleet;
  Fleet.CrashingItems = {{"item0", 20}};
  cr_assert(Fleet.Bench.startJob("j", 10));
  cr_assert(Fleet.runWhile(5s, [&] { return Fleet.unfinished("j") > 0; }));
  Fleet.runWhile(4s, [] { return true; });
  cr_assert_leq(Fleet.Sends["item0"], 5);
}

// Guards against an innocent item that is limited because connections to sound
// servers broke.
Test(CrashingItem, LostConnectionIsNoCrash) {
  CrashingServers Fleet;
  cr_assert(Fleet.Bench.startJob("j", 1));
  std::size_t Broken = 0;
  cr_assert(Fleet.runWhile(15s, [&] {
    Fleet.Bench.Servers.recordSuccess("s0");
    for (; Broken < Fleet.Runs.size(); ++Broken) {
      CrashingServers::Run &Run = Fleet.Runs[Broken];
      Run.HasEnded = true;
      Fleet.Bench.Channels.fail(Run.Id, SendFailure::Unanswered);
    }
    return Fleet.Sends["item0"] < 9;
  }));
  cr_assert_not(Fleet.Bench.Runner.find("j")->Items[0].Crashes.isSuspect());
}

namespace {

/// Starts a job of one item, and lets \p Other take it over with \p Counts in
/// the progress of the item.
void takeOverWith(RunnerBench &Bench, JobRunner &Other,
                  const ItemCrashCounts &Counts) {
  cr_assert(Bench.startJob("j", 1));
  Bench.Runner.releaseJobs();
  cr_assert(runUntil(Bench.Loop, [&] {
    return Bench.Directory.find("j")->Metadata.Owner.empty();
  }));
  std::optional<bool> Saved;
  Bench.Store.saveItemProgress("j", {0, 0, "", 0, false, Counts},
                               [&](bool IsSaved) { Saved = IsSaved; });
  cr_assert(runUntil(Bench.Loop, [&] { return Saved.has_value(); }));
  cr_assert(*Saved);
  const KnownJob Known = *Bench.Directory.find("j");
  JobMetadata Metadata = Known.Metadata;
  Metadata.Owner = "other";
  ++Metadata.Epoch;
  Bench.Store.updateJob("j", Metadata, {}, 0, Bench.Time.now() + 5s,
                        Bench.Directory,
                        [&](JobStore::ChangeOutcome) { Other.runJob("j"); });
}

/// Runs \p Other for \p Span.
void runOther(RunnerBench &Bench, JobRunner &Other, Duration Span) {
  const Instant End = Bench.Time.now() + Span;
  while (Bench.Time.now() < End) {
    Other.schedule();
    Bench.Loop.runOnce(5ms);
  }
}

} // namespace

// Guards against an item that a new owner sends again at once although it had
// several trials, and against one that is not given up when its retention ends.
Test(CrashingItem, ItemBetweenTrialsIsGivenUpWhenItsRetentionEnds) {
  RunnerBench Bench;
  JobRunner Other(dependenciesOfOther(Bench));
  takeOverWith(Bench, Other, {6, 3, 0});
  // The first trial of an item with three crashes starts after 1.5 s.
  runOther(Bench, Other, 2s);
  cr_assert_eq(Bench.Channels.All.size(), 1, "the item was sent again");
  cr_assert(Other.owns("j"), "the item was given up");
  Bench.StoreNow = Bench.Settings.Routes[0].JobRetention.count() / 1000 + 2000;
  Other.schedule();
  cr_assert(runUntil(Bench.Loop, [&] { return !Other.owns("j"); }));
  cr_assert_not(Bench.results("j").at(0).Succeeded);
}

// Guards against an item that is sent again before its next trial, because the
// new owner could not read its progress at first.
Test(CrashingItem, NewOwnerDoesNotRunItemsWithUnreadCounts) {
  RunnerBench Bench;
  Bench.Rows.AwayParts = "progress-";
  JobRunner Other(dependenciesOfOther(Bench));
  takeOverWith(Bench, Other, {6, 3, 0});
  runOther(Bench, Other, 500ms);
  cr_assert_eq(Bench.Channels.All.size(), 1, "the item ran without its counts");
  Bench.Rows.AwayParts.clear();
  runOther(Bench, Other, 500ms);
  cr_assert_eq(Other.find("j")->Items.at(0).Crashes.counts().Trials, 3);
  cr_assert_eq(Bench.Channels.All.size(), 1);
}

// Guards against trials that callers displace before they show anything, and
// against slots that a cleared item keeps from callers.
Test(CrashingItem, TrialKeepsItsSlotUntilTheItemIsCleared) {
  RunnerBench Bench;
  JobRunner Other(dependenciesOfOther(Bench));
  takeOverWith(Bench, Other, {3, 0, 0});
  runOther(Bench, Other, 2s);
  cr_assert_eq(Bench.Channels.All.size(), 2, "the trial did not start");
  for (int I = 0; I < 8; ++I)
    Bench.Loads.addOnlineRequest("s1");
  Bench.Channels.head(2, 200, {{"Content-Type", "text/event-stream"}});
  Other.schedule();
  cr_assert_not(Bench.Channels.Cancelled.contains(2));
  for (int Event = 0; Event < ItemCrashPolicy::ClearingEvents; ++Event)
    Bench.Channels.body(2, "id: " + std::to_string(Event) + "\ndata: x\n\n");
  Other.schedule();
  cr_assert(Bench.Channels.Cancelled.contains(2));
}
