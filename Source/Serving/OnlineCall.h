#ifndef TURMERICPASS_SERVING_ONLINECALL_H
#define TURMERICPASS_SERVING_ONLINECALL_H

#include "Loop/EventLoop.h"
#include "RawHttp/BackendChannels.h"
#include "RawHttp/CallerPort.h"
#include "Serving/CallerIdentity.h"
#include "Serving/CrashSuspects.h"
#include "Serving/EventSplitter.h"
#include "Serving/HedgeState.h"
#include "Serving/ServingSettings.h"
#include "Serving/StallPolicy.h"

#include <optional>
#include <set>
#include <string>

namespace turmericpass {

/// The state of one request of a waiting caller, from the arrival of the
/// request to its final answer.
struct OnlineCall {
  CallerId Caller = 0;
  RawRequest Request;
  std::string RequestId;
  /// A copy of the route from the time of the arrival, so that later settings
  /// do not change how this request is served.
  RouteSettings Route;
  CallerIdentity Identity;
  std::string Service;
  CrashSuspects Suspects;
  /// The request is blocked, and is sent to find out whether it still crashes
  /// servers.
  bool IsTrial = false;
  /// A server ran the request without a crash.
  bool IsKnownSound = false;
  Instant ArrivedAt;
  /// The end of the time limit of the caller or of the route, whichever comes
  /// first.
  Instant Deadline;
  /// The time limit that the caller stated, if any.
  std::optional<Duration> CallerTimeLimit;
  WatchId DeadlineTimer = 0;

  /// The send in progress, or 0 if there is none.
  SendId ActiveSend = 0;
  /// The server of the latest send.
  std::string Server;
  Instant SentAt;
  /// The number of complete events that the latest send received.
  int EventsOfSend = 0;
  /// Whether the time to the first answer to the latest send is recorded.
  bool FirstAnswerRecorded = false;
  /// Whether the answer to the latest send says where it ends.
  bool AnswerHasLength = false;
  /// The servers to which the request was sent.
  std::set<std::string> TriedServers;
  WatchId RetryTimer = 0;
  /// The number of sends that may have run.
  int PossibleRuns = 0;
  HedgeState Hedge;
  /// The number of sends that are known not to have run.
  int Refusals = 0;
  WatchId StallTimer = 0;
  StallPolicy Stall;
  /// The server has to wait until the caller has read more.
  bool ReadingPaused = false;

  /// The head of the answer to the caller.
  std::optional<RawHead> AnswerHead;
  bool HeadForwarded = false;
  bool IsEventStream = false;
  EventSplitter Events;
  /// The id of the last event that the caller has received.
  std::optional<std::uint64_t> LastEventId;
  /// The body of an answer that is forwarded only when it is complete.
  std::string Body;
  /// The memory that is reserved for Body, in bytes.
  std::size_t BodyMemory = 0;
  /// The bytes of the body that were passed on before it was complete.
  std::size_t PassedOnBytes = 0;
  std::optional<Instant> FirstByteAt;

  /// Returns whether the caller may have an earlier part of the answer from
  /// another run.
  bool isRepeated() const {
    return this->PossibleRuns - this->Hedge.UnusedRuns > 1;
  }

  /// Returns whether an event stream that has ended was broken off. The end of
  /// a stream without a length looks the same if its server crashes.
  bool streamBrokeOff() const {
    return !this->Events.incompleteEvent().empty() ||
           (this->EventsOfSend == 0 && !this->AnswerHasLength);
  }

  /// Returns whether the caller has a part of an answer that no other server
  /// can complete.
  bool isPassedOnInPieces() const {
    return this->HeadForwarded && !this->IsEventStream;
  }

  /// Returns whether \p Event can be a part of the stream that the caller gets.
  /// The events of a resumed stream have ids, as those before them.
  bool belongsToStream(const StreamEvent &Event) const {
    const bool IsResumed = this->isRepeated() && this->LastEventId;
    return Event.IsWellFormed && (!IsResumed || Event.Id || !Event.HasFields);
  }
};

} // namespace turmericpass

#endif
