#include "Http/HttpServer.h"
#include "Loop/EventLoop.h"
#include "Peers/NngPeerPort.h"
#include "RawHttp/ChannelHttpClient.h"
#include "RawHttp/TcpBackendChannels.h"
#include "Support/RunUntil.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t BodyLimit = std::size_t{1} << 20U;

} // namespace

Test(Peers, MessageReachesThePeerAndTheAnswerComesBack) {
  const BootClock Time;
  EventLoop Loop(Time);
  NngPeerPort Left(Loop);
  NngPeerPort Right(Loop);
  cr_assert(Left.listen("127.0.0.1:0").has_value());
  cr_assert(Right.listen("127.0.0.1:0").has_value());
  bool Answered = false;
  Right.onReceive([&](const std::string &From, const Message &) {
    cr_assert(Right.send(From, Accepted{"r1", 1, {}}).has_value());
  });
  Left.onReceive([&](const std::string &From, const Message &Body) {
    Answered = From == Right.address() && std::get<Accepted>(Body).Attempt == 1;
  });
  cr_assert(Left.send(Right.address(), Cancel{"r1", 1}).has_value());
  cr_assert(runUntil(Loop, [&] { return Answered; }));
}

// Guards against a gateway that waits for a dispatcher that has stopped.
Test(Peers, LossOfAPeerIsReported) {
  const BootClock Time;
  EventLoop Loop(Time);
  NngPeerPort Left(Loop);
  auto Right = std::make_unique<NngPeerPort>(Loop);
  cr_assert(Left.listen("127.0.0.1:0").has_value());
  cr_assert(Right->listen("127.0.0.1:0").has_value());
  const std::string Peer = Right->address();
  bool Received = false;
  std::string LostPeer;
  Right->onReceive(
      [&](const std::string &, const Message &) { Received = true; });
  Left.onLost([&](const std::string &Gone) { LostPeer = Gone; });
  cr_assert(Left.send(Peer, Cancel{"r1", 1}).has_value());
  cr_assert(runUntil(Loop, [&] { return Received; }));
  Right.reset();
  cr_assert(runUntil(Loop, [&] { return LostPeer == Peer; }));
}

Test(Peers, PeerThatNeverAnswersIsReported) {
  const BootClock Time;
  EventLoop Loop(Time);
  NngPeerPort Left(Loop);
  cr_assert(Left.listen("127.0.0.1:0").has_value());
  std::string LostPeer;
  Left.onLost([&](const std::string &Gone) { LostPeer = Gone; });
  cr_assert(Left.send("127.0.0.1:1", Cancel{"r1", 1}).has_value());
  cr_assert(runUntil(Loop, [&] { return LostPeer == "127.0.0.1:1"; }));
}

Test(Peers, BurstIsDeliveredInOrder) {
  const BootClock Time;
  EventLoop Loop(Time);
  NngPeerPort Left(Loop);
  NngPeerPort Right(Loop);
  cr_assert(Left.listen("127.0.0.1:0").has_value());
  cr_assert(Right.listen("127.0.0.1:0").has_value());
  constexpr std::uint32_t Count = 5000;
  std::uint32_t Next = 0;
  Right.onReceive([&](const std::string &, const Message &Body) {
    cr_assert(std::get<Cancel>(Body).Attempt == Next);
    ++Next;
  });
  for (std::uint32_t I = 0; I < Count; ++I)
    cr_assert(Left.send(Right.address(), Cancel{"r", I}).has_value());
  cr_assert(runUntil(Loop, [&] { return Next == Count; }));
}

