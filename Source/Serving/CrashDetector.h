#ifndef TURMERICPASS_SERVING_CRASHDETECTOR_H
#define TURMERICPASS_SERVING_CRASHDETECTOR_H

#include "Loop/EventLoop.h"
#include "RawHttp/BackendChannels.h"
#include "Serving/CrashSuspects.h"
#include "Serving/ServingSettings.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericpass {

class CrashCounter;
class Logger;
class ServerDirectory;

/// Determines whether a server that failed to complete a request has crashed or
/// has only lost a connection or an answer. Only a crash is counted against the
/// request.
class CrashDetector : private SendHandler {
public:
  /// Requests that crash servers do so soon after they start. A request that
  /// received more events than this is not suspected when its server crashes.
  static constexpr int MaxEventsOfSuspect = 2;

  /// \p Settings returns the settings in force, or nullptr if there are none.
  CrashDetector(EventLoop &Loop, BackendChannels &Channels,
                ServerDirectory &Servers, CrashCounter &Crashes, Logger &Log,
                std::function<const ServingSettings *()> Settings);

  using CheckCallback = std::function<void(bool Crashed)>;
  /// Reports that \p Server failed a request at the start of its execution or
  /// earlier. The server is checked after a short delay. \p Done, which may be
  /// empty, receives the result; it is never called from within this function.
  void checkForCrash(const std::string &Server, const CrashSuspects &Suspects,
                     CheckCallback Done = {});

private:
  void answerHead(SendId, const RawHead &) override {}
  void answerBody(SendId, std::string_view) override {}
  void answerDone(SendId Id) override;
  void sendFailed(SendId Id, SendFailure Failure,
                  std::string_view Detail) override;

  /// Returns the parts of a prompt with their crash counts, for the log.
  std::string describeParts(const CrashSuspects &Suspects) const;
  void checkServer(const std::string &Server);
  /// Ends a check whose server accepted the connection, if that is still open.
  void endUnansweredCheck(SendId Id);
  void finishCheck(SendId Id, bool Crashed, std::string_view Detail);

  EventLoop &Loop;
  BackendChannels &Channels;
  ServerDirectory &Servers;
  CrashCounter &Crashes;
  Logger &Log;
  std::function<const ServingSettings *()> Settings;
  /// The requests that a server failed and whose check has not finished.
  struct PendingCheck {
    /// The lifetime of the server at the time of the first failure.
    std::uint32_t Lifetime = 0;
    std::vector<CrashSuspects> Requests;
    std::vector<CheckCallback> Callbacks;
    /// Whether a crash lengthens the time for which the server is avoided.
    /// Checks for items do not: many items fail at once, and the failure of
    /// each one is recorded already.
    bool RecordsFailure = false;
  };
  /// Removes the pending check of \p Server and calls its callbacks.
  void closeCheck(const std::string &Server, bool Crashed);
  std::map<std::string, PendingCheck> PendingChecks;
  std::map<SendId, std::string> RunningChecks;
};

} // namespace turmericpass

#endif
