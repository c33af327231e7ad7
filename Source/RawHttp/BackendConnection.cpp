#include "RawHttp/BackendConnection.h"

#include "Loop/EventLoop.h"
#include "RawHttp/SocketOptions.h"

#include <cerrno>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <utility>

namespace turmericpass {

namespace {

constexpr std::size_t AnswerHeadBytes = std::size_t{64} << 10U;

/// How much of answers to earlier requests is skipped before the connection is
/// closed. A late answer is not larger than one that is accepted in time, but a
/// faulty server may send other bytes without end.
constexpr std::size_t MaxSkippedBytes = std::size_t{4} << 20U;

/// How long an idle connection is reused if the server does not announce its
/// idle timeout.
constexpr Duration DefaultIdleLimit = std::chrono::seconds(4);

/// Subtracted from the server's idle timeout, so that a request is not sent
/// while the server closes the connection.
constexpr Duration IdleMargin = std::chrono::milliseconds(800);

/// Returns how long an idle connection may be reused according to the value of
/// a Keep-Alive header, such as "timeout=5, max=100".
Duration readKeepAlive(std::string_view Value) {
  const std::size_t At = Value.find("timeout=");
  if (At == std::string_view::npos)
    return DefaultIdleLimit;
  int Seconds = 0;
  const char *Begin = Value.data() + At + 8;
  if (std::from_chars(Begin, Value.data() + Value.size(), Seconds).ec !=
      std::errc())
    return DefaultIdleLimit;
  const Duration ServerIdleTimeout = std::chrono::seconds(Seconds);
  return ServerIdleTimeout > IdleMargin ? ServerIdleTimeout - IdleMargin
                                        : Duration(0);
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
        static_cast<BackendConnection *>(Self)->handleInput();
      },
      nullptr,
      [](bufferevent *, short Events, void *Self) {
        auto &Connection = *static_cast<BackendConnection *>(Self);
        // The connection may be gone after the event.
        EventLoop &Loop = Connection.Owner.Loop;
        Loop.runProtected([&] { Connection.handleEvent(Events); });
      },
      this);
  const Result<sockaddr_in> Parsed = parseSocketAddress(this->Address);
  const timeval Limit = toTimeval(this->CurrentRequest.ConnectTime);
  bufferevent_set_timeouts(this->Channel, nullptr, &Limit);
  if (Parsed)
    // A failure is also reported through the event callback.
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

void BackendConnection::start(SendId Send, BackendRequest NewRequest,
                              SendHandler &NewHandler) {
  this->CurrentSend = Send;
  this->CurrentRequest = std::move(NewRequest);
  this->Reader.setWithoutBody(this->CurrentRequest.Request.Method == "HEAD");
  this->Handler = &NewHandler;
  this->HeadReceived = false;
  this->SkippingAnswer = false;
  this->SkippedBytes = 0;
  this->RejectionReason = {};
  this->BodyBytes = 0;
  this->Reusable = false;
  if (this->Connected)
    this->writeRequest();
  else
    this->connect();
}

void BackendConnection::writeRequest() {
  const std::string Bytes = formatRequest(this->CurrentRequest.Request);
  bufferevent_write(this->Channel, Bytes.data(), Bytes.size());
}

std::size_t BackendConnection::unsentBytes() const {
  return evbuffer_get_length(bufferevent_get_output(this->Channel));
}

bool BackendConnection::hasUnreadInput() const {
  char Byte = 0;
  const ssize_t Count =
      recv(bufferevent_getfd(this->Channel), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void BackendConnection::setReading(bool Reading) {
  if (!this->Connected)
    return;
  if (Reading)
    bufferevent_enable(this->Channel, EV_READ);
  else
    bufferevent_disable(this->Channel, EV_READ);
}

void BackendConnection::handleEvent(short Events) {
  if (Events & BEV_EVENT_CONNECTED) {
    this->Connected = true;
    setSocketOptions(bufferevent_getfd(this->Channel));
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
  if (this->CurrentSend == 0) {
    this->Owner.removeConnection(*this);
    return;
  }
  // An answer without a declared length ends when the server closes the
  // connection, but not when the connection is reset. If a write reports the
  // reset, the next read reports an end of the stream, and both arrive as one
  // event.
  const bool ClosedByServer =
      (Events & BEV_EVENT_EOF) && !(Events & BEV_EVENT_ERROR);
  if (ClosedByServer && this->HeadReceived) {
    this->ProcessingInput = true;
    const ReadOutcome Outcome = this->Reader.endOfStream();
    this->ProcessingInput = false;
    if (this->DestroyAfterInput) {
      this->Owner.removeConnection(*this);
      return;
    }
    if (Outcome == ReadOutcome::Complete && !this->SkippingAnswer) {
      this->Reusable = false;
      this->completeAnswer();
      return;
    }
  }
  this->fail(this->HeadReceived ? SendFailure::AnswerTruncated
                                : SendFailure::Unanswered,
             ClosedByServer ? "closed by the server" : "reset");
}

void BackendConnection::handleInput() {
  TcpBackendChannels &Channels = this->Owner;
  const std::uint64_t OwnId = this->Id;
  if (Channels.Loop.runProtected([this] { this->processInput(); }))
    return;
  // Other connections are not affected by an error of this one.
  const auto Found = Channels.Connections.find(OwnId);
  if (Found == Channels.Connections.end())
    return;
  this->ProcessingInput = false;
  this->fail(SendFailure::AnswerTruncated, "the answer could not be processed");
}

void BackendConnection::processInput() {
  evbuffer *Input = bufferevent_get_input(this->Channel);
  if (this->CurrentSend == 0) {
    // The server sent bytes while no request was in flight, so later bytes can
    // not be assigned to a request reliably.
    this->Owner.removeConnection(*this);
    return;
  }
  this->ProcessingInput = true;
  ReadOutcome Outcome = ReadOutcome::Partial;
  while (!this->DestroyAfterInput && evbuffer_get_length(Input) > 0) {
    const std::size_t Available = evbuffer_get_contiguous_space(Input);
    const auto *Bytes = reinterpret_cast<const char *>(
        evbuffer_pullup(Input, static_cast<ev_ssize_t>(Available)));
    const MessageReader::Step Step =
        this->Reader.feed(std::string_view(Bytes, Available));
    evbuffer_drain(Input, Step.Consumed);
    if (this->SkippingAnswer) {
      this->SkippedBytes += Step.Consumed;
      if (this->SkippedBytes > MaxSkippedBytes)
        this->RejectionReason = "too many bytes that belong to other requests";
    }
    Outcome =
        this->RejectionReason.empty() ? Step.Outcome : ReadOutcome::Invalid;
    if (Outcome == ReadOutcome::Complete && this->SkippingAnswer) {
      this->SkippingAnswer = false;
      this->HeadReceived = false;
      continue;
    }
    if (Outcome != ReadOutcome::Partial)
      break;
  }
  this->ProcessingInput = false;
  if (this->DestroyAfterInput) {
    this->Owner.removeConnection(*this);
    return;
  }
  if (Outcome == ReadOutcome::Complete && !this->SkippingAnswer &&
      this->HeadReceived) {
    if (evbuffer_get_length(Input) > 0)
      this->Reusable = false;
    this->completeAnswer();
  } else if (Outcome == ReadOutcome::Invalid) {
    this->fail(SendFailure::AnswerTruncated, this->RejectionReason.empty()
                                                 ? "not an HTTP/1.1 answer"
                                                 : this->RejectionReason);
  }
}

void BackendConnection::onHead(RawHead Head) {
  this->HeadReceived = true;
  const std::string_view Echo =
      this->CurrentRequest.EchoHeader.empty()
          ? std::string_view()
          : Head.header(this->CurrentRequest.EchoHeader);
  const bool IsUnidentified =
      Echo.empty() && !this->CurrentRequest.EchoHeader.empty() &&
      (this->ServerEchoes || this->CarriedUnnamedRequest);
  if (IsUnidentified)
    this->RejectionReason = "the answer does not name its request";
  this->SkippingAnswer =
      IsUnidentified ||
      (!Echo.empty() && Echo != this->CurrentRequest.EchoValue);
  this->ServerEchoes = this->ServerEchoes || !Echo.empty();
  if (this->SkippingAnswer)
    return;
  this->Reusable = Head.KeepAlive;
  this->IdleLimit = readKeepAlive(Head.header("Keep-Alive"));
  this->Handler->answerHead(this->CurrentSend, Head);
}

void BackendConnection::onBody(std::string_view Bytes) {
  if (this->SkippingAnswer || this->CurrentSend == 0)
    return;
  this->BodyBytes += Bytes.size();
  if (this->CurrentRequest.MaxBodyBytes != 0 &&
      this->BodyBytes > this->CurrentRequest.MaxBodyBytes)
    this->RejectionReason = "the answer is too large";
  else
    this->Handler->answerBody(this->CurrentSend, Bytes);
}

void BackendConnection::onMessageComplete() {}

void BackendConnection::completeAnswer() {
  const SendId EndedSend = std::exchange(this->CurrentSend, 0);
  SendHandler *Receiver = this->Handler;
  TcpBackendChannels &Channels = this->Owner;
  Channels.Sends.erase(EndedSend);
  this->CarriedUnnamedRequest = this->CarriedUnnamedRequest ||
                                this->CurrentRequest.EchoHeader.empty() ||
                                this->CurrentRequest.EchoValue.empty();
  this->CurrentRequest = BackendRequest();
  this->UsableUntil = Channels.Loop.clock().now() + this->IdleLimit;
  // The server's end of the connection is noticed by reading.
  this->setReading(true);
  if (this->Reusable)
    Channels.addIdleConnection(*this);
  else
    Channels.removeConnection(*this);
  Receiver->answerDone(EndedSend);
}

void BackendConnection::fail(SendFailure Failure, std::string_view Detail) {
  const SendId EndedSend = std::exchange(this->CurrentSend, 0);
  SendHandler *Receiver = this->Handler;
  this->Owner.Sends.erase(EndedSend);
  this->Owner.removeConnection(*this);
  if (EndedSend != 0)
    Receiver->sendFailed(EndedSend, Failure, Detail);
}

bool BackendConnection::deferRemoval() {
  this->CurrentSend = 0;
  this->DestroyAfterInput = this->ProcessingInput;
  return this->ProcessingInput;
}

} // namespace turmericpass
