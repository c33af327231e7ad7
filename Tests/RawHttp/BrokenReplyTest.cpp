#include "Loop/EventLoop.h"
#include "RawHttp/ChannelHttpClient.h"
#include "RawHttp/TcpBackendChannels.h"
#include "Support/BrokenAnswers.h"
#include "Support/RunUntil.h"
#include "Support/ScriptedServer.h"

#include <criterion/criterion.h>
#include <optional>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t BodyLimit = std::size_t{1} << 20U;

/// A call to a server that the test plays.
struct Bench {
  BootClock Time;
  EventLoop Loop{Time};
  ScriptedServer Server;
  TcpBackendChannels Channels{Loop};
  ChannelHttpClient Client{Loop, Channels, BodyLimit};
  std::optional<int> Status;
  std::string Pieces;
  std::optional<HttpReply> Reply;
  std::optional<Error> Failure;
  HttpProgress Progress = HttpProgress::NotSent;

  void call(std::string Body, bool IsStreamed) {
    HttpRequest Request;
    Request.Method = "POST";
    Request.Path = "/";
    Request.Body = std::move(Body);
    HttpCallHandlers Handlers;
    Handlers.Head = [this](int Read, const HttpHeaders &) {
      this->Status = Read;
    };
    if (IsStreamed)
      Handlers.Piece = [this](std::string_view Bytes) {
        this->Pieces.append(Bytes);
      };
    Handlers.Done = [this](HttpReply Done) { this->Reply = std::move(Done); };
    Handlers.Failed = [this](Error Reason, HttpProgress At) {
      this->Failure = std::move(Reason);
      this->Progress = At;
    };
    this->Client.call(this->Server.Address, std::move(Request), 5s,
                      std::move(Handlers));
    cr_assert(runUntil(this->Loop, [&] {
      this->Server.serve();
      return this->Reply || this->Failure;
    }));
  }
};

} // namespace

// Guards against a broken answer that the daemons take for one of a backend
// server or of the platform.
Test(BrokenReply, ReplyWithABrokenHeadFails) {
  for (const BrokenAnswer &Broken : makeAnswersWithBrokenHeads())
    for (const bool IsStreamed : {false, true}) {
      Bench B;
      B.Server.Answer = Broken.Bytes;
      B.call("body", IsStreamed);
      const char *Name = Broken.Name.c_str();
      cr_expect_not(B.Reply.has_value(), "%s", Name);
      cr_expect_not(B.Status.has_value(), "%s", Name);
      cr_expect(B.Pieces.empty(), "%s", Name);
      cr_expect(B.Progress == HttpProgress::Sent, "%s", Name);
    }
}

// Guards against a part of a reply that counts as the whole after a reset while
// the request is being written.
Test(BrokenReply, ResetDuringTheUploadFails) {
  for (const int Rounds : {0, 20}) {
    Bench B;
    B.Server.Answer = "HTTP/1.1 200 OK\r\n\r\npart";
    B.Server.Next = ScriptedServer::Ending::Reset;
    B.Server.RoundsToEnd = Rounds;
    B.call(std::string(std::size_t{8} << 20U, 'x'), false);
    cr_assert_not(B.Reply.has_value());
  }
}
