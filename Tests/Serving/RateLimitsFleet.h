#ifndef TURMERICPASS_TESTS_SERVING_RATELIMITSFLEET_H
#define TURMERICPASS_TESTS_SERVING_RATELIMITSFLEET_H

#include "Serving/RateLimits.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace turmericpass {

/// VMs in several zones that send each other reports with delays and losses,
/// and callers of one organisation. One step is 10 ms. Everything follows from
/// the seed.
class RateLimitsFleet {
public:
  struct Options {
    int Zones = 3;
    int VmsPerZone = 8;
    double Rate = 300;
    double Burst = 300;
    double Loss = 0.03;
    /// The maximum time that a report to another zone takes.
    Duration OtherZoneDelay = std::chrono::milliseconds(50);
    std::uint64_t Seed = 1;
  };

  explicit RateLimitsFleet(Options Setup);

  /// Requests per second at a time since the start.
  using Demand = std::function<double(double Seconds)>;
  /// Runs until \p Seconds after the start.
  void run(double Seconds, const Demand &Wanted);

  /// Callers use these VMs only. If it is empty, they use all that run.
  std::vector<std::size_t> UsedVms;
  /// If not negative, this zone and the others do not hear each other.
  int CutZone = -1;

  void kill(std::size_t Vm) { this->Vms[Vm].Limits.reset(); }
  /// Starts the VM at its old address with a new incarnation.
  void start(std::size_t Vm);
  std::size_t size() const { return this->Vms.size(); }

  /// The largest number of admitted requests in a window of 5 s, divided by its
  /// limit.
  double worstWindow() const;
  /// The refused part of the requests since \p Seconds.
  double refusedPart(double Since = 0) const;
  std::size_t refusedCount() const { return this->Refused.size(); }
  std::size_t requestCount() const {
    return this->Refused.size() + this->Admitted.size();
  }
  /// The part of the requests that were refused beyond those that one bucket
  /// for all callers, in a single place, would have refused.
  double refusedWithinLimit() const;
  double admittedBetween(double From, double To) const;
  RateLimits &limits(std::size_t Vm) { return *this->Vms[Vm].Limits; }

  ManualClock Time;
  OrganisationSettings Organisation;

private:
  struct Vm {
    std::unique_ptr<RateLimits> Limits;
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
    int Zone = 0;
    /// Requests were admitted since the last report.
    bool Changed = false;
    Instant ZoneSentAt;
    Instant AllSentAt;
  };
  struct Message {
    std::size_t From = 0;
    std::size_t To = 0;
    std::uint64_t Incarnation = 0;
    std::shared_ptr<const UseReport> Report;
  };

  double now() const;
  bool isCut(std::size_t From, std::size_t To) const;
  void send(std::size_t From);
  void deliver();
  void request();
  void requestCentrally();
  double random() { return this->Uniform(this->Random); }

  Options Setup;
  std::mt19937_64 Random;
  std::uniform_real_distribution<double> Uniform{0, 1};
  std::vector<Vm> Vms;
  std::vector<std::string> Addresses;
  std::multimap<Instant, Message> InTransit;
  Instant StartedAt;
  std::uint64_t Incarnations = 0;
  std::vector<double> Admitted;
  std::vector<double> Refused;
  /// The bucket in a single place.
  double CentralBalance = 0;
  double CentralRefilledAt = 0;
  std::size_t CentralRefused = 0;
};

} // namespace turmericpass

#endif
