#include "Support/RunnerBench.h"

#include <criterion/criterion.h>
#include <utility>

using namespace turmericpass;
using namespace std::chrono_literals;

// Guards against items that are never listed because the operator removed their
// route: they can neither start nor expire.
Test(JobRunner, ItemsOfARemovedRouteAreListed) {
  RunnerBench Bench;
  Bench.Servers.update({"s1", "model", "127.0.0.1:1", "a", 1, false, 1});
  cr_assert(Bench.startJob("j", 3, 1));
  Bench.Settings.Routes.clear();
  Bench.complete(1);
  cr_assert(runUntil(Bench.Loop, [&] {
    Bench.Runner.schedule();
    return !Bench.Runner.owns("j");
  }));
  const std::vector<ItemResult> Results = Bench.results("j");
  cr_assert_eq(Results.size(), 3);
  cr_assert(Results[0].Succeeded);
  cr_assert_not(Results[1].Succeeded);
  cr_assert_not(Results[2].Succeeded);
  cr_assert_eq(Bench.Channels.All.size(), 1);
}

// Guards against items that run on the service of another kind of route, which
// takes over the path after the job's own route was removed.
Test(JobRunner, ItemsOfARemovedRouteRunOnNoOtherService) {
  RunnerBench Bench;
  Bench.Servers.update({"s1", "model", "127.0.0.1:1", "a", 1, false, 1});
  Bench.Servers.update({"s2", "app", "127.0.0.1:2", "a", 8, false, 1});
  cr_assert(Bench.startJob("j", 2, 1));
  Bench.Settings.Routes[0].Kind = RequestKind::Stream;
  Bench.Settings.Routes[0].Services = {{"app", 1}};
  cr_assert(runUntil(Bench.Loop, [&] {
    Bench.Runner.schedule();
    return !Bench.results("j").empty();
  }));
  // The server of the silent first item may be checked for a crash.
  for (const FakeChannels::Sent &Sent : Bench.Channels.All)
    cr_assert(Sent.Id == 1 || Sent.Order.Request.Method == "GET");
  cr_assert_not(Bench.results("j").at(0).Succeeded);
}

// Guards against items that are given up although their route still exists: on
// a VM whose settings may be older than the job, and after a removal that was
// taken back at once. A failed attempt in that time does not end an item.
Test(JobRunner, ItemsAreKeptUntilTheRemovalOfTheRouteIsCertain) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  const std::vector<RouteSettings> Routes =
      std::exchange(Bench.Settings.Routes, {});
  Bench.Channels.head(1, 500);
  const auto Run = [&Bench](Duration Span) {
    const Instant End = Bench.Time.now() + Span;
    while (Bench.Time.now() < End) {
      Bench.Runner.schedule();
      Bench.Loop.runOnce(5ms);
    }
  };
  Bench.SettingsAreCurrent = false;
  Run(3500ms);
  Bench.SettingsAreCurrent = true;
  Run(1s);
  cr_assert(Bench.Runner.owns("j"));
  cr_assert_eq(Bench.Channels.All.size(), 1);
  Bench.Settings.Routes = Routes;
  Run(100ms);
  cr_assert_eq(Bench.Channels.All.size(), 2);
  Bench.complete(2);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("j"); }));
  cr_assert(Bench.results("j").at(0).Succeeded);
}

// Guards against a removal that is concluded from times before and after a gap
// in which the settings were not current, or while the job is still loaded.
Test(OwnedJob, RouteIsRemovedOnlyAfterCurrentSettingsLackedItForAWhile) {
  ManualClock Time;
  OwnedJob Job;
  cr_assert_not(Job.recordRoute(false, true, Time.now()));
  Time.advance(1min);
  cr_assert_not(Job.recordRoute(false, true, Time.now()));
  Job.Loading = false;
  for (const bool Exists : {true, false}) {
    cr_assert_not(Job.recordRoute(false, true, Time.now()));
    Time.advance(2900ms);
    cr_assert_not(Job.recordRoute(false, true, Time.now()));
    cr_assert_not(Job.recordRoute(Exists, Exists, Time.now()));
    Time.advance(200ms);
    cr_assert_not(Job.recordRoute(false, true, Time.now()));
  }
  Time.advance(3s);
  cr_assert(Job.recordRoute(false, true, Time.now()));
}
