#ifndef TURMERICPASS_SERVING_CRASHDETECTOR_H
#define TURMERICPASS_SERVING_CRASHDETECTOR_H

#include "Loop/EventLoop.h"
#include "RawHttp/BackendChannels.h"
#include "Serving/ServingSettings.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericpass {

class CrashCounter;
class Logger;
class ServerDirectory;

/// Finds out whether a server that broke a request off has crashed, or only
/// lost a connection or an answer. Only a crash counts against the request.
class CrashDetector : private SendHandler {
public:
  /// \p Settings gives the settings in force, or nullptr.
  CrashDetector(EventLoop &Loop, BackendChannels &Channels,
                ServerDirectory &Servers, CrashCounter &Crashes, Logger &Log,
                std::function<const ServingSettings *()> Settings);

  /// \p Server broke a request off as it began to run, or before.
  void brokeOff(const std::string &Server, std::uint64_t Fingerprint);

private:
  void answerHead(SendId, const RawHead &) override {}
  void answerBody(SendId, std::string_view) override {}
  void answerDone(SendId Id) override;
  void sendFailed(SendId Id, SendFailure Failure,
                  std::string_view Detail) override;

  void ask(const std::string &Server);
  void conclude(SendId Id, bool Crashed, std::string_view Detail);

  EventLoop &Loop;
  BackendChannels &Channels;
  ServerDirectory &Servers;
  CrashCounter &Crashes;
  Logger &Log;
  std::function<const ServingSettings *()> Settings;
  /// The requests that each server broke off and that wait for its answer.
  std::map<std::string, std::vector<std::uint64_t>> Suspects;
  std::map<SendId, std::string> Asked;
};

} // namespace turmericpass

#endif
