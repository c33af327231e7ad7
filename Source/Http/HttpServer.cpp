#include "Http/HttpServer.h"

#include "Http/EvhttpSupport.h"
#include "Loop/EventLoop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace turmericpass {

struct HttpServer::Exchange {
  HttpServer *Owner = nullptr;
  ExchangeId Id = 0;
  evhttp_request *Request = nullptr;
  /// Kept here because evhttp takes it from the request when it breaks.
  evhttp_connection *Connection = nullptr;
  bool Streaming = false;
  /// Set while the connection is to be broken once its output is empty.
  evbuffer_cb_entry *WriteWatch = nullptr;
};

namespace {

constexpr int MaxConnectionIdleSeconds = 600;

void disableNagle(evhttp_connection *Connection) {
  const int On = 1;
  const int Socket =
      bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

evbuffer *outputOf(evhttp_connection *Connection) {
  return bufferevent_get_output(evhttp_connection_get_bufferevent(Connection));
}

/// evhttp frees the connection when it sees the end of the input; freeing it
/// here would be unsafe from its own callback.
void breakConnection(evhttp_connection *Connection) {
  shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(Connection)),
           SHUT_RDWR);
}

/// Bounds what a caller may send ahead while its request is answered, in bytes.
constexpr std::size_t MaxReadAhead = std::size_t{64} << 10U;

/// Makes evhttp see the end of a connection whose answer has not started. It
/// stops reading after a request otherwise, so a caller that left would be
/// noticed at the first byte of its answer.
void watchForEnd(evhttp_connection *Connection) {
  bufferevent *Buffered = evhttp_connection_get_bufferevent(Connection);
  bufferevent_data_cb Write = nullptr;
  bufferevent_event_cb Event = nullptr;
  void *Context = nullptr;
  bufferevent_getcb(Buffered, nullptr, &Write, &Event, &Context);
  // evhttp's read callback stops the process in this state; it sets it again
  // before it reads the next request, which stays in the buffer until then.
  bufferevent_setcb(Buffered, nullptr, Write, Event, Context);
  bufferevent_setwatermark(Buffered, EV_READ, 0, MaxReadAhead);
  bufferevent_enable(Buffered, EV_READ);
}

void stopWatching(evhttp_connection *Connection) {
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(Connection),
                           EV_READ, 0, 0);
}

/// evhttp takes an unanswered request off a connection that breaks and leaves
/// it to its handler to free. In other cases it frees the request itself.
void freeIfDetached(evhttp_request *Request) {
  if (!evhttp_request_get_connection(Request))
    evhttp_request_free(Request);
}

HttpRequest readRequest(evhttp_request *Request) {
  HttpRequest Read;
  Read.Method = methodName(Request);
  const std::string Uri = evhttp_request_get_uri(Request);
  const std::size_t Question = Uri.find('?');
  Read.Path = Uri.substr(0, Question);
  if (Question != std::string::npos)
    Read.Query = Uri.substr(Question + 1);
  Read.Headers = copyHeaders(evhttp_request_get_input_headers(Request));
  Read.Body = drainBuffer(evhttp_request_get_input_buffer(Request));
  return Read;
}

} // namespace

