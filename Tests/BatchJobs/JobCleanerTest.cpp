#include "BatchJobs/JobCleaner.h"
#include "Support/RunnerBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;

// Guards against a store that fills up with finished jobs, and against one that
// is removed while it runs or must be readable. Also guards against removed
// tokens that count as waiting for ever.
Test(JobCleaner, OnlyOldFinishedJobsAreRemoved) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("old", 1));
  Bench.complete(1);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("old"); }));
  cr_assert(Bench.startJob("open", 1));
  JobCleaner Cleaner(Bench.Rows, Bench.Book, Bench.Log,
                     std::chrono::seconds(120));
  const auto Mine = [](const std::string &) { return true; };
  Cleaner.clean(120'000, Mine);
  Bench.Loop.runOnce(std::chrono::milliseconds(5));
  cr_assert_not_null(Bench.Book.find("old"), "it must be readable for 120 s");
  Cleaner.clean(120'001, [](const std::string &) { return false; });
  cr_assert_not_null(Bench.Book.find("old"), "another VM removes it");
  Cleaner.clean(120'001, Mine);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Book.find("old"); }));
  cr_assert_eq(Bench.Rows.count(JobStore::JobTable, "job/"), 1);
  cr_assert_eq(Bench.Rows.count(JobStore::DataTable, "in/old/"), 0);
  cr_assert_eq(Bench.Rows.count(JobStore::DataTable, "out/old/"), 0);
  cr_assert_eq(Bench.Rows.count(JobStore::DataTable, "in/open/"), 1);
  cr_assert_eq(Bench.Book.waitingTokens("jobs"), 10, "those of the open job");
}
