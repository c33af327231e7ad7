#ifndef TURMERICPASS_TESTS_STANDINS_STANDINENGINE_H
#define TURMERICPASS_TESTS_STANDINS_STANDINENGINE_H

#include "Http/HttpServer.h"
#include "StandIns/EngineBatch.h"
#include "StandIns/EngineOptions.h"
#include "StandIns/EngineOrders.h"
#include "StandIns/FaultSwitches.h"
#include "StandIns/PrefixCache.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace turmericpass {

class EventLoop;
class Logger;
struct EnginePrompt;

/// A model engine that answers with tokens derived from the prompt, at a pace
/// set by its options, and with the faults that a test switches on.
class StandInEngine {
public:
  /// \p Crash ends the process, or does what a test wants instead.
  StandInEngine(EventLoop &Loop, Logger &Log, const EngineOptions &Options,
                std::function<void()> Crash);
  ~StandInEngine();
  StandInEngine(const StandInEngine &) = delete;
  StandInEngine &operator=(const StandInEngine &) = delete;

  Result<std::uint16_t> listen(const std::string &Address, std::uint16_t Port);

  /// Returns what GET /stats gives.
  nlohmann::json stats() const;

private:
  struct Run;
  struct LoadSample {
    std::size_t Running = 0;
    std::size_t Waiting = 0;
    double KvCacheUsage = 0;
    Instant At;
  };

  EngineBatch::Events batchEvents();
  void handle(ExchangeId Id, const HttpRequest &Request);
  void handleHeld();
  void route(ExchangeId Id, const HttpRequest &Request);
  void complete(ExchangeId Id, const HttpRequest &Request, bool Chat);
  void answerError(ExchangeId Id, int Status, const std::string &Text,
                   const std::string &Tag);
  HttpReply setFault(const HttpRequest &Request);
  HttpReply describeLoad();
  HttpReply describeCacheEvents(const HttpRequest &Request) const;
  void sampleLoad();

  Duration start(ExchangeId Id);
  bool advance(ExchangeId Id);
  void sendToken(Run &Open, std::uint32_t Token);
  void end(ExchangeId Id);
  void drop(ExchangeId Id, const char *Why);
  void departed(ExchangeId Id);
  std::string replyTag(const Run &Open) const;

  EventLoop &Loop;
  Logger &Log;
  EngineOptions Options;
  std::function<void()> Crash;
  FaultSwitches Faults;
  EngineOrders Orders;
  PrefixCache Cache;
  std::map<ExchangeId, std::unique_ptr<Run>> Runs;
  std::vector<std::pair<ExchangeId, HttpRequest>> Held;
  std::map<std::string, std::uint64_t> Counters;
  /// How often each request tag took a slot.
  std::map<std::string, std::uint64_t> RunsByTag;
  LoadSample Sample;
  WatchId SampleTimer = 0;
  WatchId HeldTimer = 0;
  EngineBatch Batch;
  HttpServer Server;
};

} // namespace turmericpass

#endif
