#include "Loop/EventLoop.h"
#include "RawHttp/TcpBackendChannels.h"
#include "Support/AnswerRecorder.h"
#include "Support/BrokenAnswers.h"
#include "Support/RawPeer.h"
#include "Support/RunUntil.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

/// A request to a server that the test plays.
struct Bench {
  BootClock Time;
  EventLoop Loop{Time};
  RawPeer Listener;
  std::uint16_t Port = Listener.listen();
  TcpBackendChannels Channels{Loop};
  AnswerRecorder Recorder;
  RawPeer Server;

  /// Sends a request and waits until its head has arrived.
  void send(std::string Body) {
    BackendRequest Request;
    Request.Address = "127.0.0.1:" + std::to_string(this->Port);
    Request.Request.Method = "POST";
    Request.Request.Target = "/x";
    Request.Request.Body = std::move(Body);
    this->Channels.send(std::move(Request), this->Recorder);
    cr_assert(runUntil(this->Loop, [&] {
      if (this->Server.Descriptor < 0)
        this->Server.Descriptor = this->Listener.accept();
      if (this->Server.Descriptor < 0)
        return false;
      this->Server.readSome(512);
      return this->Server.Received.find("\r\n\r\n") != std::string::npos;
    }));
  }
  void waitForEnd() {
    cr_assert(runUntil(this->Loop, [&] { return this->Recorder.hasEnded(); }));
  }
};

/// Larger than what the sockets of both sides take, so that it is still being
/// written when the answer arrives.
constexpr std::size_t LongUploadBytes = std::size_t{24} << 20U;

/// Expects that \p Answer does not reach the caller, whether its bytes arrive
/// together or one by one.
void expectNoAnswer(const BrokenAnswer &Answer) {
  for (const std::size_t PieceBytes : {Answer.Bytes.size(), std::size_t{1}}) {
    Bench B;
    B.send("body");
    const std::string_view All = Answer.Bytes;
    for (std::size_t At = 0; At < All.size(); At += PieceBytes) {
      B.Server.write(All.substr(At, PieceBytes));
      B.Loop.runOnce(Duration(0));
    }
    B.Server.drop();
    B.waitForEnd();
    const char *Name = Answer.Name.c_str();
    cr_expect_not(B.Recorder.Done, "%s", Name);
    cr_expect_not(B.Recorder.Status.has_value(), "%s", Name);
    cr_expect(B.Recorder.Body.empty(), "%s", Name);
    // The server may have run the request.
    cr_expect_neq(B.Recorder.Failure.value_or(SendFailure::NotSent),
                  SendFailure::NotSent, "%s", Name);
  }
}

} // namespace

// Guards against an answer that is passed on although its status line is not
// valid.
Test(BrokenAnswer, AnswerWithABrokenStatusIsNoAnswer) {
  for (const BrokenAnswer &Answer : makeAnswersWithBrokenStatus())
    expectNoAnswer(Answer);
}

// Guards against an answer that is passed on although one of its headers cannot
// be read: with that line, or with another body than its server sent.
Test(BrokenAnswer, AnswerWithABrokenHeaderIsNoAnswer) {
  for (const BrokenAnswer &Answer : makeAnswersWithBrokenHeaders())
    expectNoAnswer(Answer);
}

// Guards against a part of an answer without a length that counts as the whole
// of it, because a reset while the upload is being written is taken for an
// orderly end.
Test(BrokenAnswer, ResetDuringTheUploadCutsTheAnswer) {
  for (const bool IsReadBefore : {true, false})
    for (int Round = 0; Round < 10; ++Round) {
      Bench B;
      B.send(std::string(LongUploadBytes, 'x'));
      B.Server.write("HTTP/1.1 200 OK\r\n\r\npart");
      if (IsReadBefore)
        cr_assert(runUntil(B.Loop, [&] { return B.Recorder.Body == "part"; }));
      B.Server.reset();
      B.waitForEnd();
      cr_expect_not(B.Recorder.Done, "round %d", Round);
      cr_expect(B.Recorder.Failure.has_value());
    }
}

// Guards against the loss of an answer without a length whose server closes its
// sending side in order before it has read the request.
Test(BrokenAnswer, OrderlyEndDuringTheUploadIsTheEndOfTheAnswer) {
  Bench B;
  B.send(std::string(LongUploadBytes, 'x'));
  B.Server.write("HTTP/1.1 413 Content Too Large\r\n\r\nwhole");
  shutdown(B.Server.Descriptor, SHUT_WR);
  B.waitForEnd();
  cr_assert(B.Recorder.Done);
  cr_assert_eq(*B.Recorder.Status, 413);
  cr_assert_str_eq(B.Recorder.Body.c_str(), "whole");
}
