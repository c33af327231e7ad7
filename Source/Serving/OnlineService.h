#ifndef TURMERICPASS_SERVING_ONLINESERVICE_H
#define TURMERICPASS_SERVING_ONLINESERVICE_H

#include "Serving/AnswerMemory.h"
#include "Serving/BackendProtocol.h"
#include "Serving/HedgePlanner.h"
#include "Serving/OnlineCall.h"
#include "Serving/OverloadPolicy.h"

#include <memory>
#include <unordered_map>

namespace turmericpass {

class CrashGuard;
class IdSource;
class LoadTracker;
class Logger;
class Metrics;
class PlacementPolicy;
class ServerDirectory;

/// The objects that OnlineService uses.
struct OnlineServiceDependencies {
  EventLoop &Loop;
  CallerPort &Callers;
  BackendChannels &Channels;
  ServerDirectory &Servers;
  LoadTracker &Loads;
  const PlacementPolicy &Placement;
  CrashGuard &Guard;
  IdSource &Ids;
  const BackendProtocol &Protocol;
  Logger &Log;
  Metrics &Stats;
};

/// Serves requests whose callers wait. It forwards each request to a server of
/// the service that its route selects, and the answer to the caller.
class OnlineService : private SendHandler {
public:
  explicit OnlineService(OnlineServiceDependencies Dependencies);

  /// Starts serving a request of \p Caller, whose identity is \p From, on
  /// \p Route.
  void startCall(CallerId Caller, RawRequest Request,
                 const RouteSettings &Route, CallerIdentity From);
  /// Ends the call of \p Caller, whose connection was closed.
  void callerDisconnected(CallerId Caller);

  /// Gives the open calls their final answer, because this VM exits. A call
  /// that was sent to no server is refused, so that its caller may send it
  /// again. A stream that has begun can only be broken off, so it goes on until
  /// \p AlsoBegunStreams is set.
  void endCalls(bool AlsoBegunStreams);

  /// Applies the operator's settings for hedged requests.
  void setHedging(HedgeSettings Settings) {
    this->Hedges.setSettings(Settings);
  }
  /// Sends no more copies of requests, because this VM stops.
  void stopHedging() { this->Hedges.stop(); }

  /// Resumes reading the answer for \p Caller, which has read what was sent.
  void callerCaughtUp(CallerId Caller);

  /// Returns the number of requests that have not got their final answer.
  std::size_t openCallCount() const { return this->Calls.size(); }

private:
  void answerHead(SendId Id, const RawHead &Head) override;
  void answerBody(SendId Id, std::string_view Bytes) override;
  void answerDone(SendId Id) override;
  void sendFailed(SendId Id, SendFailure Failure,
                  std::string_view Detail) override;

  /// How one of two sends of a request ended without an answer for the caller.
  enum class SendEnd { Refused, NotReached, Failed, Broken, Rejected, Stalled };

