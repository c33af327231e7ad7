#include "RawHttp/TcpBackendChannels.h"
#include "Support/NodeBench.h"
#include "Support/ScriptedServer.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

/// What each proper answer to the request has.
const std::string Proper = "Request-Id: 1\r\nServer-Stamp: s\r\n";

/// A node whose server has a real socket.
struct SocketBench {
  ScriptedServer Server;
  NodeBench Node{Server.Address};
  TcpBackendChannels Sockets{Node.Loop};
  RawPeer Caller;

  SocketBench() { this->Node.Channels.Sockets = &this->Sockets; }
  ~SocketBench() { this->Node.Channels.Sockets = nullptr; }
  SocketBench(const SocketBench &) = delete;
  SocketBench &operator=(const SocketBench &) = delete;

  /// Returns all that the caller of a request with \p BodyBytes receives.
  std::string answerTo(std::size_t BodyBytes) {
    const std::string Request =
        "POST /r/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n"
        "Deadline-Ms: 9000\r\nConnection: close\r\nContent-Length: " +
        std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, 'x');
    this->Node.connect(this->Caller);
    std::size_t Written = 0;
    cr_assert(runUntil(this->Node.Loop, [&] {
      Written +=
          this->Caller.writeSome(std::string_view(Request).substr(Written));
      this->Server.serve();
      return this->Caller.read();
    }));
    // Later requests check the server's status.
    cr_assert(this->Server.Requests.at(0).starts_with("POST "));
    return this->Caller.Received;
  }
};

} // namespace

Test(BrokenServerAnswer, CallerGetsNoAnswerWithStatus000) {
  SocketBench Bench;
  Bench.Server.Answer = "HTTP/1.1 000 OK\r\n" + Proper +
                        "Content-Length: 6\r\n\r\nbroken"
                        "HTTP/1.1 200 OK\r\n" +
                        Proper + "Content-Length: 6\r\n\r\nbroken";
  const std::string Answer = Bench.answerTo(4);
  cr_assert(Answer.starts_with("HTTP/1.1 502 "));
  cr_assert_eq(Answer.find("broken"), std::string::npos);
}

Test(BrokenServerAnswer, CallerGetsNoAnswerWithABrokenHeaderName) {
  for (const std::string Line :
       {"X Note: a", "X-Note : a", "X\x01Note: a", "Content-Length : 3"}) {
    SocketBench Bench;
    Bench.Server.Answer =
        "HTTP/1.1 200 OK\r\n" + Proper + Line + "\r\n\r\nbroken";
    const std::string Answer = Bench.answerTo(4);
    cr_expect(Answer.starts_with("HTTP/1.1 502 "), "%s", Line.c_str());
    cr_expect_eq(Answer.find("broken"), std::string::npos);
    cr_expect_eq(Answer.find("Note"), std::string::npos);
  }
}

Test(BrokenServerAnswer, CallerGetsNoPartAfterAResetDuringTheUpload) {
  SocketBench Bench;
  Bench.Server.Answer = "HTTP/1.1 200 OK\r\n" + Proper + "\r\npart";
  Bench.Server.Next = ScriptedServer::Ending::Reset;
  Bench.Server.RoundsToEnd = 20;
  const std::string Answer = Bench.answerTo(std::size_t{8} << 20U);
  cr_assert(Answer.starts_with("HTTP/1.1 502 "));
  cr_assert_eq(Answer.find("part"), std::string::npos);
}

// Guards against the status of a server that tells the caller of a request that
// it did not run, although it may have run, so that the caller sends it again.
// What the server states to be true still reaches the caller.
Test(BrokenServerAnswer, CallerIsToldThatARequestDidNotRunOnlyIfThatIsTrue) {
  const std::string End = "Retry-After: 9\r\nContent-Length: 6\r\n\r\ntheirs";
  for (const std::string Status : {"408", "429", "503"}) {
    const std::string Head = "HTTP/1.1 " + Status + " Busy\r\n" + Proper;
    SocketBench Unproven;
    Unproven.Server.Answer = Head + End;
    const std::string Failure = Unproven.answerTo(4);
    cr_expect(Failure.starts_with("HTTP/1.1 502 "), "%s", Failure.c_str());
    for (const char *Part : {"Server-Stamp", "Retry-After", "theirs"})
      cr_expect_eq(Failure.find(Part), std::string::npos, "%s", Part);

    SocketBench Proven;
    Proven.Server.Answer = Head + "Not-Run: 1\r\n" + End;
    const std::string Refusal = Proven.answerTo(4);
    cr_expect(Refusal.starts_with("HTTP/1.1 503 "), "%s", Refusal.c_str());
    cr_expect_neq(Refusal.find("Retry-After"), std::string::npos);
  }
}

// Guards against a page of another program that is passed on as the success of
// a request, because it is the first answer on its connection.
Test(BrokenServerAnswer, CallerGetsNoSuccessThatIsNotOfItsRequest) {
  for (const std::string Lines :
       {"", "Request-Id: 1\r\n", "Server-Stamp: s\r\n",
        "Request-Id: 1\r\nServer-Stamp: s\r\nContent-Encoding: gzip\r\n"}) {
    SocketBench Bench;
    Bench.Server.Answer =
        "HTTP/1.1 200 OK\r\n" + Lines + "Content-Length: 6\r\n\r\nbroken";
    const std::string Answer = Bench.answerTo(4);
    cr_expect(Answer.starts_with("HTTP/1.1 502 "), "%s", Lines.c_str());
    cr_expect_eq(Answer.find("broken"), std::string::npos);
  }
  SocketBench Bench;
  Bench.Server.Answer =
      "HTTP/1.1 200 OK\r\n" + Proper + "Content-Length: 5\r\n\r\nwhole";
  cr_assert(Bench.answerTo(4).ends_with("whole"));
}
