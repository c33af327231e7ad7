#include "RawHttp/CallerConnection.h"

#include "Loop/EventLoop.h"
#include "RawHttp/SocketOptions.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace turmericpass {

namespace {

/// How long a connection is kept open after its last answer, so that the caller
/// can read the answer and close. An earlier close could reset the connection
/// before the answer is read.
constexpr Duration LingerTime = std::chrono::seconds(1);

/// When fewer bytes than this wait to be sent, the handler may send more.
constexpr std::size_t OutputLowMark = std::size_t{32} << 10U;

/// The number of bytes of a body that count as progress. A caller that sends a
/// byte now and then would otherwise hold its request forever.
constexpr std::size_t MinProgressBytes = 512;

constexpr int RequestTimeoutStatus = 408;
constexpr int BadRequestStatus = 400;
constexpr int BodyTooLargeStatus = 413;

/// Adds the change of a buffer to the sum at \p Total.
void countUnsent(evbuffer *, const evbuffer_cb_info *Change, void *Total) {
  *static_cast<std::size_t *>(Total) += Change->n_added - Change->n_deleted;
}

} // namespace

CallerConnection::CallerConnection(CallerServer &Server, std::uint64_t Id,
                                   int Descriptor)
    : Server(Server), Id(Id),
      Channel(bufferevent_socket_new(Server.Loop.base(), Descriptor,
                                     BEV_OPT_CLOSE_ON_FREE |
                                         BEV_OPT_DEFER_CALLBACKS)),
      Reader(MessageReader::Kind::Requests, Server.Limits.HeaderBytes, *this),
      LastProgress(Server.Loop.clock().now()), Output(LastProgress) {
  setSocketOptions(Descriptor);
  bufferevent_setcb(
      this->Channel,
      [](bufferevent *, void *Self) {
        static_cast<CallerConnection *>(Self)->handleInput();
      },
      [](bufferevent *, void *Self) {
        auto &Connection = *static_cast<CallerConnection *>(Self);
        // The connection may be gone after the event.
        EventLoop &Loop = Connection.Server.Loop;
        Loop.runProtected([&] { Connection.handleOutputWritten(); });
      },
      [](bufferevent *, short Events, void *Self) {
        auto &Connection = *static_cast<CallerConnection *>(Self);
        EventLoop &Loop = Connection.Server.Loop;
        if (Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
          Loop.runProtected([&] { Connection.handleEnd(Events); });
      },
      this);
  bufferevent_setwatermark(this->Channel, EV_WRITE, OutputLowMark, 0);
  evbuffer_add_cb(bufferevent_get_output(this->Channel), countUnsent,
                  &Server.TotalUnsent);
  bufferevent_enable(this->Channel, EV_READ | EV_WRITE);
}

CallerConnection::~CallerConnection() {
  this->Server.TotalUnsent -= this->unsentBytes();
  // libevent may free the buffer later.
  evbuffer_remove_cb(bufferevent_get_output(this->Channel), countUnsent,
                     &this->Server.TotalUnsent);
  bufferevent_free(this->Channel);
}

bool CallerConnection::hasPartOfRequest() const {
  return this->CurrentPhase == Phase::Reading &&
         (this->Reader.isInsideMessage() ||
          evbuffer_get_length(bufferevent_get_input(this->Channel)) > 0);
}

bool CallerConnection::isIdle() {
  if (this->CurrentPhase != Phase::Reading || this->hasPartOfRequest())
    return false;
  this->recordTaken(this->Server.Loop.clock().now());
  return this->Output.isAllTaken();
}

void CallerConnection::handleInput() {
  CallerServer &Owner = this->Server;
  const std::uint64_t OwnId = this->Id;
  if (Owner.Loop.runProtected([this] { this->processInput(); }) ||
      !Owner.Connections.contains(OwnId))
    return;
  // Other connections are not affected by an error of this one. The request
  // may have run, so the connection is closed without an answer.
  this->ProcessingInput = false;
  this->handleDisconnect();
}

void CallerConnection::processInput() {
  evbuffer *Input = bufferevent_get_input(this->Channel);
  if (this->CurrentPhase == Phase::Lingering ||
      this->CurrentPhase == Phase::Closing) {
    evbuffer_drain(Input, evbuffer_get_length(Input));
    return;
  }
  this->ProcessingInput = true;
  while (this->CurrentPhase == Phase::Reading &&
         evbuffer_get_length(Input) > 0) {
    if (!this->Reader.isInsideMessage())
      this->LastProgress = this->Server.Loop.clock().now();
    const std::size_t Available = evbuffer_get_contiguous_space(Input);
    const auto *Bytes = reinterpret_cast<const char *>(
        evbuffer_pullup(Input, static_cast<ev_ssize_t>(Available)));
    const MessageReader::Step Step =
        this->Reader.feed(std::string_view(Bytes, Available));
    evbuffer_drain(Input, Step.Consumed);
    // The rest of a body that is too large may be of any length.
    if (Step.Outcome == ReadOutcome::Invalid ||
        (this->TooLarge && this->CurrentPhase == Phase::Reading)) {
      this->rejectRequest(this->TooLarge ? BodyTooLargeStatus
                                         : BadRequestStatus);
      break;
    }
  }
  this->ProcessingInput = false;
  if (this->DestroyAfterInput)
    this->destroy();
}

void CallerConnection::onHead(RawHead Head) {
  this->Request.Method = std::move(Head.Method);
  this->Request.Target = std::move(Head.Target);
  this->Request.Headers = std::move(Head.Headers);
  this->CallerKeepsAlive = Head.KeepAlive;
  this->BytesSinceProgress = 0;
  this->LastProgress = this->Server.Loop.clock().now();
  this->TooLarge =
      Head.ContentLength.value_or(0) > this->Server.Limits.BodyBytes;
}

void CallerConnection::onBody(std::string_view Bytes) {
  if (this->Request.Body.size() + Bytes.size() > this->Server.Limits.BodyBytes)
    this->TooLarge = true;
  if (!this->TooLarge)
    this->Request.Body.append(Bytes);
  this->BytesSinceProgress += Bytes.size();
  if (this->BytesSinceProgress >= MinProgressBytes) {
    this->BytesSinceProgress = 0;
    this->LastProgress = this->Server.Loop.clock().now();
  }
}

void CallerConnection::onMessageComplete() {
  if (this->TooLarge) {
    this->rejectRequest(BodyTooLargeStatus);
    return;
  }
  this->CurrentPhase = Phase::Answering;
  this->CurrentRequest = this->Server.NextRequest++;
  this->Server.Requests.emplace(this->CurrentRequest, this->Id);
  this->IsHeadMethod = this->Request.Method == "HEAD";
  this->Server.Handler.requestReceived(this->CurrentRequest,
                                       std::exchange(this->Request, {}));
}

void CallerConnection::rejectRequest(int Status) {
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
  this->write(Out);
}

void CallerConnection::write(std::string_view Bytes) {
  this->Output.recordWritten(Bytes.size(), this->Server.Loop.clock().now());
  bufferevent_write(this->Channel, Bytes.data(), Bytes.size());
}

void CallerConnection::sendPiece(std::string_view Bytes) {
  if (Bytes.empty() || this->IsHeadMethod)
    return;
  if (!this->Chunked) {
    this->write(Bytes);
    return;
  }
  std::array<char, 2 * sizeof(std::size_t)> Size;
  const char *End =
      std::to_chars(Size.begin(), Size.end(), Bytes.size(), 16).ptr;
  this->write(std::string_view(Size.data(), End));
  this->write("\r\n");
  this->write(Bytes);
  this->write("\r\n");
}

std::size_t CallerConnection::unsentBytes() const {
  return evbuffer_get_length(bufferevent_get_output(this->Channel));
}

void CallerConnection::finish() {
  if (this->Chunked && !this->IsHeadMethod)
    this->write("0\r\n\r\n");
  this->Server.Requests.erase(this->CurrentRequest);
  this->CurrentRequest = 0;
  this->LastProgress = this->Server.Loop.clock().now();
  if (!this->CallerKeepsAlive || this->Server.Draining) {
    this->CurrentPhase = Phase::Closing;
    return;
  }
  this->CurrentPhase = Phase::Reading;
  // Input that was received while the request was answered triggers no further
  // read event.
  if (evbuffer_get_length(bufferevent_get_input(this->Channel)) > 0 &&
      !this->ProcessingInput)
    bufferevent_trigger(this->Channel, EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

void CallerConnection::handleOutputWritten() {
  // libevent calls this for the first time when the connection opens, before
  // anything is written.
  if (this->CurrentPhase == Phase::Closing && this->unsentBytes() == 0)
    this->closeGracefully();
  else if (this->CurrentPhase == Phase::Answering)
    this->Server.Handler.callerCaughtUp(this->CurrentRequest);
}

void CallerConnection::closeGracefully() {
  shutdown(bufferevent_getfd(this->Channel), SHUT_WR);
  this->CurrentPhase = Phase::Lingering;
  this->LastProgress = this->Server.Loop.clock().now();
}

void CallerConnection::abortAnswer() {
  this->Server.Requests.erase(this->CurrentRequest);
  this->CurrentRequest = 0;
  this->destroy();
}

PeerState CallerConnection::recordTaken(Instant Now) {
  PeerState Peer;
  if (this->Output.isAllTaken())
    return Peer;
  Peer = readPeerState(bufferevent_getfd(this->Channel));
  this->Output.recordUntaken(this->unsentBytes() + Peer.Unacknowledged, Now);
  return Peer;
}

bool CallerConnection::closeIfUnread(Instant Now) {
  const PeerState Peer = this->recordTaken(Now);
  const bool HasOutput = !this->Output.isAllTaken();
  if (this->WaitsForReader != HasOutput) {
    this->WaitsForReader = HasOutput;
    setUnreadTime(bufferevent_getfd(this->Channel),
                  HasOutput ? std::optional(OutputProgress::UnreadTime)
                            : std::nullopt);
  }
  if (!this->Output.hasStopped(Now) && !Peer.isUnresponsive())
    return false;
  this->handleDisconnect();
  return true;
}

void CallerConnection::applyTimeLimits(Instant Now) {
  if (this->closeIfUnread(Now) || !this->Output.isAllTaken())
    return;
  const Duration SinceProgress =
      Now - std::max(this->LastProgress, this->Output.lastTakenAt());
  const CallerLimits &Limits = this->Server.Limits;
  if (this->CurrentPhase == Phase::Lingering) {
    if (SinceProgress >= LingerTime)
      this->destroy();
  } else if (this->hasPartOfRequest()) {
    if (SinceProgress >= Limits.RequestTime)
      this->rejectRequest(RequestTimeoutStatus);
  } else if (this->CurrentPhase == Phase::Reading &&
             SinceProgress >= Limits.IdleTime) {
    this->closeGracefully();
  }
}

void CallerConnection::handleEnd(short Events) {
  // A caller may close its sending side and still read.
  const bool MayStillRead = !(Events & BEV_EVENT_ERROR) &&
                            this->unsentBytes() > 0 &&
                            (this->CurrentPhase == Phase::Reading ||
                             this->CurrentPhase == Phase::Closing);
  if (MayStillRead)
    this->CurrentPhase = Phase::Closing;
  else
    this->handleDisconnect();
}

void CallerConnection::handleDisconnect() {
  const CallerId Abandoned = std::exchange(this->CurrentRequest, 0);
  CallerServer &Owner = this->Server;
  this->destroy();
  if (Abandoned == 0)
    return;
  Owner.Requests.erase(Abandoned);
  Owner.Handler.callerDisconnected(Abandoned);
}

void CallerConnection::destroy() {
  if (this->ProcessingInput) {
    this->DestroyAfterInput = true;
    this->CurrentPhase = Phase::Lingering;
    return;
  }
  this->Server.Connections.erase(this->Id);
}

} // namespace turmericpass