  OnlineCall *findCall(SendId Id);
  void sendToServer(OnlineCall &Call);
  /// Ends the send in progress, if there is one, and removes it from the load.
  void endSend(OnlineCall &Call, bool CloseConnection);
  /// Handles the end of a send that a server may have run, but that did not get
  /// a whole answer.
  void handleBrokenAnswer(OnlineCall &Call, std::string_view Reason);
  /// Sends the request to another server if that is allowed, or fails it.
  void retry(OnlineCall &Call, std::string_view Reason);
  void forwardHead(OnlineCall &Call);
  void forwardEvents(OnlineCall &Call, std::string_view Bytes);
  void handleDeadline(CallerId Caller);
  void handleStall(CallerId Caller);
  void armStallTimer(OnlineCall &Call);
  /// Waits on for a request that may not be sent again, or gives it up if its
  /// caller has left by all that is known.
  void waitOrAbandon(OnlineCall &Call);
  /// Ends the answer of a server that cannot be given to the caller, and sends
  /// the request to another server or fails it.
  void rejectAnswer(OnlineCall &Call, std::string_view Reason);
  /// Ends an answer that exceeds a bound of AnswerMemory.
  void endOversizedAnswer(OnlineCall &Call, std::string_view Reason);
  /// Passes whole events on to the caller.
  void sendEvents(OnlineCall &Call, std::string_view Events);
  /// Passes a piece of an answer on before the answer is complete, if the
  /// memory requires it. Returns false if the piece has to be kept.
  bool passOnPiece(OnlineCall &Call, std::string_view Bytes);
  /// Stops reading the answer if its caller has left too many bytes.
  void pauseIfUntaken(OnlineCall &Call);
  /// Starts the timer after which a piece of a paused answer is read.
  void armPausedRead(OnlineCall &Call);
  /// Discards the body and gives its memory back.
  void clearBody(OnlineCall &Call);
  /// Reserves memory for \p Bytes more of the body. Returns false if a bound of
  /// AnswerMemory is exceeded.
  bool reserveBody(OnlineCall &Call, std::size_t Bytes);
  /// Does the same, and ends the answer that holds most memory if there is too
  /// little. Returns false if that is the answer to \p Call, or if it is too
  /// large.
  bool makeRoomForBody(OnlineCall &Call, std::size_t Bytes);
  /// Ends a call that gets no answer of a server in time.
  void endCall(OnlineCall &Call, std::string_view Reason);
  /// Answers that the request did not run and may be sent again after
  /// \p RetryAfter.
  void refuse(OnlineCall &Call, std::string_view Reason, Duration RetryAfter);
  /// Answers with the error \p Status, or aborts an answer that has begun.
  void fail(OnlineCall &Call, int Status, std::string_view Reason);
  void finishCall(OnlineCall &Call, int Status, std::string_view Outcome);
  /// Retries a request that its server refused or did not accept a connection
  /// for. After all servers did so, the request pauses, and is refused once its
  /// target latency has passed.
  void retryAfterRefusal(OnlineCall &Call, std::string_view Reason);

  /// Waits until the answer to the send that has just started is late.
  void armHedgeTimer(OnlineCall &Call);
  void cancelHedgeTimer(OnlineCall &Call);
  void handleLate(CallerId Caller);
  /// Sends a copy of the request to another server. Returns whether that is
  /// allowed.
  bool sendCopy(OnlineCall &Call);
  /// Ends the copy, if there is one, and counts it under \p Outcome.
  void endCopy(OnlineCall &Call, std::string_view Outcome,
               bool CloseConnection);
  /// Ends the first send. The copy takes its place.
  void replaceFirstSend(OnlineCall &Call, bool CloseConnection);
  /// Cancels the other send, because \p Winner has the first answer.
  void selectSend(OnlineCall &Call, SendId Winner);
  /// Passes on what was held back of the answer to the only send. This may end
  /// the call.
  void releaseHeldAnswer(OnlineCall &Call);
  /// Ends one of two sends. The other one goes on.
  void endOneSend(OnlineCall &Call, SendId Id, SendEnd End,
                  std::string_view Reason);
  /// These handle what arrives while a copy may be sent or is in progress. They
  /// return false if it is to be handled as for a request without a copy.
  bool holdHead(OnlineCall &Call, SendId Id, const RawHead &Head);
  bool holdBody(OnlineCall &Call, SendId Id, std::string_view Bytes);
  bool holdEnd(OnlineCall &Call, SendId Id);
  bool holdFailure(OnlineCall &Call, SendId Id, SendFailure Failure,
                   std::string_view Detail);
  /// Records the time to the first event or answer of the current send.
  void recordFirstAnswer(OnlineCall &Call);

  OnlineServiceDependencies Dependencies;
  OverloadPolicy Overload;
  HedgePlanner Hedges;
  AnswerMemory Memory;
  std::unordered_map<CallerId, std::unique_ptr<OnlineCall>> Calls;
  std::unordered_map<SendId, CallerId> Sends;
};

} // namespace turmericpass

#endif
