#include "RawHttp/TcpBackendChannels.h"
#include "Support/BrokenAnswers.h"
#include "Support/OnlineBench.h"
#include "Support/ScriptedServer.h"

#include <criterion/criterion.h>
#include <optional>

using namespace turmericpass;

namespace {

/// Names the request.
const std::string Echo = "Id: r1\r\n";

const std::string GoodAnswer =
    "HTTP/1.1 200 OK\r\n" + Echo + "Content-Length: 4\r\n\r\ngood";

/// An OnlineService whose two servers have real sockets. The first one that
/// gets a request gives a broken answer, the other one a good one.
struct SocketBench {
  OnlineBench Online;
  TcpBackendChannels Sockets{Online.Loop};
  ScriptedServer Broken;
  ScriptedServer Good;

  explicit SocketBench(const std::string &BrokenBytes) {
    this->Online.Channels.Sockets = &this->Sockets;
    this->Broken.Answer = BrokenBytes;
    this->Good.Answer = GoodAnswer;
    // The server of the own zone gets the request first.
    this->Online.Servers.update(
        {"s1", "model", this->Broken.Address, "a", 2, false, 1});
    this->Online.Servers.update(
        {"s2", "model", this->Good.Address, "b", 2, false, 1});
    // The broken answer is the reason for what follows, not its time.
    this->Online.Route.TargetLatency = std::chrono::seconds(5);
  }
  ~SocketBench() { this->Online.Channels.Sockets = nullptr; }
  SocketBench(const SocketBench &) = delete;
  SocketBench &operator=(const SocketBench &) = delete;

  bool waitFor(const std::function<bool()> &Holds) {
    return runUntil(this->Online.Loop, [&] {
      this->Broken.serve();
      this->Good.serve();
      return Holds();
    });
  }
  /// Returns the final answer to a request of \p Kind.
  const FakeCallers::Answer &answerTo(RequestKind Kind) {
    this->Online.start(1, Kind);
    cr_assert(this->waitFor([&] {
      const FakeCallers::Answer &Answer = this->Online.answer(1);
      return Answer.Complete || Answer.Broken;
    }));
    cr_assert_eq(this->Broken.Requests.size(), 1);
    return this->Online.answer(1);
  }
};

/// Returns the start of an answer without a length.
std::string makePart(const std::string &Type) {
  return "HTTP/1.1 200 OK\r\n" + Echo + "Content-Type: " + Type +
         "\r\n\r\nid: 0\ndata: part\n\n";
}

/// Resets the answer while the request is still being written.
void resetDuringUpload(SocketBench &Bench) {
  Bench.Broken.Next = ScriptedServer::Ending::Reset;
  Bench.Broken.RoundsToEnd = 20;
  Bench.Online.Body.assign(std::size_t{8} << 20U, 'x');
}

} // namespace

// Guards against a broken answer, or a part of it, that reaches the caller of a
// request that cannot be sent again, and against a refusal: the request may
// have run.
Test(BrokenOnlineAnswer, RequestThatMayNotRepeatFails) {
  for (const RequestKind Kind : {RequestKind::AtMostOnce, RequestKind::Stream})
    for (const BrokenAnswer &Broken : makeAnswersWithBrokenHeads(Echo)) {
      SocketBench Bench(Broken.Bytes);
      const FakeCallers::Answer &Answer = Bench.answerTo(Kind);
      const char *Name = Broken.Name.c_str();
      cr_expect_eq(Answer.Status, 502, "%s", Name);
      cr_expect_eq(Answer.Body.find("bro"), std::string::npos, "%s", Name);
      cr_expect(Bench.Good.Requests.empty(), "%s", Name);
      cr_expect_gt(Bench.Online.Servers.find("s1")->Failures, 0, "%s", Name);
    }
}

// Guards against a request that fails although it may be sent to another
// server.
Test(BrokenOnlineAnswer, RepeatableRequestGoesToAnotherServer) {
  for (const BrokenAnswer &Broken : makeAnswersWithBrokenHeads(Echo)) {
    SocketBench Bench(Broken.Bytes);
    const FakeCallers::Answer &Answer = Bench.answerTo(RequestKind::Idempotent);
    cr_expect_eq(Answer.Status, 200, "%s", Broken.Name.c_str());
    cr_expect_str_eq(Answer.Body.c_str(), "good", "%s", Broken.Name.c_str());
  }
}

// Guards against a refusal with a broken head that is taken as the promise that
// the request did not run.
Test(BrokenOnlineAnswer, BrokenRefusalPromisesNothing) {
  SocketBench Bench("HTTP/1.1 503 Full\r\n" + Echo +
                    "Not-Run: 1\r\nX Note: a\r\n"
                    "Content-Length: 0\r\n\r\n");
  cr_assert_eq(Bench.answerTo(RequestKind::AtMostOnce).Status, 502);
  cr_assert(Bench.Good.Requests.empty());
}

// Guards against the part of an answer that arrived before a reset during the
// upload, given to the caller as the whole of it.
Test(BrokenOnlineAnswer, PartBeforeAResetIsNotTheAnswer) {
  SocketBench Bench(makePart("text/plain"));
  resetDuringUpload(Bench);
  const FakeCallers::Answer &Answer = Bench.answerTo(RequestKind::AtMostOnce);
  cr_assert_eq(Answer.Status, 502);
  cr_assert_eq(Answer.Body.find("part"), std::string::npos);
}

Test(BrokenOnlineAnswer, RepeatableRequestIsSentAgainAfterAReset) {
  SocketBench Bench(makePart("text/plain"));
  resetDuringUpload(Bench);
  const FakeCallers::Answer &Answer = Bench.answerTo(RequestKind::Idempotent);
  cr_assert_eq(Answer.Status, 200);
  cr_assert_str_eq(Answer.Body.c_str(), "good");
}

// Guards against a stream that ends as complete after a reset between two of
// its events.
Test(BrokenOnlineAnswer, StreamIsBrokenOffByAReset) {
  SocketBench Bench(makePart("text/event-stream"));
  resetDuringUpload(Bench);
  const FakeCallers::Answer &Answer = Bench.answerTo(RequestKind::Stream);
  cr_assert_eq(Answer.Body.find("part"), 12);
  cr_assert(Answer.Broken);
  cr_assert_not(Answer.Complete);
}

// Guards against a crash that is counted against a request although its server
// runs: it answers the status check, if not properly.
Test(BrokenOnlineAnswer, BrokenAnswerToAStatusCheckIsNoCrash) {
  for (const BrokenAnswer &Broken : makeAnswersWithBrokenHeads()) {
    SocketBench Bench(Broken.Bytes);
    std::optional<bool> Crashed;
    Bench.Online.Detector.checkForCrash("s1", {},
                                        [&](bool Found) { Crashed = Found; });
    cr_assert(Bench.waitFor([&] { return Crashed.has_value(); }));
    cr_expect_eq(Bench.Broken.Requests.size(), 1);
    cr_expect_not(*Crashed, "%s", Broken.Name.c_str());
  }
}
