#ifndef TURMERICPASS_BACKENDS_HTTPBACKENDPORT_H
#define TURMERICPASS_BACKENDS_HTTPBACKENDPORT_H

#include "Backends/BackendPort.h"
#include "Core/Clock.h"
#include "Http/HttpClient.h"

#include <map>
#include <memory>
#include <set>

namespace turmericpass {

class EventLoop;

/// Implements BackendPort over HTTP. All handlers are called from the event
/// loop, never from within start() or cancel(). The answer of a model engine is
/// ended with the reason "length" after Submit::MaxTokens tokens, including the
/// resumed ones, even if the engine continues to generate.
class HttpBackendPort : public BackendPort {
public:
  HttpBackendPort(EventLoop &Loop, HttpClient &Client);
  ~HttpBackendPort() override;
  HttpBackendPort(const HttpBackendPort &) = delete;
  HttpBackendPort &operator=(const HttpBackendPort &) = delete;

  AttemptId start(const std::string &Address, const Submit &Work, bool IsModel,
                  const std::string &RequestTag,
                  AttemptHandlers Handlers) override;
  void cancel(AttemptId Id) override;
  void fetchLoad(const std::string &Address,
                 std::function<void(Result<LoadReport>)> Done) override;
  void fetchCacheEvents(
      const std::string &Address, std::uint64_t After,
      std::function<void(Result<std::vector<CacheEvent>>)> Done) override;

private:
  struct Attempt;

  Attempt *findAttempt(AttemptId Id);
  /// Removes the attempt and returns it, so that the caller can call its
  /// handlers after the state of the port is updated.
  std::unique_ptr<Attempt> removeAttempt(AttemptId Id);
  void send(AttemptId Id, const std::string &Address, HttpRequest Request,
            bool IsModel);
  void handleHead(AttemptId Id, int Status, const HttpHeaders &Headers);
  void handlePiece(AttemptId Id, std::string_view Bytes);
  void handleReply(AttemptId Id, HttpReply Reply);
  void handleFailure(AttemptId Id, Error Reason, HttpProgress Progress);
  Result<void> readEvents(Attempt &OpenAttempt, std::string_view Bytes);
  static void addTokens(Attempt &OpenAttempt, TokenBatch Tokens);
  void endAtLimit(AttemptId Id);
  void scheduleFlush(Attempt &OpenAttempt);
  void flush(AttemptId Id);
  void fail(AttemptId Id, Error Reason, AttemptProgress Progress);
  void fetch(const std::string &Address, std::string Path, std::string Query,
             const std::function<void(Result<std::string>)> &Done);

  EventLoop &Loop;
  HttpClient &Client;
  std::map<AttemptId, std::unique_ptr<Attempt>> Attempts;
  std::set<HttpCallId> Fetches;
  AttemptId NextId = 1;
};

} // namespace turmericpass

#endif
