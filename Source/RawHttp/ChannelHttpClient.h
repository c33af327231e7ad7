#ifndef TURMERICPASS_RAWHTTP_CHANNELHTTPCLIENT_H
#define TURMERICPASS_RAWHTTP_CHANNELHTTPCLIENT_H

#include "Http/HttpClient.h"
#include "Loop/EventLoop.h"
#include "RawHttp/BackendChannels.h"

#include <unordered_map>

namespace turmericpass {

/// Implements HttpClient with BackendChannels.
class ChannelHttpClient : public HttpClient, private SendHandler {
public:
  /// \p MaxBodyBytes limits the body of each reply, also of streamed replies.
  ChannelHttpClient(EventLoop &Loop, BackendChannels &Channels,
                    std::size_t MaxBodyBytes);
  ~ChannelHttpClient() override;
  ChannelHttpClient(const ChannelHttpClient &) = delete;
  ChannelHttpClient &operator=(const ChannelHttpClient &) = delete;

  HttpCallId call(const std::string &Address, HttpRequest Request,
                  Duration IdleLimit, HttpCallHandlers Handlers) override;
  void cancel(HttpCallId Id) override;

private:
  struct Call {
    HttpCallHandlers Handlers;
    HttpReply Reply;
    HttpProgress Progress = HttpProgress::Sent;
    std::size_t BodyBytes = 0;
    Duration IdleLimit;
    Instant LastProgress;
    /// The unsent bytes of the request at the last check.
    std::size_t UnsentBytes = 0;
    WatchId Timer = 0;
  };

  void answerHead(SendId Id, const RawHead &Head) override;
  void answerBody(SendId Id, std::string_view Bytes) override;
  void answerDone(SendId Id) override;
  void sendFailed(SendId Id, SendFailure Failure,
                  std::string_view Detail) override;

  Call *findCall(HttpCallId Id);
  void armTimer(HttpCallId Id);
  /// Ends the call if it has made no progress for its idle limit.
  void checkProgress(HttpCallId Id);
  /// Returns the call \p Id, which has ended.
  Call removeCall(HttpCallId Id);
  /// Closes the connection of the call and reports \p Reason.
  void abort(HttpCallId Id, Error Reason);

  EventLoop &Loop;
  BackendChannels &Channels;
  std::size_t MaxBodyBytes;
  std::unordered_map<HttpCallId, Call> Calls;
};

} // namespace turmericpass

#endif
