#include "Serving/ServerAnswer.h"

#include "Support/OnlineBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

/// Answers of which none is a success or a failure of request 1.
struct ImproperAnswer {
  std::string Name;
  int Status = 200;
  HttpHeaders Headers;
};

std::vector<ImproperAnswer> makeImproperAnswers() {
  return {
      {"page without an id", 200, {}},
      {"page with a stamp", 200, {{"Stamp", "s"}}},
      {"no stamp", 200, {{"Id", "r1"}}},
      {"empty stamp", 200, {{"Id", "r1"}, {"Stamp", ""}}},
      {"another request", 200, {{"Id", "r2"}, {"Stamp", "s"}}},
      {"two requests", 200, {{"Id", "r1"}, {"Id", "r2"}, {"Stamp", "s"}}},
      {"encoded body",
       200,
       {{"Id", "r1"}, {"Stamp", "s"}, {"Content-Encoding", "gzip"}}},
      {"success that did not run",
       200,
       {{"Id", "r1"}, {"Stamp", "s"}, {"Not-Run", "1"}}},
      {"empty success", 204, {}},
      {"stream without an id", 200, {{"Content-Type", "text/event-stream"}}},
      {"failure without an id", 500, {}},
      {"busy page without an id", 503, {{"Retry-After", "9"}}},
      {"caller's error without an id", 400, {}},
      {"failure of another request", 500, {{"Id", "r2"}, {"Stamp", "s"}}},
      {"refusal of another request", 503, {{"Id", "r2"}, {"Not-Run", "1"}}},
  };
}

/// An OnlineService whose servers stamp their answers.
struct StampBench : OnlineBench {
  StampBench() {
    this->Protocol.Stamp = "Stamp";
    this->Protocol.AllowsContentCodings = false;
  }
  /// Answers the last request with a success.
  void succeed() {
    const SendId Id = this->Channels.last().Id;
    this->Channels.head(Id, 200, {{"Stamp", "s"}});
    this->Channels.body(Id, "good");
    this->Channels.done(Id);
  }
};

} // namespace

// Guards against an answer that is passed on as that of a request although no
// proper server gives it, and against the same request sent twice.
Test(ServerAnswer, ImproperAnswerFailsARequestThatMayNotRepeat) {
  for (const RequestKind Kind : {RequestKind::AtMostOnce, RequestKind::Stream})
    for (const ImproperAnswer &Improper : makeImproperAnswers()) {
      StampBench Bench;
      Bench.start(1, Kind);
      Bench.Channels.headAsIs(1, Improper.Status, Improper.Headers);
      const char *Name = Improper.Name.c_str();
      cr_expect_eq(Bench.answer(1).Status, 502, "%s", Name);
      cr_expect(rawHeader(Bench.answer(1).Headers, "Stamp").empty());
      cr_expect(Bench.answer(1).Complete, "%s", Name);
      cr_expect_eq(Bench.Channels.All.size(), 1, "%s", Name);
      cr_expect(Bench.Channels.Cancelled.contains(1), "%s", Name);
      cr_expect_eq(Bench.Servers.find(Bench.sentHeader(1, "Server"))->Failures,
                   1, "%s", Name);
      cr_expect_eq(Bench.Online.openCallCount(), 0, "%s", Name);
    }
}

// Guards against a request that fails, or gets an answer that is not its own,
// although it may be sent to another server.
Test(ServerAnswer, RepeatableRequestGoesToAnotherServer) {
  for (const ImproperAnswer &Improper : makeImproperAnswers()) {
    StampBench Bench;
    Bench.start(1, RequestKind::Idempotent);
    Bench.Channels.headAsIs(1, Improper.Status, Improper.Headers);
    cr_assert_eq(Bench.Channels.All.size(), 2, "%s", Improper.Name.c_str());
    Bench.succeed();
    cr_expect_eq(Bench.answer(1).Status, 200, "%s", Improper.Name.c_str());
    cr_expect_str_eq(Bench.answer(1).Body.c_str(), "good");
  }
}

