#include "RawHttp/CallerConnection.h"

#include "Loop/EventLoop.h"
#include "RawHttp/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace turmericpass {

namespace {

/// How long a connection is kept after its last answer so that the caller can
/// read that answer and close; an earlier close could reset it.
constexpr Duration LingerTime = std::chrono::seconds(1);

constexpr int RequestTimeoutStatus = 408;
constexpr int BadRequestStatus = 400;
constexpr int BodyTooLargeStatus = 413;

} // namespace

CallerConnection::CallerConnection(CallerServer &Server, std::uint64_t Id,
                                   int Descriptor)
    : Server(Server), Id(Id),
      Channel(bufferevent_socket_new(Server.Loop.base(), Descriptor,
                                     BEV_OPT_CLOSE_ON_FREE |
                                         BEV_OPT_DEFER_CALLBACKS)),
      Reader(MessageReader::Kind::Requests, Server.Limits.HeaderBytes, *this),
      LastProgress(Server.Loop.clock().now()) {
  tuneConnection(Descriptor);
  bufferevent_setcb(
      this->Channel,
      [](bufferevent *, void *Self) {
        static_cast<CallerConnection *>(Self)->readMore();
      },
      [](bufferevent *, void *Self) {
        static_cast<CallerConnection *>(Self)->written();
      },
      [](bufferevent *, short Events, void *Self) {
        if (Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
          static_cast<CallerConnection *>(Self)->ended();
      },
      this);
  bufferevent_enable(this->Channel, EV_READ | EV_WRITE);
}

CallerConnection::~CallerConnection() { bufferevent_free(this->Channel); }

bool CallerConnection::isIdle() const {
  return this->Now == Phase::Reading && !this->Reader.insideMessage() &&
         evbuffer_get_length(bufferevent_get_input(this->Channel)) == 0;
}

void CallerConnection::readMore() {
  evbuffer *Input = bufferevent_get_input(this->Channel);
  if (this->Now == Phase::Lingering || this->Now == Phase::Closing) {
    evbuffer_drain(Input, evbuffer_get_length(Input));
    return;
  }
  this->InRead = true;
  while (this->Now == Phase::Reading && evbuffer_get_length(Input) > 0) {
    this->LastProgress = this->Server.Loop.clock().now();
    const std::size_t Available = evbuffer_get_contiguous_space(Input);
    const auto *Bytes = reinterpret_cast<const char *>(
        evbuffer_pullup(Input, static_cast<ev_ssize_t>(Available)));
    const MessageReader::Step Step =
        this->Reader.feed(std::string_view(Bytes, Available));
    evbuffer_drain(Input, Step.Used);
    if (Step.Outcome == ReadOutcome::Invalid) {
      this->refuse(this->TooLarge ? BodyTooLargeStatus : BadRequestStatus);
      break;
    }
  }
  this->InRead = false;
  if (this->DestroyAfterRead)
    this->destroy();
}

void CallerConnection::headRead(RawHead Head) {
  this->Request.Method = std::move(Head.Method);
  this->Request.Target = std::move(Head.Target);
  this->Request.Headers = std::move(Head.Headers);
  this->CallerKeepsAlive = Head.KeepAlive;
  this->TooLarge =
      Head.ContentLength.value_or(0) > this->Server.Limits.BodyBytes;
}

void CallerConnection::bodyRead(std::string_view Bytes) {
  if (this->Request.Body.size() + Bytes.size() > this->Server.Limits.BodyBytes)
    this->TooLarge = true;
  if (!this->TooLarge)
    this->Request.Body.append(Bytes);
}

void CallerConnection::messageRead() {
  if (this->TooLarge) {
    this->refuse(BodyTooLargeStatus);
    return;
  }
  this->Now = Phase::Answering;
  this->Current = this->Server.NextRequest++;
  this->Server.Requests.emplace(this->Current, this->Id);
  this->IsHeadMethod = this->Request.Method == "HEAD";
  this->Server.Handler.requested(this->Current,
                                 std::exchange(this->Request, {}));
}

void CallerConnection::refuse(int Status) {
  this->CallerKeepsAlive = false;
  this->sendHead(Status, {}, 0);
  this->finish();
}

void CallerConnection::sendHead(int Status, const HttpHeaders &Headers,
                                std::optional<std::uint64_t> Length) {
  std::string Out = "HTTP/1.1 " + std::to_string(Status) + " ";
  Out.append(reasonPhrase(Status)).append("\r\n");
  for (const auto &[Name, Value] : Headers)
    appendHeader(Out, Name, Value);
  this->Chunked = !Length;
  if (Length)
    appendHeader(Out, "Content-Length", std::to_string(*Length));
  else
    appendHeader(Out, "Transfer-Encoding", "chunked");
  if (this->Server.Draining)
    this->CallerKeepsAlive = false;
  if (!this->CallerKeepsAlive)
    appendHeader(Out, "Connection", "close");
  Out += "\r\n";
  bufferevent_write(this->Channel, Out.data(), Out.size());
}

void CallerConnection::sendPiece(std::string_view Bytes) {
  if (Bytes.empty() || this->IsHeadMethod)
    return;
  evbuffer *Output = bufferevent_get_output(this->Channel);
  if (!this->Chunked) {
    evbuffer_add(Output, Bytes.data(), Bytes.size());
    return;
  }
  evbuffer_add_printf(Output, "%zx\r\n", Bytes.size());
  evbuffer_add(Output, Bytes.data(), Bytes.size());
  evbuffer_add(Output, "\r\n", 2);
}

void CallerConnection::finish() {
  if (this->Chunked && !this->IsHeadMethod)
    bufferevent_write(this->Channel, "0\r\n\r\n", 5);
  this->Server.Requests.erase(this->Current);
  this->Current = 0;
  this->LastProgress = this->Server.Loop.clock().now();
  if (!this->CallerKeepsAlive || this->Server.Draining) {
    this->Now = Phase::Closing;
    return;
  }
  this->Now = Phase::Reading;
  // A request that came meanwhile raises no event of its own.
  if (evbuffer_get_length(bufferevent_get_input(this->Channel)) > 0 &&
      !this->InRead)
    bufferevent_trigger(this->Channel, EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

void CallerConnection::written() {
  // The first call comes when the connection opens, before anything is written.
  if (this->Now == Phase::Closing &&
      evbuffer_get_length(bufferevent_get_output(this->Channel)) == 0)
    this->closeInOrder();
}

void CallerConnection::closeInOrder() {
  shutdown(bufferevent_getfd(this->Channel), SHUT_WR);
  this->Now = Phase::Lingering;
  this->LastProgress = this->Server.Loop.clock().now();
}

void CallerConnection::abortAnswer() {
  this->Server.Requests.erase(this->Current);
  this->Current = 0;
  this->destroy();
}

void CallerConnection::sweep(Instant At) {
  const Duration Silent = At - this->LastProgress;
  const CallerLimits &Limits = this->Server.Limits;
  if (this->Now == Phase::Lingering) {
    if (Silent >= LingerTime)
      this->destroy();
  } else if (this->isIdle()) {
    if (Silent >= Limits.IdleTime)
      this->closeInOrder();
  } else if (this->Now == Phase::Reading && Silent >= Limits.RequestTime) {
    this->refuse(RequestTimeoutStatus);
  }
}

void CallerConnection::ended() {
  const CallerId Abandoned = std::exchange(this->Current, 0);
  CallerServer &Owner = this->Server;
  this->destroy();
  if (Abandoned == 0)
    return;
  Owner.Requests.erase(Abandoned);
  Owner.Handler.callerDisconnected(Abandoned);
}

void CallerConnection::destroy() {
  if (this->InRead) {
    this->DestroyAfterRead = true;
    this->Now = Phase::Lingering;
    return;
  }
  this->Server.Connections.erase(this->Id);
}

} // namespace turmericpass
