#ifndef TURMERICPASS_HTTP_EVHTTPCLIENT_H
#define TURMERICPASS_HTTP_EVHTTPCLIENT_H

#include "Http/HttpClient.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace turmericpass {

class EventLoop;

/// Implements HttpClient with libevent's evhttp. Idle connections are kept for
/// a short time and reused, for one call at a time, because evhttp does not
/// support pipelining.
class EvhttpClient : public HttpClient {
public:
  /// \p MaxBodyBytes limits the body of each reply, also of streamed replies.
  EvhttpClient(EventLoop &Loop, std::size_t MaxBodyBytes);
  ~EvhttpClient() override;
  EvhttpClient(const EvhttpClient &) = delete;
  EvhttpClient &operator=(const EvhttpClient &) = delete;

  HttpCallId call(const std::string &Address, HttpRequest Request,
                  Duration IdleLimit, HttpCallHandlers Handlers) override;
  void cancel(HttpCallId Id) override;

private:
  struct Call;
  struct IdleConnection {
    evhttp_connection *Connection = nullptr;
    Instant Since;
  };

  static void handleDone(evhttp_request *Request, void *Context);
  static int handleHead(evhttp_request *Request, void *Context);
  static void handlePiece(evhttp_request *Request, void *Context);
  static void handleWritten(evbuffer *Buffer, const evbuffer_cb_info *Info,
                            void *Context);

  evhttp_connection *takeConnection(const std::string &Address);
  evhttp_connection *openConnection(const std::string &Address);
  void start(Call &NewCall, HttpRequest Request, Duration IdleLimit);
  void release(const std::string &Address, evhttp_connection *Connection,
               bool Reusable);
  void finish(HttpCallId Id, evhttp_request *Request);
  void fail(HttpCallId Id, Error Reason);

  EventLoop &Loop;
  std::size_t MaxBodyBytes;
  std::map<std::string, std::vector<IdleConnection>> Idle;
  std::map<HttpCallId, std::unique_ptr<Call>> Calls;
  /// Ended calls whose connection is freed in the next iteration of the event
  /// loop.
  std::vector<std::unique_ptr<Call>> EndedCalls;
  HttpCallId NextId = 1;
};

} // namespace turmericpass

#endif
