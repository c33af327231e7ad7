#include "Peers/NngPeerPort.h"

#include "Loop/EventLoop.h"

#include <arpa/inet.h>
#include <atomic>
#include <deque>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <string_view>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace turmericpass {

namespace {

/// Limits of the queue for one peer. nng accepts only a few messages without
/// blocking; the others wait in this queue.
constexpr std::size_t MaxQueuedMessages = 20000;
constexpr std::size_t MaxQueuedBytes = std::size_t{64} << 20U;

/// The maximum number of messages handled in one turn of the loop, so that
/// timers are not starved.
constexpr int MessagesPerTurn = 512;

/// A peer with queued messages and without a connection for this long is
/// reported as lost. This detects a failed VM, which does not refuse
/// connections.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
constexpr Duration CheckPeriod = std::chrono::milliseconds(100);

constexpr nng_duration ReconnectMinMs = 20;
constexpr nng_duration ReconnectMaxMs = 200;

} // namespace

struct NngPeerPort::Inbox {
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  WatchId Watch = 0;
  WatchId CheckTimer = 0;
  /// An event descriptor that nng's threads write and the loop reads.
  int PipeEvents = -1;
  WatchId PipeWatch = 0;
};

struct NngPeerPort::Link {
  std::string Peer;
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  WatchId Watch = 0;
  std::deque<std::string> Queue;
  std::size_t QueuedBytes = 0;
  /// Set by nng's threads. The loop compares LostPipes with SeenLostPipes.
  std::atomic<std::uint32_t> LostPipes{0};
  std::atomic<bool> Connected{false};
  std::uint32_t SeenLostPipes = 0;
  Instant DisconnectedSince;
  int PipeEvents = -1;

  Link() = default;
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;
  ~Link() { nng_close(this->Socket); }

  void clearQueue() {
    this->Queue.clear();
    this->QueuedBytes = 0;
  }

  /// Records a pipe event and wakes the loop. Runs on a thread of nng.
  static void recordPipeEvent(nng_pipe, nng_pipe_ev Event, void *Context) {
    auto *Target = static_cast<Link *>(Context);
    const bool Added = Event == NNG_PIPE_EV_ADD_POST;
    Target->Connected.store(Added);
    if (!Added)
      Target->LostPipes.fetch_add(1);
    const std::uint64_t One = 1;
    [[maybe_unused]] const ssize_t Written =
        write(Target->PipeEvents, &One, sizeof(One));
  }
};

NngPeerPort::NngPeerPort(EventLoop &Loop)
    : Loop(Loop), In(std::make_unique<Inbox>()) {
  this->In->PipeEvents = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  this->In->PipeWatch = this->Loop.onReadable(
      this->In->PipeEvents, [this] { this->handlePipeEvents(); });
  this->In->CheckTimer =
      this->Loop.every(CheckPeriod, [this] { this->handlePipeEvents(); });
}

NngPeerPort::~NngPeerPort() {
  for (auto &[Peer, Open] : this->Links)
    this->Loop.cancel(Open->Watch);
  this->Links.clear();
  this->Loop.cancel(this->In->Watch);
  this->Loop.cancel(this->In->PipeWatch);
  this->Loop.cancel(this->In->CheckTimer);
  nng_close(this->In->Socket);
  close(this->In->PipeEvents);
}

Result<void> NngPeerPort::listen(const std::string &Address) {
  int Status = nng_pull0_open(&this->In->Socket);
  if (Status == 0)
    Status = nng_socket_set_size(this->In->Socket, NNG_OPT_RECVMAXSZ,
                                 MaxMessageBytes);
  if (Status == 0)
    Status = nng_socket_set_int(this->In->Socket, NNG_OPT_RECVBUF, 1024);
  nng_listener Listener = NNG_LISTENER_INITIALIZER;
  const std::string Url = "tcp://" + Address;
  if (Status == 0)
    Status = nng_listen(this->In->Socket, Url.c_str(), &Listener, 0);
  if (Status != 0)
    return failure(ErrorCode::Unavailable, "Cannot listen for peers on " +
                                               Address + ": " +
                                               nng_strerror(Status) + ".");
  nng_sockaddr Bound{};
  nng_listener_get_addr(Listener, NNG_OPT_LOCADDR, &Bound);
  const std::uint16_t Port = ntohs(Bound.s_in.sa_port);
  this->OwnAddress =
      Address.substr(0, Address.rfind(':')) + ":" + std::to_string(Port);
  int Descriptor = -1;
  nng_socket_get_int(this->In->Socket, NNG_OPT_RECVFD, &Descriptor);
  this->In->Watch =
      this->Loop.onReadable(Descriptor, [this] { this->receiveMessages(); });
  return {};
}

void NngPeerPort::onReceive(Receive Handler) {
  this->ReceiveHandler = std::move(Handler);
}

void NngPeerPort::onLost(Lost Handler) {
  this->LostHandler = std::move(Handler);
}

void NngPeerPort::forget(const std::string &Peer) {
  const auto Found = this->Links.find(Peer);
  if (Found == this->Links.end())
    return;
  this->Loop.cancel(Found->second->Watch);
  this->Links.erase(Found);
}

