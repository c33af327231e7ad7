#include "Http/EvhttpClient.h"

#include "Http/EvhttpSupport.h"
#include "Loop/EventLoop.h"

#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace turmericpass {

struct EvhttpClient::Call {
  EvhttpClient *Owner = nullptr;
  HttpCallId Id = 0;
  std::string Address;
  evhttp_connection *Connection = nullptr;
  evbuffer_cb_entry *WriteWatch = nullptr;
  HttpCallHandlers Handlers;
  HttpProgress Progress = HttpProgress::NotSent;
  Error Reason{ErrorCode::Unavailable, "The connection broke."};
};

namespace {

/// A connection that was idle for longer is not reused: the server may be
/// closing it, and a request lost on it could not be distinguished from one
/// that ran.
constexpr Duration MaxIdleTime = std::chrono::seconds(2);

constexpr std::size_t MaxIdlePerAddress = 256;

std::string hostOf(const std::string &Address) {
  return Address.substr(0, Address.rfind(':'));
}

std::uint16_t portOf(const std::string &Address) {
  std::uint16_t Port = 0;
  const std::size_t Colon = Address.rfind(':');
  if (Colon != std::string::npos)
    std::from_chars(Address.data() + Colon + 1, Address.data() + Address.size(),
                    Port);
  return Port;
}

Error toError(evhttp_request_error Kind) {
  switch (Kind) {
  case EVREQ_HTTP_TIMEOUT:
    return {ErrorCode::Timeout, "The server was silent for too long."};
  case EVREQ_HTTP_INVALID_HEADER:
    return {ErrorCode::Malformed, "The reply is not valid HTTP."};
  case EVREQ_HTTP_DATA_TOO_LONG:
    return {ErrorCode::TooLarge, "The reply exceeds the size limit."};
  case EVREQ_HTTP_EOF:
    return {ErrorCode::Unavailable, "The server closed the connection."};
  default:
    return {ErrorCode::Unavailable, "The connection broke."};
  }
}

void disableNagle(evhttp_connection *Connection) {
  const int On = 1;
  const int Socket =
      bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
  if (Socket >= 0)
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

} // namespace

EvhttpClient::EvhttpClient(EventLoop &Loop, std::size_t MaxBodyBytes)
    : Loop(Loop), MaxBodyBytes(MaxBodyBytes) {}

EvhttpClient::~EvhttpClient() {
  for (auto &[Id, ActiveCall] : this->Calls)
    evhttp_connection_free(ActiveCall->Connection);
  for (auto &[Address, List] : this->Idle)
    for (IdleConnection &Entry : List)
      evhttp_connection_free(Entry.Connection);
}

evhttp_connection *EvhttpClient::openConnection(const std::string &Address) {
  evhttp_connection *Opened = evhttp_connection_base_new(
      this->Loop.base(), nullptr, hostOf(Address).c_str(), portOf(Address));
  // A retry by the library would violate the at-most-once guarantee.
  evhttp_connection_set_retries(Opened, 0);
  evhttp_connection_set_max_body_size(
      Opened, static_cast<ev_ssize_t>(this->MaxBodyBytes));
  return Opened;
}

evhttp_connection *EvhttpClient::takeConnection(const std::string &Address) {
  std::vector<IdleConnection> &IdleConnections = this->Idle[Address];
  const Instant Now = this->Loop.clock().now();
  while (!IdleConnections.empty()) {
    const IdleConnection Last = IdleConnections.back();
    IdleConnections.pop_back();
    if (Now - Last.Since <= MaxIdleTime)
      return Last.Connection;
    evhttp_connection_free(Last.Connection);
  }
  return this->openConnection(Address);
}

HttpCallId EvhttpClient::call(const std::string &Address, HttpRequest Request,
                              Duration IdleLimit, HttpCallHandlers Handlers) {
  auto NewCall = std::make_unique<Call>();
  NewCall->Owner = this;
  NewCall->Id = this->NextId++;
  NewCall->Address = Address;
  NewCall->Handlers = std::move(Handlers);
  NewCall->Connection = this->takeConnection(Address);
  Call &AddedCall = *NewCall;
  this->Calls.emplace(AddedCall.Id, std::move(NewCall));
  const HttpCallId Id = AddedCall.Id;
  this->start(AddedCall, std::move(Request), IdleLimit);
  return Id;
}

void EvhttpClient::start(Call &NewCall, HttpRequest Request,
                         Duration IdleLimit) {
  timeval Limit{};
  Limit.tv_sec = IdleLimit.count() / 1000000;
  Limit.tv_usec = IdleLimit.count() % 1000000;
  evhttp_connection_set_timeout_tv(NewCall.Connection, &Limit);
  evbuffer *Output = bufferevent_get_output(
      evhttp_connection_get_bufferevent(NewCall.Connection));
  NewCall.WriteWatch = evbuffer_add_cb(Output, &handleWritten, &NewCall);

  evhttp_request *OutgoingRequest = evhttp_request_new(&handleDone, &NewCall);
  evhttp_request_set_header_cb(OutgoingRequest, &handleHead);
  evhttp_request_set_error_cb(
      OutgoingRequest, [](evhttp_request_error Kind, void *Context) {
        static_cast<Call *>(Context)->Reason = toError(Kind);
      });
  if (NewCall.Handlers.Piece)
    evhttp_request_set_chunked_cb(OutgoingRequest, &handlePiece);
  evkeyvalq *Headers = evhttp_request_get_output_headers(OutgoingRequest);
  evhttp_add_header(Headers, "Host", NewCall.Address.c_str());
  addHeaders(Headers, Request.Headers);
  evbuffer_add(evhttp_request_get_output_buffer(OutgoingRequest),
               Request.Body.data(), Request.Body.size());
  std::string Uri = Request.Path;
  if (!Request.Query.empty())
    Uri += "?" + Request.Query;
  const auto Method =
      static_cast<evhttp_cmd_type>(toEvhttpMethod(Request.Method));
  const HttpCallId Id = NewCall.Id;
  if (evhttp_make_request(NewCall.Connection, OutgoingRequest, Method,
                          Uri.c_str()) == 0)
    return;
  // The library has freed the request. The failure is reported from the event
  // loop.
  this->Loop.after(Duration(0), [this, Id] {
    this->fail(Id, {ErrorCode::Unavailable, "The server was not reached."});
  });
}

void EvhttpClient::handleWritten(evbuffer *, const evbuffer_cb_info *Info,
                                 void *Context) {
  auto *ActiveCall = static_cast<Call *>(Context);
  if (Info->n_deleted > 0 && ActiveCall->Progress == HttpProgress::NotSent)
    ActiveCall->Progress = HttpProgress::Sent;
}

int EvhttpClient::handleHead(evhttp_request *Request, void *Context) {
  auto *ActiveCall = static_cast<Call *>(Context);
  ActiveCall->Progress = HttpProgress::Replying;
  if (ActiveCall->Handlers.Head) {
    const auto Head = ActiveCall->Handlers.Head;
    Head(evhttp_request_get_response_code(Request),
         copyHeaders(evhttp_request_get_input_headers(Request)));
  }
  return 0;
}

void EvhttpClient::handlePiece(evhttp_request *Request, void *Context) {
  auto *ActiveCall = static_cast<Call *>(Context);
  const std::string Bytes =
      drainBuffer(evhttp_request_get_input_buffer(Request));
  if (!ActiveCall->Handlers.Piece || Bytes.empty())
    return;
  // The handler may cancel the call, which clears the handlers, so a copy is
  // called.
  const auto Piece = ActiveCall->Handlers.Piece;
  Piece(Bytes);
}

void EvhttpClient::handleDone(evhttp_request *Request, void *Context) {
  auto *ActiveCall = static_cast<Call *>(Context);
  if (!Request || evhttp_request_get_response_code(Request) == 0) {
    ActiveCall->Owner->fail(ActiveCall->Id, ActiveCall->Reason);
    return;
  }
  ActiveCall->Owner->finish(ActiveCall->Id, Request);
}

void EvhttpClient::finish(HttpCallId Id, evhttp_request *Request) {
  const auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end())
    return;
  const std::unique_ptr<Call> EndedCall = std::move(Found->second);
  this->Calls.erase(Found);
  HttpReply Reply;
  Reply.Status = evhttp_request_get_response_code(Request);
  Reply.Headers = copyHeaders(evhttp_request_get_input_headers(Request));
  Reply.Body = drainBuffer(evhttp_request_get_input_buffer(Request));
  evbuffer_remove_cb_entry(
      bufferevent_get_output(
          evhttp_connection_get_bufferevent(EndedCall->Connection)),
      EndedCall->WriteWatch);
  disableNagle(EndedCall->Connection);
  this->release(EndedCall->Address, EndedCall->Connection, true);
  if (EndedCall->Handlers.Done)
    EndedCall->Handlers.Done(std::move(Reply));
}

