#ifndef TURMERICPASS_SCHEDULING_LATENCYTRACKER_H
#define TURMERICPASS_SCHEDULING_LATENCYTRACKER_H

#include "Core/Clock.h"
#include "Core/SampleWindow.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericpass {

/// Tracks the times to first token and the gaps between tokens of the servers
/// of a service, measured by the clock of this node. For plain services, the
/// duration of the whole request takes the place of the time to first token.
/// Load reports are not used, because they are delayed.
class LatencyTracker {
public:
  LatencyTracker();

  /// Records a time to first token. \p IsHealthy tells whether the server is
  /// healthy; samples of other servers do not count towards the quantiles.
  void recordFirstToken(const std::string &Server, Duration Elapsed,
                        bool IsHealthy, Instant Now);
  void recordGap(const std::string &Server, Duration Elapsed, bool IsHealthy,
                 Instant Now);
  /// Records that an attempt has waited \p Elapsed for its first token without
  /// getting one.
  void recordOverdue(const std::string &Server, Duration Elapsed, Instant Now);
  /// Discards the samples of a server.
  void forget(const std::string &Server) { this->Servers.erase(Server); }

  /// Recomputes the medians and quantiles unless this was done recently.
  void refreshStatistics(Instant Now);

  /// Returns whether the samples of the server are several times those of its
  /// peers. \p Silence is the time since the last token of a server that is
  /// generating tokens. \p FirstSilence is the time that a server has sent
  /// nothing while all its requests wait for their first token. Each is zero if
  /// it does not apply.
  bool isSlow(const std::string &Server, Duration Silence,
              Duration FirstSilence) const;

  bool isNormalGap(Duration Elapsed) const;
  bool isNormalFirstToken(Duration Elapsed) const;

  /// Returns the time without a first token after which a request is hedged,
  /// which is about the 95th percentile. Empty while there are too few samples.
  std::optional<Duration> hedgeDelay() const;
  /// Returns the gap between tokens above which a stream is considered stalled.
  Duration stallThreshold() const;

private:
  struct MovingMean {
    double MeanMs = 0;
    std::uint32_t Count = 0;
    Instant LastSampleTime;

    void add(double Sample, Instant Now);
  };
  /// A mean of recent samples whose weights decay exponentially with time.
  struct DecayingMean {
    double Sum = 0;
    double Weight = 0;
    std::uint32_t Count = 0;
    Instant LastSampleTime;

    void add(double Sample, Instant Now);
    double meanMs() const { return this->Sum / this->Weight; }
  };
  struct ServerTimes {
    MovingMean FirstToken;
    DecayingMean Gap;
  };

  static double median(std::vector<double> Values);
  void recomputeMedians(Instant Now);

  SampleWindow FirstTokenTimes;
  SampleWindow GapTimes;
  std::map<std::string, ServerTimes> Servers;
  std::uint64_t GapCount = 0;
  Instant LastRefreshTime;
  double MedianFirstTokenMs = 0;
  double MedianGapMs = 0;
  double HighGapMs = 0;
  double HedgeDelayMs = 0;
};

} // namespace turmericpass

#endif