Result<NngPeerPort::Link *> NngPeerPort::linkTo(const std::string &Peer) {
  const auto Found = this->Links.find(Peer);
  if (Found != this->Links.end())
    return Found->second.get();
  auto NewLink = std::make_unique<Link>();
  NewLink->Peer = Peer;
  NewLink->PipeEvents = this->In->PipeEvents;
  NewLink->DisconnectedSince = this->Loop.clock().now();
  const std::string Url = "tcp://" + Peer;
  int Status = nng_push0_open(&NewLink->Socket);
  if (Status == 0) {
    nng_socket_set_ms(NewLink->Socket, NNG_OPT_RECONNMINT, ReconnectMinMs);
    nng_socket_set_ms(NewLink->Socket, NNG_OPT_RECONNMAXT, ReconnectMaxMs);
    nng_pipe_notify(NewLink->Socket, NNG_PIPE_EV_ADD_POST,
                    &Link::recordPipeEvent, NewLink.get());
    nng_pipe_notify(NewLink->Socket, NNG_PIPE_EV_REM_POST,
                    &Link::recordPipeEvent, NewLink.get());
    Status = nng_dial(NewLink->Socket, Url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
  }
  if (Status != 0)
    return failure(ErrorCode::Unavailable, "Cannot send to peer " + Peer +
                                               ": " + nng_strerror(Status) +
                                               ".");
  int Descriptor = -1;
  nng_socket_get_int(NewLink->Socket, NNG_OPT_SENDFD, &Descriptor);
  Link *Target = NewLink.get();
  Target->Watch = this->Loop.onReadable(
      Descriptor, [this, Target] { this->flush(*Target); });
  this->Links.emplace(Peer, std::move(NewLink));
  return Target;
}

Result<void> NngPeerPort::send(const std::string &Peer, Message Body) {
  Result<std::string> Bytes = encode({this->OwnAddress, std::move(Body)});
  if (!Bytes)
    return tl::make_unexpected(Bytes.error());
  const Result<Link *> Open = this->linkTo(Peer);
  if (!Open)
    return tl::make_unexpected(Open.error());
  Link &Target = **Open;
  if (Target.Queue.size() >= MaxQueuedMessages ||
      Target.QueuedBytes + Bytes->size() > MaxQueuedBytes)
    return failure(ErrorCode::Unavailable,
                   "The queue for peer " + Peer + " is full.");
  Target.QueuedBytes += Bytes->size();
  Target.Queue.push_back(std::move(*Bytes));
  this->flush(Target);
  return {};
}

void NngPeerPort::flush(Link &Open) {
  while (!Open.Queue.empty()) {
    std::string &Next = Open.Queue.front();
    const int Status =
        nng_send(Open.Socket, Next.data(), Next.size(), NNG_FLAG_NONBLOCK);
    if (Status != 0)
      break;
    this->SentByteCount += Next.size();
    Open.QueuedBytes -= Next.size();
    Open.Queue.pop_front();
  }
  // The send descriptor is readable while nng accepts messages. It is watched
  // only while messages are queued, because the loop would otherwise spin.
  if (Open.Queue.empty() && Open.Watch != 0) {
    this->Loop.cancel(Open.Watch);
    Open.Watch = 0;
  } else if (!Open.Queue.empty() && Open.Watch == 0) {
    int Descriptor = -1;
    nng_socket_get_int(Open.Socket, NNG_OPT_SENDFD, &Descriptor);
    Open.Watch =
        this->Loop.onReadable(Descriptor, [this, &Open] { this->flush(Open); });
  }
}

void NngPeerPort::receiveMessages() {
  for (int I = 0; I < MessagesPerTurn; ++I) {
    void *Data = nullptr;
    std::size_t Size = 0;
    if (nng_recv(this->In->Socket, &Data, &Size,
                 NNG_FLAG_NONBLOCK | NNG_FLAG_ALLOC) != 0)
      return;
    this->ReceivedByteCount += Size;
    Result<Envelope> Decoded =
        decode(std::string_view(static_cast<char *>(Data), Size));
    nng_free(Data, Size);
    if (!Decoded)
      ++this->MalformedMessages;
    else if (this->ReceiveHandler)
      this->ReceiveHandler(Decoded->From, std::move(Decoded->Body));
  }
}

void NngPeerPort::handlePipeEvents() {
  std::uint64_t Count = 0;
  [[maybe_unused]] const ssize_t Read =
      read(this->In->PipeEvents, &Count, sizeof(Count));
  const Instant Now = this->Loop.clock().now();
  std::vector<std::string> LostPeers;
  for (auto &[Peer, Open] : this->Links) {
    const std::uint32_t LostPipesNow = Open->LostPipes.load();
    bool IsLost = LostPipesNow != Open->SeenLostPipes;
    Open->SeenLostPipes = LostPipesNow;
    if (Open->Connected.load())
      Open->DisconnectedSince = Now;
    else if (!Open->Queue.empty() &&
             Now - Open->DisconnectedSince > ConnectTimeout)
      IsLost = true;
    if (!IsLost)
      continue;
    Open->clearQueue();
    Open->DisconnectedSince = Now;
    LostPeers.push_back(Peer);
  }
  for (const std::string &Peer : LostPeers)
    if (this->LostHandler)
      this->LostHandler(Peer);
}

} // namespace turmericpass