HttpServer::HttpServer(EventLoop &Loop, HttpLimits Limits)
    : Server(evhttp_new(Loop.base())) {
  evhttp_set_max_headers_size(this->Server,
                              static_cast<ev_ssize_t>(Limits.HeaderBytes));
  evhttp_set_max_body_size(this->Server,
                           static_cast<ev_ssize_t>(Limits.BodyBytes));
  evhttp_set_timeout(this->Server, MaxConnectionIdleSeconds);
  evhttp_set_allowed_methods(
      this->Server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                        EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                        EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
  evhttp_set_gencb(this->Server, &handleRequest, this);
}

HttpServer::~HttpServer() {
  // Freeing the server closes its connections, and the close callbacks must
  // not reach exchanges that are gone.
  for (auto *Open : {&this->Exchanges, &this->Leaving})
    for (auto &[Id, Entry] : *Open)
      evhttp_connection_set_closecb(Entry->Connection, nullptr, nullptr);
  evhttp_free(this->Server);
}

Result<std::uint16_t> HttpServer::listen(const std::string &Address,
                                         std::uint16_t Port) {
  this->Bound =
      evhttp_bind_socket_with_handle(this->Server, Address.c_str(), Port);
  if (!this->Bound)
    return failure(ErrorCode::Unavailable,
                   "Cannot listen on " + Address + ":" + std::to_string(Port) +
                       "; choose a free port or stop the process that has it.");
  sockaddr_in Name{};
  socklen_t Size = sizeof(Name);
  getsockname(evhttp_bound_socket_get_fd(this->Bound),
              reinterpret_cast<sockaddr *>(&Name), &Size);
  return ntohs(Name.sin_port);
}

void HttpServer::setBodyLimit(std::size_t Bytes) {
  evhttp_set_max_body_size(this->Server, static_cast<ev_ssize_t>(Bytes));
}

void HttpServer::handleRequest(evhttp_request *Request, void *Context) {
  auto *Self = static_cast<HttpServer *>(Context);
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  if (!Connection)
    return;
  disableNagle(Connection);
  auto Opened = std::make_unique<Exchange>();
  Opened->Owner = Self;
  Opened->Id = Self->NextId++;
  Opened->Request = Request;
  Opened->Connection = Connection;
  evhttp_connection_set_closecb(Connection, &handleClose, Opened.get());
  watchForEnd(Connection);
  const ExchangeId Id = Opened->Id;
  Self->Exchanges.emplace(Id, std::move(Opened));
  if (Self->RequestHandler)
    Self->RequestHandler(Id, readRequest(Request));
}

void HttpServer::handleClose(evhttp_connection *, void *Context) {
  auto *Closed = static_cast<Exchange *>(Context);
  HttpServer *Self = Closed->Owner;
  const ExchangeId Id = Closed->Id;
  if (Closed->WriteWatch)
    evbuffer_remove_cb_entry(outputOf(Closed->Connection), Closed->WriteWatch);
  freeIfDetached(Closed->Request);
  if (Self->Leaving.erase(Id) > 0)
    return;
  Self->Exchanges.erase(Id);
  if (Self->DepartedHandler)
    Self->DepartedHandler(Id);
}

void HttpServer::handleComplete(evhttp_request *Request, void *Context) {
  auto *Ended = static_cast<Exchange *>(Context);
  evhttp_connection_set_closecb(evhttp_request_get_connection(Request), nullptr,
                                nullptr);
  Ended->Owner->Leaving.erase(Ended->Id);
}

void HttpServer::handleWritten(evbuffer *Buffer, const evbuffer_cb_info *,
                               void *Context) {
  if (evbuffer_get_length(Buffer) == 0)
    breakConnection(static_cast<Exchange *>(Context)->Connection);
}

HttpServer::Exchange *HttpServer::find(ExchangeId Id) {
  const auto Found = this->Exchanges.find(Id);
  return Found == this->Exchanges.end() ? nullptr : Found->second.get();
}

HttpServer::Exchange *HttpServer::finish(ExchangeId Id) {
  auto Node = this->Exchanges.extract(Id);
  Exchange *Ended = Node.mapped().get();
  this->Leaving.insert(std::move(Node));
  evhttp_request_set_on_complete_cb(Ended->Request, &handleComplete, Ended);
  stopWatching(Ended->Connection);
  return Ended;
}

void HttpServer::reply(ExchangeId Id, HttpReply Reply) {
  Exchange *Open = this->find(Id);
  if (!Open || Open->Streaming)
    return;
  evhttp_request *Request = Open->Request;
  this->finish(Id);
  addHeaders(evhttp_request_get_output_headers(Request), Reply.Headers);
  evbuffer *Body = evbuffer_new();
  evbuffer_add(Body, Reply.Body.data(), Reply.Body.size());
  evhttp_send_reply(Request, Reply.Status, nullptr, Body);
  evbuffer_free(Body);
}

void HttpServer::startStream(ExchangeId Id, int Status,
                             const HttpHeaders &Headers) {
  Exchange *Open = this->find(Id);
  if (!Open || Open->Streaming)
    return;
  Open->Streaming = true;
  addHeaders(evhttp_request_get_output_headers(Open->Request), Headers);
  evhttp_send_reply_start(Open->Request, Status, nullptr);
}

void HttpServer::sendPiece(ExchangeId Id, std::string_view Bytes) {
  Exchange *Open = this->find(Id);
  if (!Open || !Open->Streaming || Bytes.empty())
    return;
  evbuffer *Piece = evbuffer_new();
  evbuffer_add(Piece, Bytes.data(), Bytes.size());
  evhttp_send_reply_chunk(Open->Request, Piece);
  evbuffer_free(Piece);
}

void HttpServer::endStream(ExchangeId Id) {
  Exchange *Open = this->find(Id);
  if (!Open || !Open->Streaming)
    return;
  evhttp_request *Request = Open->Request;
  this->finish(Id);
  evhttp_send_reply_end(Request);
}

void HttpServer::abort(ExchangeId Id) {
  if (this->find(Id))
    breakConnection(this->finish(Id)->Connection);
}

void HttpServer::abortAfterFlush(ExchangeId Id) {
  if (!this->find(Id))
    return;
  Exchange *Ended = this->finish(Id);
  evbuffer *Output = outputOf(Ended->Connection);
  if (evbuffer_get_length(Output) == 0)
    breakConnection(Ended->Connection);
  else
    Ended->WriteWatch = evbuffer_add_cb(Output, &handleWritten, Ended);
}

std::size_t HttpServer::pendingBytes(ExchangeId Id) {
  const Exchange *Open = this->find(Id);
  return Open ? evbuffer_get_length(outputOf(Open->Connection)) : 0;
}

void HttpServer::stopListening() {
  if (!this->Bound)
    return;
  evhttp_del_accept_socket(this->Server, this->Bound);
  this->Bound = nullptr;
}

} // namespace turmericpass
