#include "Workload.h"

#include "Core/EnumTable.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

constexpr auto PatternNames = makeEnumTable<LoadPattern>({
    {LoadPattern::Steady, "steady"},
    {LoadPattern::Waves, "waves"},
    {LoadPattern::Bursts, "bursts"},
    {LoadPattern::SlowServers, "slow-servers"},
    {LoadPattern::Backlog, "backlog"},
    {LoadPattern::NoisyNeighbours, "noisy"},
});

/// Requests as the users' sheets describe them.
constexpr double OutputTokensOfCaller = 150;
constexpr double OutputTokensOfItem = 1000;
constexpr double OwnPromptTokens = 250;
constexpr std::uint64_t SharedDependencies = 60;
constexpr std::size_t ItemsOfJob = 10;

/// Mean time of one token when most slots are taken, in seconds.
constexpr double TokenSeconds = 0.0042;

/// The waves of the users' callers: 3.4 s low, then 2.4 s high.
constexpr Duration WavePeriod = 5800ms;
constexpr Duration LowPart = 3400ms;
constexpr double LowLoad = 0.35;
constexpr double HighLoad = 1.15;

/// The noisy neighbours of the users' servers.
constexpr std::size_t NoisyPercent = 15;
constexpr double NoiseFactor = 2.5;
constexpr Duration NoiseLength = 600ms;
constexpr Duration NoisePeriod = 3s;

constexpr Duration RunLength = 40s;
/// Arrivals end so long before the run, so that the last ones can end.
constexpr Duration TailLength = 6s;

/// The load of callers at \p At, as a share of what all slots serve.
double callerLoad(LoadPattern Pattern, Duration At) {
  const bool High = At % WavePeriod >= LowPart;
  switch (Pattern) {
  case LoadPattern::Steady:
  case LoadPattern::NoisyNeighbours:
    return 0.4;
  case LoadPattern::Bursts:
    if ((At >= 5s && At < 8s) || (At >= 20s && At < 23s))
      return 2.5;
    return 0.4;
  case LoadPattern::Waves:
  case LoadPattern::SlowServers:
  case LoadPattern::Backlog:
    break;
  }
  return High ? HighLoad : LowLoad;
}

/// The load of jobs, as a share of what all slots serve.
double jobLoad(LoadPattern Pattern) {
  // Items would use the free slots that copies need.
  if (Pattern == LoadPattern::NoisyNeighbours)
    return 0.02;
  return Pattern == LoadPattern::Backlog ? 0.6 : 0.3;
}

} // namespace

std::string_view toName(LoadPattern Pattern) {
  return PatternNames.nameOf(Pattern);
}

const std::vector<LoadPattern> &allPatterns() {
  static const std::vector<LoadPattern> All = [] {
    std::vector<LoadPattern> Patterns;
    for (const auto &Entry : PatternNames.entries())
      Patterns.push_back(Entry.Value);
    return Patterns;
  }();
  return All;
}

Workload makeWorkload(LoadPattern Pattern, const FleetSize &Size,
                      std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  Workload Made;
  Made.Length = RunLength;
  const Duration End = RunLength - TailLength;
  const double TokensPerSecond =
      static_cast<double>(Size.Servers) * Size.Slots / TokenSeconds;
  const auto Draw = [&](double Mean, double Spread) {
    const double Drawn = std::lognormal_distribution<double>(
        std::log(Mean) - Spread * Spread / 2, Spread)(Random);
    return static_cast<std::uint64_t>(std::max(1.0, Drawn));
  };
  const auto Pause = [&](double PerSecond) {
    return Duration(static_cast<std::int64_t>(
        std::exponential_distribution<double>(PerSecond)(Random) * 1e6));
  };
  for (Duration At{}; At < End;) {
    const double PerSecond =
        callerLoad(Pattern, At) * TokensPerSecond / OutputTokensOfCaller;
    At += Pause(PerSecond);
    Made.Callers.push_back({At, Draw(OutputTokensOfCaller, 0.5),
                            Draw(OwnPromptTokens, 0.4),
                            Random() % SharedDependencies});
  }
  const double JobsPerSecond =
      jobLoad(Pattern) * TokensPerSecond / (OutputTokensOfItem * ItemsOfJob);
  for (Duration At = Pause(JobsPerSecond); At < End;
       At += Pause(JobsPerSecond)) {
    JobArrival Job;
    Job.At = At;
    for (std::size_t I = 0; I < ItemsOfJob; ++I)
      Job.OutputTokens.push_back(Draw(OutputTokensOfItem, 0.4));
    Made.Jobs.push_back(std::move(Job));
  }
  if (Pattern == LoadPattern::NoisyNeighbours)
    for (Duration At = 10s; At < End; At += NoisePeriod)
      for (std::size_t I = 0;
           I < std::max<std::size_t>(1, Size.Servers * NoisyPercent / 100); ++I)
        Made.Spells.push_back(
            {Random() % Size.Servers, At, At + NoiseLength, NoiseFactor});
  if (Pattern == LoadPattern::SlowServers)
    for (Duration At = 2s; At < End; At += 3s)
      for (std::size_t I = 0; I < std::max<std::size_t>(1, Size.Servers / 3);
           ++I)
        Made.Spells.push_back({Random() % Size.Servers, At, At + 3s, 4});
  return Made;
}

} // namespace turmericpass
