#ifndef TURMERICPASS_SERVING_HEDGEPLANNER_H
#define TURMERICPASS_SERVING_HEDGEPLANNER_H

#include "Core/Clock.h"
#include "Core/SampleWindow.h"
#include "Serving/HedgeBudget.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace turmericpass {

/// The operator's settings for hedged requests.
struct HedgeSettings {
  /// The fraction of the requests that may get a copy; 0 turns copies off.
  double Share = 0;
  /// A copy is sent no sooner than this after the first send.
  Duration MinDelay = std::chrono::milliseconds(20);
  /// The fraction of a service's slots that must be free for a copy.
  double FreeSlots = 0.2;
};

/// Whether a late request gets a copy, or the rule that forbids it.
enum class HedgeDecision {
  Send,
  /// Copies are turned off, or this VM stops.
  Disabled,
  /// The request must not run once more.
  Attempts,
  /// The request, or a part of its prompt, ran on a server that crashed.
  Suspect,
  /// Another server would not answer before the deadline.
  Deadline,
  /// No other server has a free slot, or the service has too few.
  Capacity,
  Budget,
};

/// Returns the name of \p Decision in metrics.
std::string_view toName(HedgeDecision Decision);

/// What is known of a request whose answer is late.
struct HedgeCandidate {
  std::string_view Service;
  bool MayRepeat = false;
  /// The number of sends that may have run, and how many the route allows.
  int PossibleRuns = 0;
  int MaxAttempts = 1;
  bool IsSuspect = false;
  /// The time until the deadline.
  Duration Remaining{0};
  /// The free fraction of the slots of the service.
  double FreeSlots = 0;
  /// A server that does not have the request has a free slot.
  bool HasServer = false;
};

/// Decides when a second copy of a late request is sent to another server. This
/// class performs no I/O.
///
/// It is meant for servers that are slow for some hundred milliseconds while
/// the other servers of their service have free slots. A service that is slow
/// as a whole, or full, gets no more copies than the budget allows.
class HedgePlanner {
public:
  /// The number of measured times from which the delay is known.
  static constexpr std::size_t MinSamples = 50;

  explicit HedgePlanner(const Clock &Time) : Time(Time) {}

  void setSettings(HedgeSettings NewSettings) { this->Settings = NewSettings; }
  /// Sends no more copies, because this VM stops.
  void stop() { this->Stopped = true; }
  bool isEnabled() const { return this->Settings.Share > 0 && !this->Stopped; }

  /// Counts a request that may get a copy.
  void recordRequest();
  /// Records the time from a send to its first event or answer.
  void recordAnswer(const std::string &Service, Duration Elapsed);
  /// Records that a cancelled send took longer than \p Elapsed.
  void recordLowerBound(const std::string &Service, Duration Elapsed);

  /// Returns the time after which a request of \p Service is late, or nullopt
  /// if that is unknown or copies are turned off.
  std::optional<Duration> delay(std::string_view Service);

  /// Decides on a late request. HedgeDecision::Send takes a copy from the
  /// budget.
  HedgeDecision decide(const HedgeCandidate &Candidate);

private:
  struct ServiceTimes {
    SampleWindow Measured;
    SampleWindow LowerBounds;
    Instant ComputedAt;
    std::optional<Duration> Delay;
    Duration Median{0};

    ServiceTimes();
  };

  ServiceTimes *refresh(std::string_view Service);
  HedgeDecision checkRules(const HedgeCandidate &Candidate);

  const Clock &Time;
  HedgeSettings Settings;
  bool Stopped = false;
  HedgeBudget Budget;
  std::map<std::string, ServiceTimes, std::less<>> Services;
};

/// Returns the time within which the fraction \p Share of sends got their first
/// answer. \p Measured and \p LowerBounds are sorted; a lower bound belongs to
/// a send that took longer (Kaplan-Meier estimate). \p Measured must not be
/// empty.
double quantileWithLowerBounds(const std::vector<double> &Measured,
                               const std::vector<double> &LowerBounds,
                               double Share);

} // namespace turmericpass

#endif
