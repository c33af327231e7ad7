#ifndef TURMERICPASS_TESTS_SUPPORT_APIBENCH_H
#define TURMERICPASS_TESTS_SUPPORT_APIBENCH_H

#include "BatchJobs/JobApi.h"
#include "Support/FakeCallers.h"
#include "Support/RunnerBench.h"

namespace turmericpass {

/// Parses every submission as one item whose token count is the request body.
struct PlainCodec : public JobCallCodec {
  /// The size of the item's body, and its headers.
  std::size_t BodyBytes = 1;
  HttpHeaders ItemHeaders;
  std::string ItemId = "item";
  std::string ItemTarget = "/x";

  std::optional<JobCall> parseCall(const RawRequest &) const override {
    return std::nullopt;
  }
  Result<std::vector<JobItem>>
  parseSubmission(const RawRequest &Request) const override {
    if (Request.Body.empty())
      return failure(ErrorCode::InvalidArgument, "It has no items.");
    return std::vector<JobItem>{
        {this->ItemId, this->ItemTarget, this->ItemHeaders,
         std::string(this->BodyBytes, 'b'), std::stoull(Request.Body)}};
  }
  std::string
  formatResults(std::uint64_t Total, std::uint64_t First,
                const std::vector<ItemResult> &Results) const override {
    return std::to_string(Total) + "," + std::to_string(First) + "," +
           std::to_string(Results.size());
  }
  std::string contentType() const override { return "text/plain"; }
};

/// A JobApi whose store and servers the test plays.
struct ApiBench : public RunnerBench {
  FakeCallers Callers;
  PlainCodec Codec;
  bool IsDirectoryCurrent = true;
  /// The identity of the next caller.
  CallerIdentity From;
  RouteSettings Route = Settings.Routes[0];
  JobApi Api{{Loop, Callers, Store, Directory, Runner, Protocol, Codec, Log,
              Stats, [this] { return this->StoreNow; },
              [this] { return this->IsDirectoryCurrent; }, "self"}};

  ApiBench() {
    Protocol.Authorization = "Authorization";
    Protocol.Organisation = "Organisation";
  }

  int submit(CallerId Caller, const std::string &JobId,
             const std::string &Tokens, const std::string &Remaining = "4000") {
    RawRequest Request;
    Request.Method = "POST";
    Request.Target = "/jobs";
    Request.Headers = {{"Id", JobId}, {"Host", "h"}, {"Remaining", Remaining}};
    Request.Body = Tokens;
    Api.submit(Caller, Request, Route, From);
    return answer(Caller);
  }
  int answer(CallerId Caller) {
    runUntil(Loop, [&] { return Callers.Answers[Caller].Complete; });
    return Callers.Answers[Caller].Status;
  }
  int call(CallerId Caller, const JobCall &Call) {
    Api.handleCall(Caller, Call, From, "r");
    return answer(Caller);
  }
};

} // namespace turmericpass

#endif
