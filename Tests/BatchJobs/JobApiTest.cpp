#include "BatchJobs/JobTakeover.h"
#include "Support/ApiBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

// Guards against a job that is accepted twice because its caller repeats the
// submission.
Test(JobApi, RepeatedSubmissionIsAcceptedOnce) {
  ApiBench Bench;
  cr_assert_eq(Bench.submit(1, "j", "5"), 202);
  cr_assert_eq(Bench.submit(2, "j", "5"), 202);
  cr_assert_eq(Bench.Rows.count(JobStore::JobTable, "job/"), 1);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Channels.All.empty(); }));
  Bench.Runner.schedule();
  cr_assert_eq(Bench.Channels.All.size(), 1);
}

// Guards against a "not run" answer for a job whose acceptance the store did
// not answer and may still apply. Also checks that the acceptance succeeds if
// only the answer was lost.
Test(JobApi, UnansweredAcceptanceIsNeverRefused) {
  ApiBench Bench;
  Bench.Rows.Faults = {RowFault::AnswerLost};
  cr_assert_eq(Bench.submit(1, "j", "5"), 202);
  Bench.Rows.Faults = std::deque<RowFault>(100, RowFault::Refused);
  Bench.Rows.Faults.push_front(RowFault::MadeLate);
  cr_assert_eq(Bench.submit(2, "k", "5", "800"), 504);
  Bench.Rows.Faults.clear();
  Bench.Rows.applyLate();
  cr_assert_eq(Bench.submit(3, "k", "5"), 202);
  cr_assert_eq(Bench.Rows.count(JobStore::JobTable, "job/"), 2);
}

// Guards against commits and acceptances that never succeed because the store
// answered an earlier transaction with a newer version than its rows got. The
// soak test found this fault with seeds 11 and 14.
Test(JobApi, NewerVersionInAnAnswerIsCorrectedByAConflict) {
  ApiBench Bench;
  Bench.Rows.AnsweredAhead = 3;
  cr_assert_eq(Bench.submit(1, "j", "5"), 202);
  cr_assert_eq(Bench.submit(2, "k", "5"), 202);
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.Channels.All.size() == 2; }));
  Bench.complete(1);
  Bench.complete(2);
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.Runner.ownedJobCount() == 0; }));
  cr_assert_eq(Bench.results("j").size(), 1);
  cr_assert_eq(Bench.results("k").size(), 1);
}

// Guards against callers that wait although the store is known to be
// unreachable.
Test(JobApi, WithoutTheStoreSubmissionsAreRefusedAtOnce) {
  ApiBench Bench;
  Bench.IsDirectoryCurrent = false;
  cr_assert_eq(Bench.submit(1, "j", "5"), 503);
  cr_assert_eq(Bench.Rows.Transactions, 0);
}

// Guards against more waiting tokens than the configured limit, also when two
// VMs accept jobs concurrently.
Test(JobApi, WaitingTokensAreBounded) {
  ApiBench Bench;
  Bench.Route.MaxWaitingTokens = 10;
  cr_assert_eq(Bench.submit(1, "j", "6"), 202);
  cr_assert_eq(Bench.submit(2, "k", "5"), 429);
  cr_assert_eq(Bench.submit(3, "l", "4"), 202);
  // Another VM that has not read the two jobs from the store.
  JobDirectory OtherDirectory(Bench.Log);
  JobRunner OtherRunner(
      {Bench.Loop, Bench.Channels, Bench.Store, OtherDirectory, Bench.Servers,
       Bench.Loads, Bench.Placement, Bench.Crashes, Bench.Detector,
       Bench.Protocol, Bench.Log, Bench.Stats, [&] { return &Bench.Settings; },
       [] { return true; }, [] { return 0; }, [] { return false; },
       [] { return 0; }, "other"});
  JobApi OtherApi({Bench.Loop, Bench.Callers, Bench.Store, OtherDirectory,
                   OtherRunner, Bench.Protocol, Bench.Codec, Bench.Log,
                   Bench.Stats, [] { return 0; }, [] { return true; },
                   "other"});
  RawRequest Request;
  Request.Headers = {{"Id", "m"}, {"Host", "h"}};
  Request.Body = "1";
  OtherApi.submit(4, Request, Bench.Route, Bench.From);
  cr_assert_eq(Bench.answer(4), 429);
}

// Guards against status 404 for an existing job while the store is unreachable,
// and against status 503 for a job that does not exist.
Test(JobApi, OnlyTheStoreSaysThatAJobDoesNotExist) {
  ApiBench Bench;
  JobCall Call;
  Call.Kind = JobCallKind::ReadResults;
  Call.JobId = "none";
  cr_assert_eq(Bench.call(1, Call), 404);
  Bench.Rows.Away = true;
  cr_assert_eq(Bench.call(2, Call), 503);
  Call.Kind = JobCallKind::Cancel;
  cr_assert_eq(Bench.call(3, Call), 503);
}

