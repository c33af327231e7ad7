#include "RawHttp/ChannelHttpClient.h"
#include "Loop/EventLoop.h"
#include "RawHttp/TcpBackendChannels.h"
#include "Support/RawPeer.h"
#include "Support/RunUntil.h"

#include <criterion/criterion.h>
#include <optional>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t BodyLimit = 100'000;

/// Calls to a server that the test plays on one connection.
struct Bench {
  BootClock Time;
  EventLoop Loop{Time};
  TcpBackendChannels Channels{Loop};
  RawPeer Listener;
  std::uint16_t Port = Listener.listen();
  RawPeer Server;
  ChannelHttpClient Client{Loop, Channels, BodyLimit};
  std::optional<HttpReply> Reply;
  std::optional<Error> Failure;
  HttpProgress Progress = HttpProgress::NotSent;

  void call(const std::string &Method, Duration IdleLimit,
            std::string Body = "") {
    HttpRequest Request;
    Request.Method = Method;
    Request.Path = "/";
    Request.Body = std::move(Body);
    HttpCallHandlers Handlers;
    Handlers.Done = [this](HttpReply Done) { this->Reply = std::move(Done); };
    Handlers.Failed = [this](Error Reason, HttpProgress At) {
      this->Failure = std::move(Reason);
      this->Progress = At;
    };
    this->Client.call("127.0.0.1:" + std::to_string(this->Port),
                      std::move(Request), IdleLimit, std::move(Handlers));
    cr_assert(runUntil(this->Loop, [&] {
      if (this->Server.Descriptor < 0)
        this->Server.Descriptor = this->Listener.accept();
      return this->Server.Descriptor >= 0;
    }));
  }
  void waitForEnd() {
    cr_assert(runUntil(this->Loop, [&] {
      return this->Reply.has_value() || this->Failure.has_value();
    }));
  }
};

} // namespace

// Guards against a call that waits without end for a silent server.
Test(ChannelHttpClient, SilentServerTimesOut) {
  Bench B;
  const Instant Started = B.Time.now();
  B.call("GET", 200ms);
  B.waitForEnd();
  cr_assert(B.Failure->Code == ErrorCode::Timeout);
  cr_assert(B.Progress == HttpProgress::Sent);
  cr_assert_geq(B.Time.now() - Started, Duration(200ms));
}

// Guards against a time limit that ends a long request or reply which makes
// progress.
Test(ChannelHttpClient, SlowCallThatMakesProgressGoesOn) {
  Bench B;
  const Instant Started = B.Time.now();
  constexpr std::size_t UploadBytes = std::size_t{64} << 20U;
  B.call("POST", 800ms, std::string(UploadBytes, 'x'));
  while (B.Server.Received.size() < UploadBytes) {
    B.Server.readSome(std::size_t{4} << 20U);
    runFor(B.Loop, 50ms);
    cr_assert_not(B.Failure.has_value());
  }
  cr_assert_gt(B.Time.now() - Started, Duration(800ms));
  B.Server.write("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n");
  for (int I = 0; I < 8; ++I) {
    B.Server.write("x");
    runFor(B.Loop, 150ms);
  }
  B.waitForEnd();
  cr_assert(B.Reply.has_value());
}

// Guards against a reply without end, or with an announced length, that fills
// the memory.
Test(ChannelHttpClient, ReplyBeyondTheLimitFails) {
  for (const std::string Header :
       {"Content-Length: 100001", "Transfer-Encoding: chunked"}) {
    Bench B;
    B.call("GET", 5s);
    B.Server.write("HTTP/1.1 200 OK\r\n" + Header + "\r\n\r\n20000\r\n" +
                   std::string(0x20000, 'x'));
    B.waitForEnd();
    cr_assert(B.Failure->Code == ErrorCode::TooLarge);
  }
}

// Guards against a wait for the body that a reply to a HEAD request announces,
// and against the next reply being taken for it.
Test(ChannelHttpClient, ReplyToAHeadRequestHasNoBody) {
  for (const std::string Header :
       {"Content-Length: 5", "Transfer-Encoding: chunked"}) {
    Bench B;
    B.call("HEAD", 2s);
    B.Server.write("HTTP/1.1 200 OK\r\n" + Header + "\r\n\r\n");
    B.waitForEnd();
    cr_assert(B.Reply.has_value(), "%s", Header.c_str());
    cr_assert(B.Reply->Body.empty());
    B.Reply.reset();
    B.call("GET", 2s);
    B.Server.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    B.waitForEnd();
    cr_assert_str_eq(B.Reply->Body.c_str(), "ok");
  }
}
