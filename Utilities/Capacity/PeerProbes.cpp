#include "Admission/RequestLifeCycle.h"
#include "CapacityReport.h"
#include "Loop/EventLoop.h"
#include "Peers/NngPeerPort.h"
#include "Probes.h"
#include "Support/RunUntil.h"

#include <memory>

namespace turmericpass {

namespace {

RequestLifeCycle makeLife(const EventLoop &Loop, const std::string &Peer) {
  Submit Work;
  Work.RequestId = "0123456789abcdef0123456789abcdef";
  Work.Stream = true;
  RequestLifeCycle Life(
      std::move(Work), Loop.clock().now() + std::chrono::seconds(60),
      LifeCycleLimits{},
      {[Peer](const auto &) { return Peer; }, [] { return true; }});
  Life.start(Loop.clock().now());
  Life.takeActions();
  return Life;
}

/// Sends one token a message from a dispatcher's port to a request's life
/// cycle behind a gateway's port. The cost is that of both processes.
void probeTokens(CapacityReport &Out, std::uint32_t Count) {
  constexpr std::uint32_t Burst = 200;
  const BootClock Time;
  EventLoop Loop(Time);
  EventLoop GatewayLoop(Time);
  NngPeerPort Dispatcher(Loop);
  NngPeerPort Gateway(GatewayLoop);
  if (!Dispatcher.listen("127.0.0.1:0") || !Gateway.listen("127.0.0.1:0"))
    return;
  RequestLifeCycle Life = makeLife(Loop, Dispatcher.address());
  Gateway.onReceive([&](const std::string &From, const Message &Body) {
    if (const auto *Piece = std::get_if<Chunk>(&Body))
      Life.handleChunk(From, *Piece, Time.now());
    Life.takeActions();
  });
  const double Begun = cpuMicros();
  const Instant Limit = Time.now() + std::chrono::seconds(8);
  double Sending = 0;
  double Receiving = 0;
  for (std::uint32_t Sent = 0; Sent < Count;) {
    double Mark = threadMicros();
    for (std::uint32_t I = 0; I < Burst; ++I, ++Sent)
      (void)Dispatcher.send(
          Gateway.address(),
          Chunk{Life.work().RequestId, 1, Sent, {40000 + Sent}, {" word"}});
    Sending += threadMicros() - Mark;
    while (Life.tokenCount() < Sent) {
      if (Time.now() > Limit)
        return;
      Mark = threadMicros();
      Loop.runOnce(Duration(0));
      const double Middle = threadMicros();
      GatewayLoop.runOnce(Duration(100));
      Sending += Middle - Mark;
      Receiving += threadMicros() - Middle;
    }
  }
  const auto Size = static_cast<double>(Count);
  Out.add("peers.tokens_cpu_us", "tokens", Size, cpuMicros() - Begun);
  Out.add("peers.tokens_sender_thread_us", "tokens", Size, Sending);
  Out.add("peers.tokens_receiver_thread_us", "tokens", Size, Receiving);
  Out.add("peers.tokens_bytes", "tokens", Size,
          static_cast<double>(Dispatcher.sentBytes()));
}

/// One whole request without tokens: Submit with a prompt of 2 KB, Accepted
/// and Finish.
void probeRequests(CapacityReport &Out, std::uint32_t Count) {
  const BootClock Time;
  EventLoop Loop(Time);
  NngPeerPort Dispatcher(Loop);
  NngPeerPort Gateway(Loop);
  if (!Dispatcher.listen("127.0.0.1:0") || !Gateway.listen("127.0.0.1:0"))
    return;
  std::uint32_t Ended = 0;
  Dispatcher.onReceive([&](const std::string &From, const Message &Body) {
    const auto &Work = std::get<Submit>(Body);
    (void)Dispatcher.send(From, Accepted{Work.RequestId, 1, {}});
    (void)Dispatcher.send(From, Finish{Work.RequestId, 1});
  });
  Gateway.onReceive([&](const std::string &, const Message &Body) {
    Ended += std::holds_alternative<Finish>(Body) ? 1 : 0;
  });
  const double Begun = cpuMicros();
  for (std::uint32_t Sent = 0; Sent < Count;) {
    for (std::uint32_t I = 0; I < 20; ++I, ++Sent) {
      Submit Work;
      Work.RequestId = "0123456789abcdef0123456789abcdef";
      Work.Body = std::string(2000, 'x');
      (void)Gateway.send(Dispatcher.address(), std::move(Work));
    }
    if (!runUntil(Loop, [&] { return Ended >= Sent; }))
      return;
  }
  const auto Size = static_cast<double>(Count);
  Out.add("peers.requests_cpu_us", "requests", Size, cpuMicros() - Begun);
  Out.add("peers.requests_bytes", "requests", Size,
          static_cast<double>(Dispatcher.sentBytes() + Gateway.sentBytes()));
}

/// Memory of one process that is connected to \p Count peers, which stand in
/// this process too.
void probeLinks(CapacityReport &Out, std::size_t Count) {
  const BootClock Time;
  EventLoop Loop(Time);
  const double Before = heapBytes();
  NngPeerPort Center(Loop);
  if (!Center.listen("127.0.0.1:0"))
    return;
  std::vector<std::unique_ptr<NngPeerPort>> Others;
  std::size_t Heard = 0;
  for (std::size_t I = 0; I < Count; ++I) {
    Others.push_back(std::make_unique<NngPeerPort>(Loop));
    if (!Others.back()->listen("127.0.0.1:0"))
      return;
    Others.back()->onReceive(
        [&](const std::string &, const Message &) { ++Heard; });
    (void)Center.send(Others.back()->address(), Cancel{"r", 1});
  }
  if (!runUntil(Loop, [&] { return Heard == Count; }))
    return;
  const auto Size = static_cast<double>(Count);
  Out.add("peers.links_memory_both_ends", "peers", Size, heapBytes() - Before);
  const double Begun = cpuMicros();
  const Instant End = Time.now() + std::chrono::milliseconds(500);
  while (Time.now() < End)
    Loop.runOnce(std::chrono::milliseconds(20));
  Out.add("peers.links_idle_cpu_us_s", "peers", Size,
          (cpuMicros() - Begun) * 2);
}

} // namespace

void probePeers(CapacityReport &Out) {
  for (const std::size_t Count : {4, 8, 16, 32})
    probeLinks(Out, Count);
  for (const std::uint32_t Count : {4000, 8000, 16000, 32000})
    probeTokens(Out, Count);
  for (const std::uint32_t Count : {400, 800, 1600, 3200})
    probeRequests(Out, Count);
}

} // namespace turmericpass
