#ifndef TURMERICPASS_SERVING_ONLINESERVICE_H
#define TURMERICPASS_SERVING_ONLINESERVICE_H

#include "Serving/BackendProtocol.h"
#include "Serving/OnlineCall.h"
#include "Serving/OverloadPolicy.h"

#include <memory>
#include <unordered_map>

namespace turmericpass {

class CrashDetector;
class CrashCounter;
class IdSource;
class LoadTracker;
class Logger;
class Metrics;
class PlacementPolicy;
class ServerDirectory;

/// What OnlineService works with.
struct OnlineServiceDependencies {
  EventLoop &Loop;
  CallerPort &Callers;
  BackendChannels &Channels;
  ServerDirectory &Servers;
  LoadTracker &Loads;
  const PlacementPolicy &Placement;
  CrashCounter &Crashes;
  CrashDetector &Detector;
  IdSource &Ids;
  const BackendProtocol &Protocol;
  Logger &Log;
  Metrics &Stats;
};

/// Serves requests whose callers wait: passes each one to a server of its
/// route's service, and its answer back.
class OnlineService : private SendHandler {
public:
  explicit OnlineService(OnlineServiceDependencies Parts);

  void start(CallerId Caller, RawRequest Request, const RouteSettings &Route);
  void callerLeft(CallerId Caller);

  std::size_t open() const { return this->Calls.size(); }

private:
  void answerHead(SendId Id, const RawHead &Head) override;
  void answerBody(SendId Id, std::string_view Bytes) override;
  void answerDone(SendId Id) override;
  void sendFailed(SendId Id, SendFailure Failure,
                  std::string_view Detail) override;

  OnlineCall *callOf(SendId Id);
  void sendToServer(OnlineCall &Call);
  SendOrder makeOrder(const OnlineCall &Call, const std::string &Server,
                      const std::string &Address) const;
  /// Ends the send in flight, if there is one, and its share of the load.
  void endSend(OnlineCall &Call, bool CloseConnection);
  void tryAgain(OnlineCall &Call, std::string_view Why);
  void passHead(OnlineCall &Call);
  void passEvents(OnlineCall &Call, std::string_view Bytes);
  void expired(CallerId Caller);
  void stalled(CallerId Caller);
  void armStallTimer(OnlineCall &Call);
  void refuse(OnlineCall &Call, std::string_view Why, Duration RetryAfter);
  void fail(OnlineCall &Call, int Status, std::string_view Why);
  void end(OnlineCall &Call, int Status, std::string_view Outcome);
  void pauseAndTryAgain(OnlineCall &Call);

  OnlineServiceDependencies Dependencies;
  OverloadPolicy Overload;
  std::unordered_map<CallerId, std::unique_ptr<OnlineCall>> Calls;
  std::unordered_map<SendId, CallerId> Sends;
};

} // namespace turmericpass

#endif
