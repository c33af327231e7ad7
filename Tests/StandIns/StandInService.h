#ifndef TURMERICPASS_TESTS_STANDINS_STANDINSERVICE_H
#define TURMERICPASS_TESTS_STANDINS_STANDINSERVICE_H

#include "Core/Clock.h"
#include "Http/HttpServer.h"
#include "StandIns/FaultSwitches.h"

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace turmericpass {

class EventLoop;
class Logger;

/// A plain service that counts what it executes. It does not notice callers
/// that leave, and never recognises a repeated call by itself.
class StandInService {
public:
  /// \p Crash ends the process, or does what a test wants instead.
  StandInService(EventLoop &Loop, Logger &Log, Duration Delay,
                 std::function<void()> Crash);

  Result<std::uint16_t> listen(const std::string &Address, std::uint16_t Port);

  /// Returns what GET /stats gives.
  nlohmann::json stats() const;
  nlohmann::json loadReport() const;

private:
  void handle(ExchangeId Id, const HttpRequest &Request);
  void execute(ExchangeId Id, const HttpRequest &Request);
  HttpReply buildReply(const HttpRequest &Request) const;

  EventLoop &Loop;
  Logger &Log;
  Duration Delay;
  std::function<void()> Crash;
  FaultSwitches Faults;
  std::uint64_t Received = 0;
  std::uint64_t Executed = 0;
  std::map<std::string, std::uint64_t> ByKey;
  std::map<std::string, std::uint64_t> ByTag;
  HttpServer Server;
};

} // namespace turmericpass

#endif
