#include "Support/ApiBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

const CallerIdentity Acme = {true, "acme", {}};
const CallerIdentity Other = {true, "other", {}};
const CallerIdentity NoOrganisation = {true, "", {}};
const CallerIdentity Unchecked = {};

struct OrganisationBench : public ApiBench {
  CallerId LastCaller = 0;

  int submitAs(const CallerIdentity &As, const std::string &JobId,
               const std::string &Tokens = "5") {
    this->From = As;
    return this->submit(++this->LastCaller, JobId, Tokens);
  }
  int callAs(const CallerIdentity &As, JobCallKind Kind) {
    this->From = As;
    JobCall Call;
    Call.Kind = Kind;
    Call.JobId = "j";
    Call.ItemId = "item";
    return this->call(++this->LastCaller, Call);
  }
  std::string lastBody() { return this->Callers.Answers[LastCaller].Body; }
};

constexpr JobCallKind AllCalls[] = {JobCallKind::ReadResults,
                                    JobCallKind::ReadItem, JobCallKind::Cancel};

} // namespace

// Guards against a job that another organisation can read or end, also by a VM
// that does not know it yet, and against an answer that shows that it exists.
Test(JobOrganisation, OthersDoNotSeeTheJob) {
  OrganisationBench Bench;
  cr_assert_eq(Bench.submitAs(Acme, "j"), 202);
  for (const bool IsCurrent : {true, false})
    for (const CallerIdentity &As : {Other, NoOrganisation})
      for (const JobCallKind Kind : AllCalls) {
        Bench.IsDirectoryCurrent = IsCurrent;
        cr_assert_eq(Bench.callAs(As, Kind), 404);
        cr_assert_eq(Bench.lastBody(), "There is no job j.");
      }
  Bench.IsDirectoryCurrent = true;
  cr_assert_not(Bench.Directory.find("j")->Metadata.Cancelled);
  // The id of a submission does not tell whether another organisation uses it.
  cr_assert_eq(Bench.submitAs(Other, "j"), 404);
  for (const JobCallKind Kind : AllCalls)
    cr_assert_eq(Bench.callAs(Acme, Kind), 200);
}

// Guards against a submission that is acknowledged although another VM has
// accepted a job of another organisation under the same id.
Test(JobOrganisation, IdOfAnotherOrganisationIsNotAcknowledged) {
  OrganisationBench Bench;
  JobMetadata Metadata = RunnerBench::makeMetadata(1);
  Metadata.Organisation = "acme";
  Bench.Rows.put(JobStore::JobTable, JobStore::Part,
                 JobDirectory::metadataKey("j"), encodeMetadata(Metadata));
  cr_assert_eq(Bench.submitAs(Other, "j"), 404);
  cr_assert_eq(Bench.submitAs(Acme, "j"), 202);
}

// Guards against jobs of an earlier version, or from before there were
// organisations, that nobody can read any more.
Test(JobOrganisation, JobsWithoutAnOrganisationStayReadable) {
  OrganisationBench Bench;
  cr_assert_eq(Bench.submitAs(Unchecked, "j"), 202);
  for (const CallerIdentity &As : {Unchecked, Acme, NoOrganisation})
    cr_assert_eq(Bench.callAs(As, JobCallKind::ReadItem), 200);
}

// Guards against jobs that become unreadable when the operator removes all
// organisations.
Test(JobOrganisation, CallersAreNotComparedWithoutOrganisations) {
  OrganisationBench Bench;
  cr_assert_eq(Bench.submitAs(Acme, "j"), 202);
  cr_assert_eq(Bench.callAs(Unchecked, JobCallKind::ReadItem), 200);
}

