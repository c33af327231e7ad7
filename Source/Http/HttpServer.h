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

/// Names one exchange with a caller; never used twice in a process.
using ExchangeId = std::uint64_t;

/// An HTTP server on the loop. Each request gets an id, under which it is
/// answered once, at any later time. Calls with an id that has ended are
/// ignored, so that a late answer to a departed caller does no harm.
class HttpServer {
public:
  using Handler = std::function<void(ExchangeId, HttpRequest)>;
  using Departed = std::function<void(ExchangeId)>;

  HttpServer(EventLoop &Loop, HttpLimits Limits);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens on \p Address and \p Port (0: any free port) and returns the
  /// port. Errors: Unavailable if the port is taken.
  Result<std::uint16_t> listen(const std::string &Address, std::uint16_t Port);

  void onRequest(Handler Action) { this->RequestHandler = std::move(Action); }

  /// Sets the limit of bodies on connections opened from now on, in bytes.
  void setBodyLimit(std::size_t Bytes);

  /// Sets who learns that a caller went away before its answer ended.
  void onCallerDisconnected(Departed Action) {
    this->DepartedHandler = std::move(Action);
  }

  /// Answers whole and ends the exchange.
  void reply(ExchangeId Id, HttpReply Reply);

  /// Starts a chunked answer.
  void startStream(ExchangeId Id, int Status, const HttpHeaders &Headers);

  /// Sends a piece of a started answer.
  void sendPiece(ExchangeId Id, std::string_view Bytes);

  /// Ends a started answer whole.
  void endStream(ExchangeId Id);

  /// Breaks the connection, so that the caller does not take a cut answer for
  /// a whole one.
  void abort(ExchangeId Id);

  /// Breaks the connection after what was sent has left, so that the caller
  /// still reads the reason of a cut answer. The exchange ends at once.
  void abortAfterFlush(ExchangeId Id);

  /// Returns the bytes that wait for a slow caller; 0 for an ended exchange.
  std::size_t pendingBytes(ExchangeId Id);

  /// Stops accepting connections; running exchanges go on.
  void stopListening();

  /// Counts the exchanges that are not answered, and the answers that have
  /// not left yet.
  std::size_t openExchanges() const {
    return this->Exchanges.size() + this->Leaving.size();
  }

private:
  struct Exchange;
  static void handleRequest(evhttp_request *Request, void *Context);
  static void handleClose(evhttp_connection *Connection, void *Context);
  static void handleComplete(evhttp_request *Request, void *Context);
  static void handleWritten(evbuffer *Buffer, const evbuffer_cb_info *Info,
                            void *Context);
  Exchange *find(ExchangeId Id);
  Exchange *finish(ExchangeId Id);

  evhttp *Server;
  evhttp_bound_socket *Bound = nullptr;
  Handler RequestHandler;
  Departed DepartedHandler;
  std::map<ExchangeId, std::unique_ptr<Exchange>> Exchanges;
  /// Ended exchanges whose bytes have not all left.
  std::map<ExchangeId, std::unique_ptr<Exchange>> Leaving;
  ExchangeId NextId = 1;
};

} // namespace turmericpass

#endif