// Guards against a caller that keeps waiting although a result was committed,
// and against results that differ between two reads.
Test(JobApi, WaitingReaderGetsTheResultAsItIsListed) {
  ApiBench Bench;
  cr_assert_eq(Bench.submit(1, "j", "5"), 202);
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.Channels.All.size() == 1; }));
  JobCall Call;
  Call.Kind = JobCallKind::ReadResults;
  Call.JobId = "j";
  Call.MaxWait = 10s;
  Bench.Api.handleCall(2, Call, Bench.From, "r");
  Bench.complete(1);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("j"); }));
  Bench.Api.handleJobChanges({"j"});
  cr_assert_eq(Bench.answer(2), 200);
  cr_assert_str_eq(Bench.Callers.Answers[2].Body.c_str(), "1,0,1");
  Bench.Rows.Away = true;
  cr_assert_eq(Bench.call(3, Call), 200);
  cr_assert_str_eq(Bench.Callers.Answers[3].Body.c_str(), "1,0,1");
}

// Guards against a cancellation that does not stop the job or that fails when
// it is repeated.
Test(JobApi, EndedJobStopsAndStaysReadable) {
  ApiBench Bench;
  cr_assert_eq(Bench.submit(1, "j", "5"), 202);
  JobCall Call;
  Call.Kind = JobCallKind::Cancel;
  Call.JobId = "j";
  cr_assert_eq(Bench.call(2, Call), 200);
  cr_assert_eq(Bench.call(3, Call), 200);
  cr_assert_not(Bench.Runner.owns("j"));
  Call.Kind = JobCallKind::ReadResults;
  cr_assert_eq(Bench.call(4, Call), 200);
}

// Guards against a job that no VM takes over after the loss of its owner, and
// against a job that all VMs take over at the same time.
Test(JobTakeover, OrphansAreTakenByOneVmAfterTheOther) {
  ManualClock Time;
  std::map<std::string, KnownJob> Jobs;
  for (int I = 0; I < 30; ++I) {
    KnownJob &Known = Jobs["job" + std::to_string(I)];
    Known.Version = {1, 1};
    Known.Metadata.TotalItems = 1;
    Known.Metadata.Owner = I % 2 ? "lost" : "alive";
  }
  const auto IsAlive = [](const std::string &Node) { return Node != "lost"; };
  JobTakeover A(Time, "a");
  JobTakeover B(Time, "b");
  const std::size_t ByA = A.chooseJobs(Jobs, {"b"}, IsAlive).size();
  const std::size_t ByB = B.chooseJobs(Jobs, {"a"}, IsAlive).size();
  cr_assert_eq(ByA + ByB, 15);
  cr_assert_gt(ByA, 0);
  cr_assert_gt(ByB, 0);
  // The VM that ranks first may be unable to reach the store.
  Time.advance(5s);
  cr_assert_eq(A.chooseJobs(Jobs, {"b"}, IsAlive).size(), 15);
  Jobs.at("job1").Metadata.Cancelled = true;
  cr_assert_eq(A.chooseJobs(Jobs, {"b"}, IsAlive).size(), 14);
}

// Guards against the rejection of a job whose items do not fit into one
// transaction.
Test(JobApi, JobBeyondOneTransactionIsAccepted) {
  ApiBench Bench;
  Bench.Codec.BodyBytes = std::size_t{3} << 20U;
  cr_assert_eq(Bench.submit(1, "j", "5"), 202);
  cr_assert_eq(Bench.Rows.Oversized, 0);
  JobCall Call;
  Call.Kind = JobCallKind::ReadItem;
  Call.JobId = "j";
  Call.ItemId = "item";
  cr_assert_eq(Bench.call(2, Call), 200);
  cr_assert_eq(Bench.Callers.Answers[2].Body.size(), Bench.Codec.BodyBytes);
}

// Guards against a large job that runs or is reported as accepted although only
// its items were written and the acceptance was not.
Test(JobApi, LargeJobWithoutItsAcceptanceIsRefused) {
  ApiBench Bench;
  Bench.Codec.BodyBytes = std::size_t{1} << 20U;
  Bench.Rows.Faults = std::deque<RowFault>(100, RowFault::Refused);
  Bench.Rows.Faults.push_front(RowFault::AnswerLost);
  cr_assert_eq(Bench.submit(1, "j", "5", "800"), 503);
  cr_assert_eq(Bench.Rows.count(JobStore::JobTable, "job/"), 0);
  Bench.Rows.Faults.clear();
  cr_assert_eq(Bench.submit(2, "j", "5"), 202);
}

// Guards against exceeding the limit of waiting tokens: the first attempt of an
// acceptance gets no answer, another job uses up the limit, and the retry must
// not be accepted.
Test(JobApi, LimitHoldsForATryAfterALostAnswer) {
  ApiBench Bench;
  Bench.Route.MaxWaitingTokens = 10;
  Bench.Rows.Faults = {RowFault::MadeLate};
  Bench.Rows.put(JobStore::JobTable, JobStore::Part,
                 JobDirectory::admissionKey("jobs", ""),
                 JobDirectory::admissionValue(8, "other"));
  cr_assert_eq(Bench.submit(1, "j", "5"), 429);
  Bench.Rows.applyLate();
  cr_assert_eq(Bench.Rows.count(JobStore::JobTable, "job/"), 0);
}