// Guards against an organisation that uses up the limit of the others, and
// against one that exceeds its own limit, also through another VM that has not
// read the jobs.
Test(JobOrganisation, WaitingTokensAreBoundedPerOrganisation) {
  OrganisationBench Bench;
  Bench.Route.MaxWaitingTokens = 10;
  cr_assert_eq(Bench.submitAs(Acme, "a1", "6"), 202);
  cr_assert_eq(Bench.submitAs(Acme, "a2", "5"), 429);
  cr_assert_eq(Bench.submitAs(Other, "o1", "10"), 202);
  cr_assert_eq(Bench.submitAs(Other, "o2", "1"), 429);
  cr_assert_eq(Bench.submitAs(Unchecked, "u1", "10"), 202);
  cr_assert_eq(Bench.submitAs(Acme, "a3", "4"), 202);
  cr_assert_eq(Bench.Directory.waitingTokens("jobs", "acme"), 10);
  cr_assert_eq(Bench.Directory.waitingTokens("jobs", "other"), 10);
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
  Request.Headers = {{"Id", "a4"}, {"Host", "h"}};
  Request.Body = "1";
  OtherApi.submit(100, Request, Bench.Route, Acme);
  cr_assert_eq(Bench.answer(100), 429);
}

// Guards against two limits in one row, because names may contain slashes.
Test(JobOrganisation, AdmissionRowsDiffer) {
  const std::set<std::string> Keys = {JobDirectory::admissionKey("a", ""),
                                      JobDirectory::admissionKey("a/b", ""),
                                      JobDirectory::admissionKey("a", "b"),
                                      JobDirectory::admissionKey("a/b", "c"),
                                      JobDirectory::admissionKey("a", "b/c")};
  cr_assert_eq(Keys.size(), 5);
}

// Guards against an item whose server gets a key, or the name of another
// organisation from the submission, and against one that loses its
// organisation when all organisations are removed.
Test(JobOrganisation, ItemsCarryTheOrganisation) {
  OrganisationBench Bench;
  Bench.Codec.ItemHeaders = {{"organisation", "forged"},
                             {"AUTHORIZATION", "Bearer secret"},
                             {"X-Own", "kept"}};
  const auto SentHeaders = [&] {
    return Bench.Channels.All.back().Order.Request.Headers;
  };
  const auto RunJob = [&](const CallerIdentity &As, const std::string &JobId) {
    const std::size_t Before = Bench.Channels.All.size();
    cr_assert_eq(Bench.submitAs(As, JobId), 202);
    cr_assert(runUntil(Bench.Loop, [&] {
      Bench.Runner.schedule();
      return Bench.Channels.All.size() > Before;
    }));
  };
  RunJob(Acme, "a");
  cr_assert_eq(rawHeader(SentHeaders(), "Organisation"), "acme");
  cr_assert_eq(rawHeader(SentHeaders(), "Authorization"), "");
  cr_assert_eq(rawHeader(SentHeaders(), "X-Own"), "kept");
  RunJob(NoOrganisation, "n");
  cr_assert_eq(rawHeader(SentHeaders(), "Organisation"), "");
  cr_assert_eq(rawHeader(SentHeaders(), "Authorization"), "");
  // A job from before there were organisations passes headers on until then.
  RunJob(Unchecked, "u1");
  cr_assert_eq(rawHeader(SentHeaders(), "Organisation"), "forged");
  Bench.Settings.Organisations = {{"acme", {"secret"}, {}, 0, 0}};
  RunJob(Unchecked, "u2");
  cr_assert_eq(rawHeader(SentHeaders(), "Organisation"), "");
  cr_assert_eq(rawHeader(SentHeaders(), "Authorization"), "");
}

// Guards against rows that VMs of the earlier version cannot read although they
// have no organisation, and against an organisation that is lost.
Test(JobOrganisation, RecordsOfBothVersionsAreRead) {
  JobMetadata Metadata = RunnerBench::makeMetadata(3);
  Metadata.WriteId = "w";
  const std::string Earlier = encodeMetadata(Metadata);
  // An array of the version and twelve fields, as the earlier version wrote it.
  cr_assert_eq(static_cast<unsigned char>(Earlier[0]), 0x9d);
  const Result<JobMetadata> Read = decodeMetadata(Earlier);
  cr_assert(Read);
  cr_assert(Read->Organisation.empty());
  cr_assert_eq(Read->WriteId, "w");
  Metadata.Organisation = "acme";
  const Result<JobMetadata> Current = decodeMetadata(encodeMetadata(Metadata));
  cr_assert_eq(Current->Organisation, "acme");
  cr_assert_eq(Current->WriteId, "w");
}