// Guards against a stream that joins another answer to its beginning.
Test(ServerAnswer, ImproperAnswerDoesNotResumeAStream) {
  for (const ImproperAnswer &Improper : makeImproperAnswers()) {
    StampBench Bench;
    Bench.Route.MaxAttempts = 3;
    Bench.start(1, RequestKind::Stream, true);
    Bench.stream(1, "id: 0\ndata: a\n\n");
    Bench.Channels.fail(1, SendFailure::AnswerTruncated);
    cr_assert_eq(Bench.Channels.All.size(), 2);
    Bench.Channels.headAsIs(2, Improper.Status, Improper.Headers);
    cr_assert_eq(Bench.Channels.All.size(), 3, "%s", Improper.Name.c_str());
    Bench.stream(3, "id: 1\ndata: b\n\n");
    Bench.Channels.done(3);
    cr_expect_str_eq(Bench.answer(1).Body.c_str(),
                     "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
  }
}

// Guards against a true refusal that counts as a run, because its server had
// not read the id of the request.
Test(ServerAnswer, RefusalNeedNotNameItsRequest) {
  for (const RequestKind Kind :
       {RequestKind::AtMostOnce, RequestKind::Idempotent})
    for (const bool IsNamed : {true, false}) {
      StampBench Bench;
      Bench.Route.TargetLatency = Duration(0);
      Bench.start(1, Kind);
      HttpHeaders Headers = {{"Not-Run", "1"}};
      if (IsNamed)
        Headers.emplace_back("Id", "r1");
      Bench.Channels.headAsIs(1, 503, Headers);
      cr_assert_eq(Bench.Channels.All.size(), 2);
      Bench.Channels.headAsIs(2, 421, {});
      cr_assert_eq(Bench.answer(1).Status, 503);
      cr_assert_neq(rawHeader(Bench.answer(1).Headers, "Retry-After"), "");
    }
}

// Guards against proper answers that are rejected.
Test(ServerAnswer, ProperAnswersAreClassified) {
  BackendProtocol Protocol;
  Protocol.RequestId = "Id";
  Protocol.NotRun = "Not-Run";
  Protocol.Stamp = "Stamp";
  const auto Classify = [&](int Status, HttpHeaders Headers,
                            std::string_view RequestId = "r1") {
    RawHead Head;
    Head.Status = Status;
    Head.Headers = std::move(Headers);
    return classifyAnswer(Head, RequestId, Protocol).Kind;
  };
  cr_expect(Classify(200, {{"ID", "r1"}, {"stamp", "s"}}) ==
            AnswerKind::Succeeded);
  cr_expect(Classify(200, {{"Id", "r1"}, {"Id", "r1"}, {"Stamp", "s"}}) ==
            AnswerKind::Succeeded);
  cr_expect(Classify(500, {{"Id", "r1"}}) == AnswerKind::Failed);
  cr_expect(Classify(404, {{"Id", "r1"}}) == AnswerKind::Failed);
  cr_expect(Classify(400, {{"Not-Run", "1"}}) == AnswerKind::Refused);
  // Nothing is known of the ids of a request without one.
  cr_expect(Classify(200, {{"Stamp", "s"}}, "") == AnswerKind::Succeeded);
  const HttpHeaders Encoded = {
      {"Id", "r1"}, {"Stamp", "s"}, {"Content-Encoding", "gzip"}};
  cr_expect(Classify(200, Encoded) == AnswerKind::Succeeded);
  Protocol.AllowsContentCodings = false;
  cr_expect(Classify(200, Encoded) == AnswerKind::Broken);
  cr_expect(Classify(200, {{"Id", "r1"},
                           {"Stamp", "s"},
                           {"Content-Encoding", "Identity"}}) ==
            AnswerKind::Succeeded);
  Protocol.Stamp.clear();
  cr_expect(Classify(200, {{"Id", "r1"}}) == AnswerKind::Succeeded);
}
