#ifndef TURMERICPASS_HTTP_HTTPSERVER_H
#define TURMERICPASS_HTTP_HTTPSERVER_H

#include "Core/Error.h"
#include "Http/HttpTypes.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace turmericpass {

class EventLoop;

/// Identifies one exchange of a request and its answer with a caller. Unique
/// within the process.
using ExchangeId = std::uint64_t;

/// An HTTP server that runs on the event loop. Each request is assigned an id,
/// with which it is answered once, at any later time. Calls with the id of an
/// ended exchange are ignored, so that a late answer to a disconnected caller
/// is harmless.
class HttpServer {
public:
  using Handler = std::function<void(ExchangeId, HttpRequest)>;
  using DisconnectCallback = std::function<void(ExchangeId)>;

  HttpServer(EventLoop &Loop, HttpLimits Limits);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens on \p Address and \p Port (0: any free port) and returns the
  /// port. Errors: Unavailable if the port is in use.
  Result<std::uint16_t> listen(const std::string &Address, std::uint16_t Port);

  void onRequest(Handler Action) { this->RequestHandler = std::move(Action); }

  /// Sets the size limit of request bodies, in bytes, for connections that are
  /// opened later.
  void setBodyLimit(std::size_t Bytes);

  /// Sets the handler that is called when a caller disconnects before its
  /// answer is complete.
  void onCallerDisconnected(DisconnectCallback Action) {
    this->DisconnectHandler = std::move(Action);
  }

  /// Sends a complete answer and ends the exchange.
  void reply(ExchangeId Id, HttpReply Reply);

  /// Starts an answer with the chunked transfer encoding.
  void startStream(ExchangeId Id, int Status, const HttpHeaders &Headers);

  /// Sends a part of the body of a started answer.
  void sendPiece(ExchangeId Id, std::string_view Bytes);

  /// Completes a started answer and ends the exchange.
  void endStream(ExchangeId Id);

  /// Closes the connection without completing the answer, so that the caller
  /// detects that the answer is truncated.
  void abort(ExchangeId Id);

  /// Closes the connection without completing the answer, after the pending
  /// output is written, so that the caller can still read why the answer is
  /// truncated. The exchange ends immediately.
  void abortAfterFlush(ExchangeId Id);

  /// Returns the number of bytes that are not written yet because the caller
  /// reads slowly; 0 for an ended exchange.
  std::size_t pendingBytes(ExchangeId Id);

  /// Stops accepting connections; open exchanges continue.
  void stopListening();

  /// Returns the number of exchanges that are not answered or whose answer is
  /// not completely written.
  std::size_t openExchanges() const {
    return this->Exchanges.size() + this->Finishing.size();
  }

private:
  struct Exchange;
  static void handleRequest(evhttp_request *Request, void *Context);
  static void handleClose(evhttp_connection *Connection, void *Context);
  static void handleComplete(evhttp_request *Request, void *Context);
  static void handleWritten(evbuffer *Buffer, const evbuffer_cb_info *Info,
                            void *Context);
  Exchange *findExchange(ExchangeId Id);
  Exchange *finishExchange(ExchangeId Id);

  evhttp *Server;
  evhttp_bound_socket *BoundSocket = nullptr;
  Handler RequestHandler;
  DisconnectCallback DisconnectHandler;
  std::map<ExchangeId, std::unique_ptr<Exchange>> Exchanges;
  /// Ended exchanges whose answer is not completely written.
  std::map<ExchangeId, std::unique_ptr<Exchange>> Finishing;
  ExchangeId NextId = 1;
};

} // namespace turmericpass

#endif
