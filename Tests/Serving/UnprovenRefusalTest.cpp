#include "Support/OnlineBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

/// Statuses that tell a caller that its request did not run. The servers of the
/// test send them without that statement.
constexpr int Statuses[] = {408, 429, 503};

const HttpHeaders Stamped = {{"Stamp", "s"}, {"Retry-After", "9"}};

struct RefusalBench : OnlineBench {
  RefusalBench() {
    this->Protocol.Stamp = "Stamp";
    this->Protocol.NotRunStatuses = {408, 421, 429, 503};
    // Refused requests do not wait for a free slot.
    this->Route.TargetLatency = Duration(0);
  }
  void answerWith(SendId Id, int Status, const HttpHeaders &Headers) {
    this->Channels.head(Id, Status, Headers);
    this->Channels.body(Id, "server");
    this->Channels.done(Id);
  }
  /// Expects a failure that promises nothing.
  void expectFailure(int ServerStatus) {
    cr_expect_eq(this->answer(1).Status, 502, "server: %d", ServerStatus);
    cr_expect(rawHeader(this->answer(1).Headers, "Stamp").empty());
    cr_expect(rawHeader(this->answer(1).Headers, "Retry-After").empty());
    cr_expect_neq(this->answer(1).Body, "server");
    cr_expect_eq(this->Online.openCallCount(), 0);
  }
};

} // namespace

// Guards against a request that runs twice, because its caller was told that it
// did not run: a server may send such a status after it has run the request.
Test(UnprovenRefusal, CallerIsNotToldThatTheRequestDidNotRun) {
  for (const RequestKind Kind : {RequestKind::AtMostOnce, RequestKind::Stream})
    for (const int Status : Statuses) {
      RefusalBench Bench;
      Bench.start(1, Kind);
      Bench.answerWith(1, Status, Stamped);
      Bench.expectFailure(Status);
      cr_expect_eq(Bench.Channels.All.size(), 1);
    }
}

// Guards against the same promise at the end of the attempts of a request that
// may repeat, and against giving up before.
Test(UnprovenRefusal, RepeatableRequestGoesToAnotherServer) {
  for (const int Status : Statuses) {
    RefusalBench Bench;
    Bench.start(1, RequestKind::Idempotent);
    Bench.answerWith(1, Status, Stamped);
    cr_assert_eq(Bench.Channels.All.size(), 2);
    cr_expect_neq(Bench.sentHeader(1, "Server"), Bench.sentHeader(2, "Server"));
    Bench.answerWith(2, Status, Stamped);
    Bench.expectFailure(Status);
  }
}

// Guards against a begun stream whose end is that of the server's page.
Test(UnprovenRefusal, StreamIsBrokenOff) {
  for (const int Status : Statuses) {
    RefusalBench Bench;
    Bench.start(1, RequestKind::Stream, true);
    Bench.stream(1, "id: 0\ndata: a\n\n");
    Bench.Channels.fail(1, SendFailure::AnswerTruncated);
    cr_assert_eq(Bench.Channels.All.size(), 2);
    Bench.answerWith(2, Status, Stamped);
    cr_expect(Bench.answer(1).Broken);
    cr_expect_str_eq(Bench.answer(1).Body.c_str(), "id: 0\ndata: a\n\n");
  }
}

// Guards against a promise that counts on one server, after another one may
// have run the request.
Test(UnprovenRefusal, RefusalAfterAPossibleRunPromisesNothing) {
  RefusalBench Bench;
  Bench.start(1, RequestKind::Idempotent);
  Bench.answerWith(1, 503, Stamped);
  Bench.answerWith(2, 503, {{"Not-Run", "1"}});
  cr_assert_eq(Bench.answer(1).Status, 502);
}

// Guards against a true refusal that is withheld from its caller.
Test(UnprovenRefusal, CallerIsToldThatARefusedRequestDidNotRun) {
  for (const RequestKind Kind :
       {RequestKind::AtMostOnce, RequestKind::Stream, RequestKind::Idempotent})
    for (const int Status : {400, 408, 421, 429, 503}) {
      RefusalBench Bench;
      Bench.start(1, Kind);
      for (const SendId Id : {1, 2})
        // Another server than the expected one runs nothing.
        Bench.Channels.head(Id, Status,
                            Status == 421 ? HttpHeaders()
                                          : HttpHeaders{{"Not-Run", "1"}});
      cr_expect_eq(Bench.answer(1).Status, 503, "server: %d", Status);
      cr_expect_neq(rawHeader(Bench.answer(1).Headers, "Retry-After"), "");
      cr_expect_eq(Bench.Channels.All.size(), 2);
    }
}

// Guards against a failure of a server that its caller does not get as it is.
Test(UnprovenRefusal, OtherFailuresArePassedOn) {
  for (const int Status : {302, 400, 404, 409, 422, 500, 502, 504}) {
    RefusalBench Bench;
    Bench.start(1, RequestKind::AtMostOnce);
    Bench.answerWith(1, Status, Stamped);
    cr_expect_eq(Bench.answer(1).Status, Status);
    cr_expect_str_eq(Bench.answer(1).Body.c_str(), "server");
    cr_expect_eq(rawHeader(Bench.answer(1).Headers, "Stamp"), "s");
  }
}
