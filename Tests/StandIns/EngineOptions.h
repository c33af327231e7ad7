#ifndef TURMERICPASS_TESTS_STANDINS_ENGINEOPTIONS_H
#define TURMERICPASS_TESTS_STANDINS_ENGINEOPTIONS_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace turmericpass {

/// How a stand-in for a model engine behaves.
struct EngineOptions {
  std::string Model = "model";
  /// Requests that are in the batch at once; others wait in order of arrival.
  std::uint32_t Slots = 8;
  /// Milliseconds of one step, which gives each running request a token.
  double TokenMs = 20;
  /// Milliseconds before the first step, for each prompt token not cached.
  double PrefillMsPerToken = 0.05;
  /// Age limit of what GET /load reports, in milliseconds.
  std::uint32_t LoadLagMs = 500;
  /// Milliseconds after which a cache event is published.
  std::uint32_t CacheLagMs = 300;
  /// Each event whose number is a multiple of it is never published; 0 for
  /// no gaps.
  std::uint32_t CacheGapEvery = 7;
  /// Blocks of prompt that the prefix cache holds.
  std::size_t CacheBlocks = 4096;
  /// Tokens that fill the KV cache in load reports.
  std::uint32_t KvTokens = 100000;
  /// Whether orders with an old fencing number are refused.
  bool CheckFencing = false;
};

} // namespace turmericpass

#endif
