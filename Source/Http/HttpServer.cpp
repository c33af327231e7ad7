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
  /// Stored here because evhttp clears it in the request when the connection is
  /// lost.
  evhttp_connection *Connection = nullptr;
  bool Streaming = false;
  /// Set if the connection is to be closed when its output is written.
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

/// Shuts the connection down; evhttp frees it at the end of the input. The
/// connection is not freed here, since this may run in one of its callbacks.
void breakConnection(evhttp_connection *Connection) {
  shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(Connection)),
           SHUT_RDWR);
}

/// Limits the bytes that are read of further requests while a request is
/// answered.
constexpr std::size_t MaxReadAhead = std::size_t{64} << 10U;

/// Makes evhttp detect that a caller disconnects before its answer starts.
/// Otherwise evhttp stops reading after a request and detects the disconnect
/// only when the first byte of the answer is written.
void watchForDisconnect(evhttp_connection *Connection) {
  bufferevent *Buffered = evhttp_connection_get_bufferevent(Connection);
  bufferevent_data_cb Write = nullptr;
  bufferevent_event_cb Event = nullptr;
  void *Context = nullptr;
  bufferevent_getcb(Buffered, nullptr, &Write, &Event, &Context);
  // evhttp's read callback aborts the process in this state. evhttp installs
  // the callback again before it reads the next request, which stays in the
  // buffer until then.
  bufferevent_setcb(Buffered, nullptr, Write, Event, Context);
  bufferevent_setwatermark(Buffered, EV_READ, 0, MaxReadAhead);
  bufferevent_enable(Buffered, EV_READ);
}

void stopWatchingForDisconnect(evhttp_connection *Connection) {
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(Connection),
                           EV_READ, 0, 0);
}

/// When a connection is lost, evhttp detaches an unanswered request from it and
/// expects the handler to free the request. In other cases evhttp frees the
/// request itself.
void freeIfDetached(evhttp_request *Request) {
  if (!evhttp_request_get_connection(Request))
    evhttp_request_free(Request);
}

HttpRequest readRequest(evhttp_request *Request) {
  HttpRequest Result;
  Result.Method = methodName(Request);
  const std::string Uri = evhttp_request_get_uri(Request);
  const std::size_t Question = Uri.find('?');
  Result.Path = Uri.substr(0, Question);
  if (Question != std::string::npos)
    Result.Query = Uri.substr(Question + 1);
  Result.Headers = copyHeaders(evhttp_request_get_input_headers(Request));
  Result.Body = drainBuffer(evhttp_request_get_input_buffer(Request));
  return Result;
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
  // Freeing the server closes its connections. The close callbacks must not
  // access exchanges that are destroyed.
  for (auto *ExchangeMap : {&this->Exchanges, &this->Finishing})
    for (auto &[Id, Entry] : *ExchangeMap)
      evhttp_connection_set_closecb(Entry->Connection, nullptr, nullptr);
  evhttp_free(this->Server);
}

