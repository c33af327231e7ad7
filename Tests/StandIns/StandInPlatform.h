#ifndef TURMERICPASS_TESTS_STANDINS_STANDINPLATFORM_H
#define TURMERICPASS_TESTS_STANDINS_STANDINPLATFORM_H

#include "Core/Clock.h"
#include "Http/HttpServer.h"
#include "StandIns/FaultSwitches.h"
#include "StandIns/LaggingVms.h"
#include "StandIns/TableStore.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace turmericpass {

class EventLoop;
class Logger;

/// How a stand-in for the platform behaves.
struct PlatformOptions {
  std::uint32_t VmLagMs = 1000;
  std::uint32_t WeightsPerMinute = 6;
  /// Milliseconds before every answer.
  double DelayMs = 0;
  /// Bytes of every object of the weight store.
  std::size_t WeightBytes = 1024;
  /// Seeds the choice of the replies that are lost.
  std::uint64_t Seed = 1;
};

/// The platform: table, object store, weight store and VM list on one port.
/// Its parts are called "table", "objects", "weights" and "vms" in faults and
/// counts.
class StandInPlatform {
public:
  StandInPlatform(EventLoop &Loop, Logger &Log, PlatformOptions Options);

  Result<std::uint16_t> listen(const std::string &Address, std::uint16_t Port);

  /// Returns what GET /stats gives.
  nlohmann::json stats() const;

private:
  /// Counts requests in windows of a fixed length.
  struct Window {
    Instant Since;
    double Count = 0;
  };
  struct Counts {
    std::uint64_t Reads = 0;
    std::uint64_t Writes = 0;
    std::uint64_t Refused = 0;
    std::uint64_t Lost = 0;
    std::uint64_t BytesIn = 0;
    std::uint64_t BytesOut = 0;
  };

  void handle(ExchangeId Id, const HttpRequest &Request);
  void perform(ExchangeId Id, const HttpRequest &Request,
               const std::string &Part);
  HttpReply dispatch(const HttpRequest &Request, const std::string &Part);
  HttpReply handleObject(const HttpRequest &Request);
  HttpReply handleWeights(const HttpRequest &Request);
  bool isOver(Window &Counted, Duration Length, double Limit);

  EventLoop &Loop;
  Logger &Log;
  PlatformOptions Options;
  FaultSwitches Faults;
  TableStore Rows;
  LaggingVms Vms;
  std::map<std::string, std::string> Objects;
  std::map<std::string, Window> Windows;
  Window WeightWindow;
  std::map<std::string, Counts> CountsByPart;
  std::mt19937_64 Random;
  HttpServer Server;
};

} // namespace turmericpass

#endif