void EvhttpClient::fail(HttpCallId Id, Error Reason) {
  const auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end())
    return;
  std::unique_ptr<Call> EndedCall = std::move(Found->second);
  this->Calls.erase(Found);
  const HttpCallHandlers Handlers = std::move(EndedCall->Handlers);
  const HttpProgress Progress = EndedCall->Progress;
  this->release(EndedCall->Address, EndedCall->Connection, false);
  this->EndedCalls.push_back(std::move(EndedCall));
  if (Handlers.Failed)
    Handlers.Failed(std::move(Reason), Progress);
}

void EvhttpClient::cancel(HttpCallId Id) {
  const auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end())
    return;
  std::unique_ptr<Call> EndedCall = std::move(Found->second);
  this->Calls.erase(Found);
  EndedCall->Handlers = {};
  this->release(EndedCall->Address, EndedCall->Connection, false);
  // evhttp still holds a pointer to the call until the connection is freed.
  this->EndedCalls.push_back(std::move(EndedCall));
}

void EvhttpClient::release(const std::string &Address,
                           evhttp_connection *Connection, bool Reusable) {
  // This function may run within a callback of the connection, which must not
  // be freed or used for a new request before that callback has returned.
  this->Loop.after(Duration(0), [this, Address, Connection, Reusable] {
    std::vector<IdleConnection> &IdleConnections = this->Idle[Address];
    if (Reusable && IdleConnections.size() < MaxIdlePerAddress) {
      IdleConnections.push_back({Connection, this->Loop.clock().now()});
      return;
    }
    evhttp_connection_free(Connection);
    std::erase_if(this->EndedCalls, [Connection](const auto &EndedCall) {
      return EndedCall->Connection == Connection;
    });
  });
}

} // namespace turmericpass
