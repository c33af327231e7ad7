#include "Http/HttpServer.h"
#include "Http/PercentEncoding.h"
#include "Loop/EventLoop.h"
#include "RawHttp/ChannelHttpClient.h"
#include "RawHttp/TcpBackendChannels.h"
#include "Support/RunUntil.h"

#include <arpa/inet.h>
#include <array>
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t BodyLimit = std::size_t{1} << 20U;

HttpRequest getRequest() {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/";
  return Request;
}

} // namespace

// Guards against processing a request whose caller disconnected before the
// answer started.
Test(HttpServer, CallerThatLeavesBeforeTheAnswerStartsIsSeen) {
  const BootClock Time;
  EventLoop Loop(Time);
  HttpServer Server(Loop, {});
  const std::uint16_t Port = *Server.listen("127.0.0.1", 0);
  bool Requested = false;
  bool Disconnected = false;
  Server.onRequest([&](ExchangeId, const HttpRequest &) { Requested = true; });
  Server.onCallerDisconnected([&](ExchangeId) { Disconnected = true; });
  TcpBackendChannels Channels(Loop);
  ChannelHttpClient Client(Loop, Channels, BodyLimit);
  const HttpCallId Id =
      Client.call("127.0.0.1:" + std::to_string(Port), getRequest(), 5s, {});
  cr_assert(runUntil(Loop, [&] { return Requested; }));
  Client.cancel(Id);
  cr_assert(runUntil(Loop, [&] { return Disconnected; }));
  cr_assert(Server.openExchanges() == 0);
}

// Guards against a connection that can not be reused after a delayed answer.
Test(HttpServer, ConnectionIsUsedAgainAfterALateAnswer) {
  const BootClock Time;
  EventLoop Loop(Time);
  HttpServer Server(Loop, {});
  const std::uint16_t Port = *Server.listen("127.0.0.1", 0);
  Server.onRequest([&](ExchangeId Id, const HttpRequest &) {
    Loop.after(5ms, [&Server, Id] { Server.reply(Id, {200, {}, "late"}); });
  });
  TcpBackendChannels Channels(Loop);
  ChannelHttpClient Client(Loop, Channels, BodyLimit);
  for (int Turn = 0; Turn < 3; ++Turn) {
    std::string Received;
    HttpCallHandlers Handlers;
    Handlers.Done = [&](const HttpReply &Reply) { Received = Reply.Body; };
    Client.call("127.0.0.1:" + std::to_string(Port), getRequest(), 5s,
                Handlers);
    cr_assert(runUntil(Loop, [&] { return Received == "late"; }));
    Loop.runOnce(1ms);
  }
}

// Guards against an abort of the process, or the loss of a request, when a
// caller sends its next request before it receives the first answer.
Test(HttpServer, RequestSentAheadIsAnsweredInTurn) {
  const BootClock Time;
  EventLoop Loop(Time);
  HttpServer Server(Loop, {});
  const std::uint16_t Port = *Server.listen("127.0.0.1", 0);
  int Count = 0;
  Server.onRequest([&](ExchangeId Id, const HttpRequest &) {
    Loop.after(20ms, [&, Id] {
      Server.reply(Id, {200, {}, "answer" + std::to_string(++Count)});
    });
  });
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Name{};
  Name.sin_family = AF_INET;
  Name.sin_port = htons(Port);
  Name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  cr_assert(
      connect(Socket, reinterpret_cast<sockaddr *>(&Name), sizeof(Name)) == 0);
  const std::string Request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::string Both = Request + Request;
  cr_assert(write(Socket, Both.data(), Both.size()) ==
            static_cast<ssize_t>(Both.size()));
  Loop.after(5ms, [&] {
    cr_assert(write(Socket, Request.data(), Request.size()) > 0);
  });
  std::string Received;
  Loop.onReadable(Socket, [&] {
    std::array<char, 4096> Bytes{};
    const ssize_t Read = read(Socket, Bytes.data(), Bytes.size());
    Received.append(Bytes.data(),
                    Read > 0 ? static_cast<std::size_t>(Read) : 0);
  });
  cr_assert(runUntil(
      Loop, [&] { return Received.find("answer3") != std::string::npos; }));
  cr_assert(Received.find("answer1") < Received.find("answer2"));
  close(Socket);
}

// Guards against two different keys that lead to the same request.
Test(PercentEncoding, GivesBackAnyText) {
  cr_assert(rc::check([](const std::string &Text) {
    const std::string Encoded = percentEncode(Text);
    RC_ASSERT(percentDecode(Encoded) == Text);
    RC_ASSERT(Encoded.find_first_of("/?&=# \r\n") == std::string::npos);
    RC_ASSERT(findQueryValue("a=1&key=" + Encoded + "&b=2", "key") == Text);
  }));
}
