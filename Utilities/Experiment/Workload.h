#ifndef TURMERICPASS_EXPERIMENT_WORKLOAD_H
#define TURMERICPASS_EXPERIMENT_WORKLOAD_H

#include "Core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// Loads that a policy must answer.
enum class LoadPattern {
  /// Callers at a rate that the slots serve easily, and jobs beside them.
  Steady,
  /// Waves of callers that take all slots, with room after each.
  Waves,
  /// Two bursts of several times what the slots serve.
  Bursts,
  /// Waves, while a third of the servers is slow by turns.
  SlowServers,
  /// Waves, and more items than the free slots can run before they are due.
  Backlog,
  /// Callers at a steady rate, while neighbours slow a few servers down briefly
  /// by turns.
  NoisyNeighbours,
};

std::string_view toName(LoadPattern Pattern);
const std::vector<LoadPattern> &allPatterns();

/// One request of a caller.
struct CallerArrival {
  Duration At{};
  std::uint64_t OutputTokens = 0;
  std::uint64_t PromptTokens = 0;
  /// Names the part of the prompt that requests share.
  std::uint64_t SharedPart = 0;
};

/// One job of several items.
struct JobArrival {
  Duration At{};
  std::vector<std::uint64_t> OutputTokens;
};

/// A server works slowly for a while.
struct SlowSpell {
  std::size_t Server = 0;
  Duration From{};
  Duration To{};
  double Factor = 1;
};

/// What happens in one run of the experiment.
struct Workload {
  Duration Length{};
  std::vector<CallerArrival> Callers;
  std::vector<JobArrival> Jobs;
  std::vector<SlowSpell> Spells;
};

/// How large the fleet is for which a load is made.
struct FleetSize {
  std::size_t Nodes = 10;
  std::size_t Zones = 3;
  std::size_t Servers = 12;
  int Slots = 8;
};

/// Makes a load of \p Pattern for a fleet of \p Size. The same \p Seed makes
/// the same load.
Workload makeWorkload(LoadPattern Pattern, const FleetSize &Size,
                      std::uint64_t Seed);

} // namespace turmericpass

#endif