Result<std::uint16_t> HttpServer::listen(const std::string &Address,
                                         std::uint16_t Port) {
  this->BoundSocket =
      evhttp_bind_socket_with_handle(this->Server, Address.c_str(), Port);
  if (!this->BoundSocket)
    return failure(ErrorCode::Unavailable,
                   "Cannot listen on " + Address + ":" + std::to_string(Port) +
                       "; choose a free port or stop the process that has it.");
  sockaddr_in Name{};
  socklen_t Size = sizeof(Name);
  getsockname(evhttp_bound_socket_get_fd(this->BoundSocket),
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
  auto NewExchange = std::make_unique<Exchange>();
  NewExchange->Owner = Self;
  NewExchange->Id = Self->NextId++;
  NewExchange->Request = Request;
  NewExchange->Connection = Connection;
  evhttp_connection_set_closecb(Connection, &handleClose, NewExchange.get());
  watchForDisconnect(Connection);
  const ExchangeId Id = NewExchange->Id;
  Self->Exchanges.emplace(Id, std::move(NewExchange));
  if (Self->RequestHandler)
    Self->RequestHandler(Id, readRequest(Request));
}

void HttpServer::handleClose(evhttp_connection *, void *Context) {
  auto *ClosedExchange = static_cast<Exchange *>(Context);
  HttpServer *Self = ClosedExchange->Owner;
  const ExchangeId Id = ClosedExchange->Id;
  if (ClosedExchange->WriteWatch)
    evbuffer_remove_cb_entry(outputOf(ClosedExchange->Connection),
                             ClosedExchange->WriteWatch);
  freeIfDetached(ClosedExchange->Request);
  if (Self->Finishing.erase(Id) > 0)
    return;
  Self->Exchanges.erase(Id);
  if (Self->DisconnectHandler)
    Self->DisconnectHandler(Id);
}

void HttpServer::handleComplete(evhttp_request *Request, void *Context) {
  auto *EndedExchange = static_cast<Exchange *>(Context);
  evhttp_connection_set_closecb(evhttp_request_get_connection(Request), nullptr,
                                nullptr);
  EndedExchange->Owner->Finishing.erase(EndedExchange->Id);
}

void HttpServer::handleWritten(evbuffer *Buffer, const evbuffer_cb_info *,
                               void *Context) {
  if (evbuffer_get_length(Buffer) == 0)
    breakConnection(static_cast<Exchange *>(Context)->Connection);
}

HttpServer::Exchange *HttpServer::findExchange(ExchangeId Id) {
  const auto Found = this->Exchanges.find(Id);
  return Found == this->Exchanges.end() ? nullptr : Found->second.get();
}

HttpServer::Exchange *HttpServer::finishExchange(ExchangeId Id) {
  auto Node = this->Exchanges.extract(Id);
  Exchange *EndedExchange = Node.mapped().get();
  this->Finishing.insert(std::move(Node));
  evhttp_request_set_on_complete_cb(EndedExchange->Request, &handleComplete,
                                    EndedExchange);
  stopWatchingForDisconnect(EndedExchange->Connection);
  return EndedExchange;
}

void HttpServer::reply(ExchangeId Id, HttpReply Reply) {
  Exchange *OpenExchange = this->findExchange(Id);
  if (!OpenExchange || OpenExchange->Streaming)
    return;
  evhttp_request *Request = OpenExchange->Request;
  this->finishExchange(Id);
  addHeaders(evhttp_request_get_output_headers(Request), Reply.Headers);
  evbuffer *Body = evbuffer_new();
  evbuffer_add(Body, Reply.Body.data(), Reply.Body.size());
  evhttp_send_reply(Request, Reply.Status, nullptr, Body);
  evbuffer_free(Body);
}

void HttpServer::startStream(ExchangeId Id, int Status,
                             const HttpHeaders &Headers) {
  Exchange *OpenExchange = this->findExchange(Id);
  if (!OpenExchange || OpenExchange->Streaming)
    return;
  OpenExchange->Streaming = true;
  addHeaders(evhttp_request_get_output_headers(OpenExchange->Request), Headers);
  evhttp_send_reply_start(OpenExchange->Request, Status, nullptr);
}

void HttpServer::sendPiece(ExchangeId Id, std::string_view Bytes) {
  Exchange *OpenExchange = this->findExchange(Id);
  if (!OpenExchange || !OpenExchange->Streaming || Bytes.empty())
    return;
  evbuffer *Piece = evbuffer_new();
  evbuffer_add(Piece, Bytes.data(), Bytes.size());
  evhttp_send_reply_chunk(OpenExchange->Request, Piece);
  evbuffer_free(Piece);
}

void HttpServer::endStream(ExchangeId Id) {
  Exchange *OpenExchange = this->findExchange(Id);
  if (!OpenExchange || !OpenExchange->Streaming)
    return;
  evhttp_request *Request = OpenExchange->Request;
  this->finishExchange(Id);
  evhttp_send_reply_end(Request);
}

void HttpServer::abort(ExchangeId Id) {
  if (this->findExchange(Id))
    breakConnection(this->finishExchange(Id)->Connection);
}

void HttpServer::abortAfterFlush(ExchangeId Id) {
  if (!this->findExchange(Id))
    return;
  Exchange *EndedExchange = this->finishExchange(Id);
  evbuffer *Output = outputOf(EndedExchange->Connection);
  if (evbuffer_get_length(Output) == 0)
    breakConnection(EndedExchange->Connection);
  else
    EndedExchange->WriteWatch =
        evbuffer_add_cb(Output, &handleWritten, EndedExchange);
}

std::size_t HttpServer::pendingBytes(ExchangeId Id) {
  const Exchange *OpenExchange = this->findExchange(Id);
  return OpenExchange ? evbuffer_get_length(outputOf(OpenExchange->Connection))
                      : 0;
}

void HttpServer::stopListening() {
  if (!this->BoundSocket)
    return;
  evhttp_del_accept_socket(this->Server, this->BoundSocket);
  this->BoundSocket = nullptr;
}

} // namespace turmericpass
