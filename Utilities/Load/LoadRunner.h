#ifndef TURMERICPASS_UTILITIES_LOAD_LOADRUNNER_H
#define TURMERICPASS_UTILITIES_LOAD_LOADRUNNER_H

#include "Core/Clock.h"
#include "Http/HttpClient.h"
#include "LoadPlan.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace turmericpass {

class EventLoop;

/// What became of one request. Times are in milliseconds since its scheduled
/// arrival, so that a late start of the generator counts as latency.
struct LoadSample {
  std::string Stream;
  double ArrivalMs = 0;
  bool Long = false;
  bool Whole = false;
  int Status = 0;
  std::string Execution;
  double FirstMs = 0;
  double TotalMs = 0;
  std::uint32_t Tokens = 0;
  std::uint32_t ExpectedTokens = 0;
  double LargestGapMs = 0;
};

/// Sends the requests of a plan and collects samples.
class LoadRunner {
public:
  LoadRunner(EventLoop &Loop, HttpClient &Client, LoadPlan Plan);

  /// Runs the whole plan; turns the loop itself.
  void run();

  /// Returns one JSON document with counts and exact quantiles per stream.
  std::string report() const;

private:
  struct Open;

  void scheduleArrival(std::size_t Stream, Instant At);
  void send(std::size_t Stream, Instant Arrival);
  std::string promptFor(const LoadStream &Stream);
  void readPiece(Open &Request, std::string_view Bytes);
  void readEvent(Open &Request, std::string_view Data);
  void finish(const std::shared_ptr<Open> &Request);
  double sinceArrival(const Open &Request) const;

  EventLoop &Loop;
  HttpClient &Client;
  LoadPlan Plan;
  std::mt19937_64 Random;
  Instant Begin;
  std::uint64_t Sent = 0;
  std::uint64_t OpenRequests = 0;
  std::vector<std::uint64_t> OpenByStream;
  std::vector<LoadSample> Samples;
};

} // namespace turmericpass

#endif
