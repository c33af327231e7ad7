#include "BatchJobs/JobCleaner.h"
#include "Support/RunnerBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;

// Guards against finished jobs that stay in the store for ever, and against the
// removal of a job that still runs or is within its retention. Also guards
// against tokens of removed jobs that still count as waiting.
Test(JobCleaner, OnlyOldFinishedJobsAreRemoved) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("old", 1));
  Bench.complete(1);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("old"); }));
  cr_assert(Bench.startJob("open", 1));
  Bench.reportJobs();
  JobCleaner Cleaner(Bench.Rows, Bench.Directory, Bench.Log,
                     std::chrono::seconds(120));
  const auto IsAssignedToThisVm = [](const std::string &) { return true; };
  Cleaner.clean(120'000, IsAssignedToThisVm);
  Bench.Loop.runOnce(std::chrono::milliseconds(5));
  cr_assert_not_null(Bench.Directory.find("old"),
                     "the job was removed before its retention of 120 s ended");
  Cleaner.clean(120'001, [](const std::string &) { return false; });
  cr_assert_not_null(
      Bench.Directory.find("old"),
      "the job was removed although another VM is responsible for it");
  Cleaner.clean(120'001, IsAssignedToThisVm);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Directory.find("old"); }));
  cr_assert_eq(Bench.Rows.count(JobStore::JobTable, "job/"), 1);
  cr_assert_eq(Bench.Rows.count(JobStore::DataTable, "in/old/"), 0);
  cr_assert_eq(Bench.Rows.count(JobStore::DataTable, "out/old/"), 0);
  cr_assert_eq(Bench.Rows.count(JobStore::DataTable, "in/open/"), 1);
  cr_assert_eq(Bench.Directory.waitingTokens("jobs", ""), 10,
               "the waiting tokens are not those of the open job");
}
