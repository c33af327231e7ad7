#ifndef TURMERICPASS_UTILITIES_LOAD_LOADPLAN_H
#define TURMERICPASS_UTILITIES_LOAD_LOADPLAN_H

#include "Core/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericpass {

/// One kind of request that a run sends.
struct LoadStream {
  std::string Name;
  /// The value of Turmericpass-Class; empty for the customer's default.
  std::string Class;
  std::string Model;
  /// Used in place of chat completions if it is not empty.
  std::string Path;
  /// Open loop: mean arrivals per second. 0 if Concurrency is used.
  double Rate = 0;
  /// Closed loop: this many requests are kept open.
  std::uint32_t Concurrency = 0;
  /// When the stream begins and ends, in milliseconds from the start.
  std::uint64_t StartMs = 0;
  std::uint64_t EndMs = 0;
  std::uint32_t PromptWords = 40;
  std::uint32_t MaxTokens = 16;
  /// The share of requests that ask for LongTokens.
  double LongShare = 0;
  std::uint32_t LongTokens = 400;
  /// Requests share this many different prompt beginnings; 0 for none.
  std::uint32_t Prefixes = 0;
  /// Put at the end of each prompt.
  std::string PromptSuffix;
  bool Stream = true;
};

/// A whole run against the gateways.
struct LoadPlan {
  std::uint64_t Seed = 1;
  std::vector<std::string> Targets;
  std::string Key;
  /// Requests that arrive earlier than this are not counted.
  std::uint64_t WarmupMs = 1000;
  /// How long the run waits for answers after the last arrival.
  std::uint64_t GraceMs = 10000;
  /// A file for one JSON line per request; empty for none.
  std::string SamplesFile;
  std::vector<LoadStream> Streams;
};

/// Reads a plan from JSON. Errors: Malformed, with the field at fault.
Result<LoadPlan> parseLoadPlan(const std::string &Text);

} // namespace turmericpass

#endif
