#include "Support/RunnerBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;

// Guards against items that are never sent to idle servers, because items of a
// service that has lost all servers wait in front of them.
Test(JobRunner, ItemsOfAServiceWithoutServersHoldUpNoOthers) {
  RunnerBench Bench;
  RouteSettings Lost = Bench.Settings.Routes[0];
  Lost.Name = "lost";
  Lost.PathPrefix = "/lost/";
  Lost.Services = {{"lost-model", 1}};
  Bench.Settings.Routes.push_back(Lost);
  Bench.JobTarget = "/lost/";
  cr_assert(Bench.startJob("a", 2, 0));
  Bench.JobTarget = "/";
  cr_assert(Bench.startJob("b", 2));
  Bench.complete(1);
  Bench.complete(2);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("b"); }));
  cr_assert(Bench.Runner.owns("a"));
}
