#include "BatchJobs/ItemRequest.h"
#include "Support/ApiBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

const std::string Hidden =
    "m\r\nContent-Length: 0\r\n\r\nPOST /x/hidden HTTP/1.1\r\nId: other";

} // namespace

// Guards against a request that is hidden in a part of a batch item and that a
// server runs beside the item.
Test(JobApi, SubmissionWithAHiddenRequestIsRejected) {
  ApiBench Bench;
  const auto SubmitWith = [&](const std::string &Id, const std::string &Target,
                              const HttpHeaders &Headers) {
    Bench.Codec.ItemId = Id;
    Bench.Codec.ItemTarget = Target;
    Bench.Codec.ItemHeaders = Headers;
    return Bench.submit(1 + Bench.Callers.Answers.size(), "j", "5");
  };
  cr_assert_eq(SubmitWith(Hidden, "/x", {}), 400);
  cr_assert_eq(SubmitWith("", "/x", {}), 400);
  cr_assert_eq(SubmitWith("item", "/x" + Hidden, {}), 400);
  cr_assert_eq(SubmitWith("item", "x", {}), 400);
  cr_assert_eq(SubmitWith("item", "/x y", {}), 400);
  cr_assert_eq(SubmitWith("item", "/x", {{"Model", Hidden}}), 400);
  cr_assert_eq(SubmitWith("item", "/x", {{"Model: " + Hidden, "m"}}), 400);
  cr_assert_eq(SubmitWith("item", "/x", {{"Organisation ", "other"}}), 400);
  cr_assert_eq(Bench.Rows.Transactions, 0);
  cr_assert_eq(SubmitWith("item", "/x?y=%0d%0a", {{"Model", "a\tb c\xc3\xa9"}}),
               202);
}

// Guards against items that VMs of earlier versions have accepted and that are
// sent again and again, because no server ever gets them.
Test(JobRunner, AcceptedItemThatCannotBeSentFails) {
  RunnerBench Bench;
  JobMetadata Metadata = RunnerBench::makeMetadata(2);
  Bench.Store.acceptJob(
      "j", Metadata,
      {{"bad", "/x", {{"Model", Hidden}}, "body", 1},
       {"good", "/x", {}, "b", 1}},
      Bench.Time.now() + std::chrono::seconds(5), Bench.Directory,
      [&](JobStore::ChangeOutcome) { Bench.Runner.runJob("j"); });
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Channels.All.empty(); }));
  Bench.complete(1);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("j"); }));
  cr_assert_eq(Bench.Channels.All.size(), 1);
  const std::vector<ItemResult> Results = Bench.results("j");
  cr_assert_eq(Results.size(), 2);
  cr_assert_str_eq(Results[0].ItemId.c_str(), "bad");
  cr_assert_not(Results[0].Succeeded);
  cr_assert(Results[1].Succeeded);
}

// Guards against an item whose headers give it another id, another server or
// another place to resume than the system does.
Test(ItemRequest, HeadersOfTheSystemAreNotTakenFromTheItem) {
  RunnerBench Bench;
  ItemRun Run;
  Run.Item = {"item",
              "/x",
              {{"id", "other"},
               {"SERVER", "s2"},
               {"Remaining", "1"},
               {"after", "7"},
               {"host", "other"},
               {"content-length", "0"},
               {"transfer-encoding", "chunked"},
               {"Model", "m"}},
              "body",
              1};
  const BackendRequest Order =
      makeItemRequest(RunnerBench::makeMetadata(1), Run,
                      Bench.Servers.find("s1")->Entry, Bench.Protocol, false);
  const HttpHeaders Expected = {{"Host", "h"},
                                {"Id", "item"},
                                {"Server", "s1"},
                                {"Remaining", "60000"},
                                {"Model", "m"}};
  cr_assert(Order.Request.Headers == Expected);
}
