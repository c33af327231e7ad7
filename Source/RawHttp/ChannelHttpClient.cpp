#include "RawHttp/ChannelHttpClient.h"

#include <utility>

namespace turmericpass {

namespace {

/// How often the progress of a request that is being written is looked at.
constexpr int ChecksPerIdleLimit = 4;

} // namespace

ChannelHttpClient::ChannelHttpClient(EventLoop &Loop, BackendChannels &Channels,
                                     std::size_t MaxBodyBytes)
    : Loop(Loop), Channels(Channels), MaxBodyBytes(MaxBodyBytes) {}

ChannelHttpClient::~ChannelHttpClient() {
  for (const auto &[Id, OpenCall] : this->Calls) {
    this->Loop.cancel(OpenCall.Timer);
    this->Channels.cancel(Id);
  }
}

HttpCallId ChannelHttpClient::call(const std::string &Address,
                                   HttpRequest Request, Duration IdleLimit,
                                   HttpCallHandlers Handlers) {
  BackendRequest Order;
  Order.Address = Address;
  // A server that cannot be reached is reported as such before the idle limit
  // ends the call.
  Order.ConnectTime = IdleLimit / 2;
  Order.Request.Method = std::move(Request.Method);
  Order.Request.Target = std::move(Request.Path);
  if (!Request.Query.empty())
    Order.Request.Target += "?" + Request.Query;
  Order.Request.Headers = std::move(Request.Headers);
  Order.Request.Headers.emplace(Order.Request.Headers.begin(), "Host", Address);
  Order.Request.Body = std::move(Request.Body);
  const HttpCallId Id = this->Channels.send(std::move(Order), *this);
  Call &NewCall = this->Calls[Id];
  NewCall.Handlers = std::move(Handlers);
  NewCall.IdleLimit = IdleLimit;
  NewCall.LastProgress = this->Loop.clock().now();
  this->armTimer(Id);
  return Id;
}

void ChannelHttpClient::cancel(HttpCallId Id) {
  if (!this->findCall(Id))
    return;
  this->removeCall(Id);
  this->Channels.cancel(Id);
}

ChannelHttpClient::Call *ChannelHttpClient::findCall(HttpCallId Id) {
  const auto Found = this->Calls.find(Id);
  return Found == this->Calls.end() ? nullptr : &Found->second;
}

void ChannelHttpClient::armTimer(HttpCallId Id) {
  Call &OpenCall = this->Calls[Id];
  OpenCall.Timer = this->Loop.after(OpenCall.IdleLimit / ChecksPerIdleLimit,
                                    [this, Id] { this->checkProgress(Id); });
}

void ChannelHttpClient::checkProgress(HttpCallId Id) {
  Call &OpenCall = this->Calls[Id];
  const Instant Now = this->Loop.clock().now();
  const std::size_t UnsentBytes = this->Channels.unsentBytes(Id);
  if (UnsentBytes != OpenCall.UnsentBytes)
    OpenCall.LastProgress = Now;
  OpenCall.UnsentBytes = UnsentBytes;
  if (Now - OpenCall.LastProgress < OpenCall.IdleLimit)
    this->armTimer(Id);
  else
    this->abort(Id,
                {ErrorCode::Timeout, "The server was silent for too long."});
}

ChannelHttpClient::Call ChannelHttpClient::removeCall(HttpCallId Id) {
  const auto Found = this->Calls.find(Id);
  Call Removed = std::move(Found->second);
  this->Calls.erase(Found);
  this->Loop.cancel(Removed.Timer);
  return Removed;
}

void ChannelHttpClient::abort(HttpCallId Id, Error Reason) {
  const Call Aborted = this->removeCall(Id);
  this->Channels.cancel(Id);
  if (Aborted.Handlers.Failed)
    Aborted.Handlers.Failed(std::move(Reason), Aborted.Progress);
}

void ChannelHttpClient::answerHead(SendId Id, const RawHead &Head) {
  Call *OpenCall = this->findCall(Id);
  if (!OpenCall)
    return;
  OpenCall->LastProgress = this->Loop.clock().now();
  OpenCall->Progress = HttpProgress::Replying;
  OpenCall->Reply.Status = Head.Status;
  OpenCall->Reply.Headers = Head.Headers;
  // The handler may cancel the call, which destroys the original handler, so a
  // copy is called.
  if (const auto Handler = OpenCall->Handlers.Head)
    Handler(Head.Status, Head.Headers);
}

void ChannelHttpClient::answerBody(SendId Id, std::string_view Bytes) {
  Call *OpenCall = this->findCall(Id);
  if (!OpenCall)
    return;
  OpenCall->LastProgress = this->Loop.clock().now();
  OpenCall->BodyBytes += Bytes.size();
  if (OpenCall->BodyBytes > this->MaxBodyBytes)
    this->abort(Id, {ErrorCode::TooLarge, "The reply exceeds the size limit."});
  else if (const auto Handler = OpenCall->Handlers.Piece)
    Handler(Bytes);
  else
    OpenCall->Reply.Body.append(Bytes);
}

void ChannelHttpClient::answerDone(SendId Id) {
  if (!this->findCall(Id))
    return;
  Call Ended = this->removeCall(Id);
  if (Ended.Handlers.Done)
    Ended.Handlers.Done(std::move(Ended.Reply));
}

void ChannelHttpClient::sendFailed(SendId Id, SendFailure Failure,
                                   std::string_view Detail) {
  if (!this->findCall(Id))
    return;
  const Call Ended = this->removeCall(Id);
  if (!Ended.Handlers.Failed)
    return;
  const std::string Text(Detail);
  if (Failure == SendFailure::NotSent) {
    Ended.Handlers.Failed(
        {ErrorCode::Unavailable, "The server was not reached: " + Text + "."},
        HttpProgress::NotSent);
    return;
  }
  const bool IsInvalid = Failure == SendFailure::AnswerTruncated &&
                         Ended.Progress == HttpProgress::Sent;
  Ended.Handlers.Failed(
      {IsInvalid ? ErrorCode::Malformed : ErrorCode::Unavailable,
       "The server gave no complete reply: " + Text + "."},
      Ended.Progress);
}

} // namespace turmericpass
