#ifndef TURMERICPASS_SCHEDULING_LATENCYTRACKER_H
#define TURMERICPASS_SCHEDULING_LATENCYTRACKER_H

#include "Core/Clock.h"
#include "Scheduling/SampleWindow.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericpass {

/// Times to first token and gaps between tokens of one service's servers, by
/// this node's own clock. Plain services have their whole duration in place
/// of the time to first token. Load reports play no part, because they lag.
class LatencyTracker {
public:
  LatencyTracker();

  /// \p Fit says whether the server is in a normal state; others do not count
  /// among the peers.
  void firstToken(const std::string &Server, Duration Elapsed, bool Fit,
                  Instant Now);
  void gap(const std::string &Server, Duration Elapsed, bool Fit, Instant Now);
  /// The first token has not come for that long already.
  void overdue(const std::string &Server, Duration Elapsed, Instant Now);
  /// Forgets the samples of a server that is good again.
  void forget(const std::string &Server) { this->Servers.erase(Server); }

  /// Renews the medians and quantiles; cheap if done a moment ago.
  void refresh(Instant Now);

  /// Returns whether the server's samples are several times those of its
  /// peers. \p Silence is how long a server with streams under way has sent
  /// nothing, and \p FirstSilence how long one with new requests only; both
  /// are zero if that is not so.
  bool isSlow(const std::string &Server, Duration Silence,
              Duration FirstSilence) const;

  bool isGoodGap(Duration Elapsed) const;
  bool isGoodFirst(Duration Elapsed) const;

  /// Returns after how long without a first token a copy is worth it: about
  /// the 95th percentile. Empty while too little is known.
  std::optional<Duration> hedgeDelay() const;
  /// Returns after which gap one stream counts as stalled.
  Duration stallLimit() const;

private:
  struct Mean {
    double Millis = 0;
    std::uint32_t Count = 0;
    Instant At;

    void add(double Sample, Instant Now);
  };
  /// A mean over the last moments, in which old samples fade with time.
  struct FadingMean {
    double Sum = 0;
    double Weight = 0;
    std::uint32_t Count = 0;
    Instant At;

    void add(double Sample, Instant Now);
    double millis() const { return this->Sum / this->Weight; }
  };
  struct ServerTimes {
    Mean First;
    FadingMean Gap;
  };

  static double median(std::vector<double> Values);
  void refreshMedians(Instant Now);

  SampleWindow Firsts;
  SampleWindow Gaps;
  std::map<std::string, ServerTimes> Servers;
  std::uint64_t GapsSeen = 0;
  Instant Refreshed;
  double MedianFirst = 0;
  double MedianGap = 0;
  double HighGap = 0;
  double HedgeAfter = 0;
};

} // namespace turmericpass

#endif
