#ifndef TURMERICPASS_SERVING_CRASHGUARD_H
#define TURMERICPASS_SERVING_CRASHGUARD_H

#include <cstdint>
#include <functional>
#include <string>

namespace turmericpass {

class CrashCounter;
class CrashDetector;
class Logger;
struct OnlineCall;

/// Keeps callers' requests that crash servers away from the servers, and
/// reports to the crash counts how each request ended.
class CrashGuard {
public:
  /// \p IsChosenForTrial returns whether this VM is the one that tries out
  /// whether a blocked suspect still crashes servers.
  CrashGuard(CrashCounter &Crashes, CrashDetector &Detector, Logger &Log,
             std::function<bool(std::uint64_t)> IsChosenForTrial);

  /// Returns whether a new request may be sent to a server.
  bool admit(OnlineCall &Call);
  /// Returns whether a request may be sent again after a send that failed.
  bool mayRetry(const OnlineCall &Call) const;

  /// Returns whether the request or a part of its prompt ran on a server when
  /// it crashed, and no run without a crash has reset that.
  bool isSuspect(const OnlineCall &Call) const;

  /// Reports that a send to \p Server did not complete after the server may
  /// have begun to run the request. The send had received \p Events events.
  void sendFailed(const OnlineCall &Call, const std::string &Server,
                  int Events);
  /// Reports that the current send has received events of the answer.
  void eventsReceived(OnlineCall &Call);
  /// Reports that the current send received the whole answer.
  void answered(const OnlineCall &Call);

private:
  void recordSuccess(const OnlineCall &Call);

  CrashCounter &Crashes;
  CrashDetector &Detector;
  Logger &Log;
  std::function<bool(std::uint64_t)> IsChosenForTrial;
};

} // namespace turmericpass

#endif
