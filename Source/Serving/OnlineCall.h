#ifndef TURMERICPASS_SERVING_ONLINECALL_H
#define TURMERICPASS_SERVING_ONLINECALL_H

#include "Loop/EventLoop.h"
#include "RawHttp/BackendChannels.h"
#include "RawHttp/CallerPort.h"
#include "Serving/EventSplitter.h"
#include "Serving/ServingSettings.h"

#include <optional>
#include <set>
#include <string>

namespace turmericpass {

/// One request whose caller waits, from its arrival to its final answer.
struct OnlineCall {
  CallerId Caller = 0;
  RawRequest Request;
  std::string RequestId;
  /// The route as it was when the request came; later settings do not change
  /// what this request was promised.
  RouteSettings Route;
  std::string Service;
  std::uint64_t Fingerprint = 0;
  Instant Arrived;
  /// When the caller, or the operator for it, stops waiting.
  Instant Deadline;
  /// How long the caller said that it waits.
  std::optional<Duration> CallerTime;
  WatchId DeadlineTimer = 0;

  /// The send in flight, 0 for none, and its server.
  SendId Sent = 0;
  std::string Server;
  Instant SentAt;
  /// Servers that were sent the request.
  std::set<std::string> Tried;
  WatchId PauseTimer = 0;
  /// Sends of which it is not known that they did not run.
  int Runs = 0;
  /// Sends that did not run.
  int Refusals = 0;
  WatchId StallTimer = 0;

  /// The head of the answer as the caller gets it.
  std::optional<RawHead> Answer;
  bool HeadPassed = false;
  bool IsEventStream = false;
  EventSplitter Events;
  /// The last event that was passed on, or that the caller has already.
  std::optional<std::uint64_t> LastEvent;
  /// The body of an answer that is passed on only when it is whole.
  std::string Body;
  std::optional<Instant> FirstByteAt;
};

} // namespace turmericpass

#endif
