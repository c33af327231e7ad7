#include "RawHttp/BackendConnection.h"

#include "Loop/EventLoop.h"
#include "RawHttp/SocketOptions.h"

#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utility>

namespace turmericpass {

namespace {

constexpr std::size_t AnswerHeadBytes = std::size_t{64} << 10U;

/// How long an idle connection is trusted if the server does not say how long
/// it keeps one.
constexpr Duration DefaultIdleLimit = std::chrono::seconds(4);

/// Kept off the server's own limit, so that a request does not cross its close.
constexpr Duration IdleMargin = std::chrono::milliseconds(800);

/// Reads the timeout of a Keep-Alive header, such as "timeout=5, max=100".
Duration readKeepAlive(std::string_view Value) {
  const std::size_t At = Value.find("timeout=");
  if (At == std::string_view::npos)
    return DefaultIdleLimit;
  int Seconds = 0;
  const char *Begin = Value.data() + At + 8;
  if (std::from_chars(Begin, Value.data() + Value.size(), Seconds).ec !=
      std::errc())
    return DefaultIdleLimit;
  const Duration Stated = std::chrono::seconds(Seconds);
  return Stated > IdleMargin ? Stated - IdleMargin : Duration(0);
}

timeval toTimeval(Duration Value) {
  timeval Converted{};
  Converted.tv_sec = Value.count() / 1000000;
  Converted.tv_usec = Value.count() % 1000000;
  return Converted;
}

} // namespace

BackendConnection::BackendConnection(TcpBackendChannels &Owner,
                                     std::uint64_t Id, std::string Address)
    : Owner(Owner), Id(Id), Address(std::move(Address)),
      Reader(MessageReader::Kind::Answers, AnswerHeadBytes, *this),
      IdleLimit(DefaultIdleLimit) {}

BackendConnection::~BackendConnection() {
  if (this->Channel)
    bufferevent_free(this->Channel);
}

void BackendConnection::connect() {
  this->Channel =
      bufferevent_socket_new(this->Owner.Loop.base(), -1,
                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(
      this->Channel,
      [](bufferevent *, void *Self) {
        static_cast<BackendConnection *>(Self)->readMore();
      },
      nullptr,
      [](bufferevent *, short Events, void *Self) {
        static_cast<BackendConnection *>(Self)->event(Events);
      },
      this);
  const Result<sockaddr_in> Parsed = parseSocketAddress(this->Address);
  const timeval Limit = toTimeval(this->Order.ConnectTime);
  bufferevent_set_timeouts(this->Channel, nullptr, &Limit);
  if (Parsed)
    // A failure here is reported through the event callback as well.
    (void)bufferevent_socket_connect(
        this->Channel, reinterpret_cast<const sockaddr *>(&*Parsed),
        sizeof(*Parsed));
  else
    this->Owner.Loop.after(Duration(0), [&Owner = this->Owner, Id = this->Id] {
      if (const auto Found = Owner.Connections.find(Id);
          Found != Owner.Connections.end())
        Found->second->fail(SendFailure::NotSent, "bad address");
    });
}

void BackendConnection::start(SendId NewSend, BackendRequest NewOrder,
                              SendHandler &NewHandler) {
  this->Send = NewSend;
  this->Order = std::move(NewOrder);
  this->Handler = &NewHandler;
  this->HeadSeen = false;
  this->Skipping = false;
  this->Reusable = false;
  if (this->Connected)
    this->writeRequest();
  else
    this->connect();
}

void BackendConnection::writeRequest() {
  const RawRequest &Request = this->Order.Request;
  std::string Out;
  Out.reserve(512 + Request.Body.size());
  Out.append(Request.Method).append(" ").append(Request.Target);
  Out.append(" HTTP/1.1\r\n");
  for (const auto &[Name, Value] : Request.Headers)
    appendHeader(Out, Name, Value);
  if (!Request.Body.empty() || Request.Method == "POST" ||
      Request.Method == "PUT")
    appendHeader(Out, "Content-Length", std::to_string(Request.Body.size()));
  Out.append("\r\n").append(Request.Body);
  bufferevent_write(this->Channel, Out.data(), Out.size());
}

void BackendConnection::event(short Events) {
  if (Events & BEV_EVENT_CONNECTED) {
    this->Connected = true;
    tuneConnection(bufferevent_getfd(this->Channel));
    bufferevent_set_timeouts(this->Channel, nullptr, nullptr);
    bufferevent_enable(this->Channel, EV_READ | EV_WRITE);
    this->writeRequest();
    return;
  }
  if (!this->Connected) {
    this->fail(SendFailure::NotSent, Events & BEV_EVENT_TIMEOUT
                                         ? "connect timed out"
                                         : "connect failed");
    return;
  }
  if (this->Send == 0) {
    this->Owner.removed(*this);
    return;
  }
  // An answer without a length ends with an orderly close, not with a reset.
  if ((Events & BEV_EVENT_EOF) && this->HeadSeen) {
    this->InRead = true;
    const ReadOutcome Outcome = this->Reader.endOfStream();
    this->InRead = false;
    if (this->DestroyAfterRead) {
      this->Owner.removed(*this);
      return;
    }
    if (Outcome == ReadOutcome::Complete && !this->Skipping) {
      this->Reusable = false;
      this->answered();
      return;
    }
  }
  this->fail(this->HeadSeen ? SendFailure::AnswerTruncated
                            : SendFailure::Unanswered,
             Events & BEV_EVENT_EOF ? "closed by the server" : "reset");
}

void BackendConnection::readMore() {
  evbuffer *Input = bufferevent_get_input(this->Channel);
  if (this->Send == 0) {
    // Bytes that no request asked for; nothing after them can be trusted.
    this->Owner.removed(*this);
    return;
  }
  this->InRead = true;
  ReadOutcome Outcome = ReadOutcome::Partial;
  while (!this->DestroyAfterRead && evbuffer_get_length(Input) > 0) {
    const std::size_t Available = evbuffer_get_contiguous_space(Input);
    const auto *Bytes = reinterpret_cast<const char *>(
        evbuffer_pullup(Input, static_cast<ev_ssize_t>(Available)));
    const MessageReader::Step Step =
        this->Reader.feed(std::string_view(Bytes, Available));
    evbuffer_drain(Input, Step.Used);
    Outcome = Step.Outcome;
    if (Outcome == ReadOutcome::Complete && this->Skipping) {
      this->Skipping = false;
      this->HeadSeen = false;
      continue;
    }
    if (Outcome != ReadOutcome::Partial)
      break;
  }
  this->InRead = false;
  if (this->DestroyAfterRead) {
    this->Owner.removed(*this);
    return;
  }
  if (Outcome == ReadOutcome::Complete && !this->Skipping && this->HeadSeen) {
    if (evbuffer_get_length(Input) > 0)
      this->Reusable = false;
    this->answered();
  } else if (Outcome == ReadOutcome::Invalid) {
    this->fail(SendFailure::AnswerTruncated, "not an HTTP/1.1 answer");
  }
}

void BackendConnection::headRead(RawHead Head) {
  this->HeadSeen = true;
  this->Skipping = !this->Order.EchoHeader.empty() &&
                   !Head.header(this->Order.EchoHeader).empty() &&
                   Head.header(this->Order.EchoHeader) != this->Order.EchoValue;
  if (this->Skipping)
    return;
  this->Reusable = Head.KeepAlive;
  this->IdleLimit = readKeepAlive(Head.header("Keep-Alive"));
  this->Handler->answerHead(this->Send, Head);
}

void BackendConnection::bodyRead(std::string_view Bytes) {
  if (!this->Skipping && this->Send != 0)
    this->Handler->answerBody(this->Send, Bytes);
}

void BackendConnection::messageRead() {}

void BackendConnection::answered() {
  const SendId Ended = std::exchange(this->Send, 0);
  SendHandler *Told = this->Handler;
  TcpBackendChannels &Channels = this->Owner;
  Channels.Sends.erase(Ended);
  this->Order = BackendRequest();
  this->UsableUntil = Channels.Loop.clock().now() + this->IdleLimit;
  if (this->Reusable)
    Channels.becameIdle(*this);
  else
    Channels.removed(*this);
  Told->answerDone(Ended);
}

void BackendConnection::fail(SendFailure Failure, std::string_view Detail) {
  const SendId Ended = std::exchange(this->Send, 0);
  SendHandler *Told = this->Handler;
  this->Owner.Sends.erase(Ended);
  this->Owner.removed(*this);
  if (Ended != 0)
    Told->sendFailed(Ended, Failure, Detail);
}

bool BackendConnection::deferRemoval() {
  this->Send = 0;
  this->DestroyAfterRead = this->InRead;
  return this->InRead;
}

} // namespace turmericpass