Test(Http, StreamArrivesInPiecesAndEndsWhole) {
  const BootClock Time;
  EventLoop Loop(Time);
  HttpServer Server(Loop, {});
  const std::uint16_t Port = *Server.listen("127.0.0.1", 0);
  ExchangeId Open = 0;
  Server.onRequest([&](ExchangeId Id, const HttpRequest &Request) {
    cr_assert(Request.Path == "/x" && Request.Query == "q=1");
    Open = Id;
    Server.startStream(Id, 200, {{"Content-Type", "text/event-stream"}});
    Server.sendPiece(Id, "one");
  });
  TcpBackendChannels Channels(Loop);
  ChannelHttpClient Client(Loop, Channels, BodyLimit);
  std::string Got;
  bool Done = false;
  HttpCallHandlers Handlers;
  Handlers.Piece = [&](std::string_view Bytes) { Got += Bytes; };
  Handlers.Done = [&](const HttpReply &) { Done = true; };
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/x";
  Request.Query = "q=1";
  Client.call("127.0.0.1:" + std::to_string(Port), Request, 5s, Handlers);
  cr_assert(runUntil(Loop, [&] { return Got == "one"; }));
  Server.sendPiece(Open, "two");
  Server.endStream(Open);
  cr_assert(runUntil(Loop, [&] { return Done; }));
  cr_assert(Got == "onetwo");
}

// Guards against work that continues after its caller has disconnected.
Test(Http, CancelledCallIsSeenByTheServer) {
  const BootClock Time;
  EventLoop Loop(Time);
  HttpServer Server(Loop, {});
  const std::uint16_t Port = *Server.listen("127.0.0.1", 0);
  bool Gone = false;
  Server.onRequest([&](ExchangeId Id, const HttpRequest &) {
    Server.startStream(Id, 200, {});
    Server.sendPiece(Id, "one");
  });
  Server.onCallerDisconnected([&](ExchangeId) { Gone = true; });
  TcpBackendChannels Channels(Loop);
  ChannelHttpClient Client(Loop, Channels, BodyLimit);
  bool Started = false;
  HttpCallHandlers Handlers;
  Handlers.Piece = [&](std::string_view) { Started = true; };
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/";
  const HttpCallId Id =
      Client.call("127.0.0.1:" + std::to_string(Port), Request, 5s, Handlers);
  cr_assert(runUntil(Loop, [&] { return Started; }));
  Client.cancel(Id);
  cr_assert(runUntil(Loop, [&] { return Gone; }));
  cr_assert(Server.openExchanges() == 0);
}

Test(Http, RefusedConnectionCountsAsNotSent) {
  const BootClock Time;
  EventLoop Loop(Time);
  TcpBackendChannels Channels(Loop);
  ChannelHttpClient Client(Loop, Channels, BodyLimit);
  bool Failed = false;
  HttpCallHandlers Handlers;
  Handlers.Failed = [&](const Error &, HttpProgress Progress) {
    Failed = Progress == HttpProgress::NotSent;
  };
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/";
  Client.call("127.0.0.1:1", Request, 5s, Handlers);
  cr_assert(runUntil(Loop, [&] { return Failed; }));
}

// Guards against a truncated answer that is taken for a complete one.
Test(Http, AbortedStreamFails) {
  const BootClock Time;
  EventLoop Loop(Time);
  HttpServer Server(Loop, {});
  const std::uint16_t Port = *Server.listen("127.0.0.1", 0);
  Server.onRequest([&](ExchangeId Id, const HttpRequest &) {
    Server.startStream(Id, 200, {});
    Server.sendPiece(Id, "one");
    Loop.after(20ms, [&Server, Id] { Server.abort(Id); });
  });
  TcpBackendChannels Channels(Loop);
  ChannelHttpClient Client(Loop, Channels, BodyLimit);
  bool Failed = false;
  HttpCallHandlers Handlers;
  Handlers.Piece = [](std::string_view) {};
  Handlers.Done = [](const HttpReply &) {
    cr_assert_fail("The call succeeded with a truncated answer.");
  };
  Handlers.Failed = [&](const Error &, HttpProgress Progress) {
    Failed = Progress == HttpProgress::Replying;
  };
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/";
  Client.call("127.0.0.1:" + std::to_string(Port), Request, 5s, Handlers);
  cr_assert(runUntil(Loop, [&] { return Failed; }));
}
