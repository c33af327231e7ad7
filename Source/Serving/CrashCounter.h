#ifndef TURMERICPASS_SERVING_CRASHCOUNTER_H
#define TURMERICPASS_SERVING_CRASHCOUNTER_H

#include "Core/Clock.h"
#include "Serving/CrashRecord.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace turmericpass {

/// Counts the server crashes that coincided with each request, so that a
/// request that crashes every server it reaches is blocked. Equal requests
/// share one count. Every VM passes on all counts that it knows, so that they
/// add up and outlive the VM that saw a crash. This class performs no I/O.
class CrashCounter {
public:
  /// A count without a new crash for this long is discarded.
  static constexpr Duration CountLifetime = std::chrono::minutes(10);

  explicit CrashCounter(const Clock &Time) : Time(Time) {}

  /// Returns \p Age in whole seconds, rounded up.
  static std::uint32_t wholeSeconds(Duration Age);

  /// Returns a hash of the target and the body, which is the same for equal
  /// requests.
  static std::uint64_t fingerprint(std::string_view Target,
                                   std::string_view Body);

  /// Counts a crash of \p Server while it was running the request.
  void addCrash(std::uint64_t Fingerprint, std::uint32_t Server);
  /// Resets the count, because a server ran the request successfully. Returns
  /// the number of crashes that had been counted.
  unsigned resetCount(std::uint64_t Fingerprint);
  /// Merges what another VM reports. Returns whether that changes anything.
  bool mergeRecord(const CrashRecord &Record);

  /// Returns whether the request must not be sent to a server again.
  bool isBlocked(std::uint64_t Fingerprint) const {
    return this->crashesOf(Fingerprint) >= BlockingCrashCount;
  }
  /// Returns the number of crashes of the request that all VMs counted.
  unsigned crashesOf(std::uint64_t Fingerprint) const;
  /// Returns the number of requests with at least one crash.
  std::size_t size() const;

  /// Returns at most \p Limit records for the other VMs: blocked requests
  /// first, then the latest changes. A record is due for a while after each
  /// change, and blocked requests are repeated from time to time.
  std::vector<CrashRecord> recordsToShare(std::size_t Limit) const;
  /// Makes the records of blocked requests due, for a VM that has just started.
  void repeatBlocked();

  /// Returns the records that this VM has to write to the store, where they
  /// outlive a loss of all VMs: of the requests that it blocked or unblocked,
  /// and of those that another VM blocked but has not stored after a while.
  std::vector<CrashRecord> recordsToStore() const;
  /// Records that the store has \p Record.
  void markStored(const CrashRecord &Record);

private:
  /// The number of crashes from which a request is blocked.
  static constexpr unsigned BlockingCrashCount = 3;

  struct ServerCount {
    /// The crashes that any VM counted.
    unsigned Known = 0;
    /// The crashes that this VM saw.
    unsigned Local = 0;
  };
  struct RequestCount {
    std::uint32_t Resets = 0;
    std::map<std::uint32_t, ServerCount> Servers;
    Instant LastCrash;
    /// The time at which this VM knew that the request is blocked.
    Instant BlockedAt;
    /// This VM blocked or unblocked the request and has to store that.
    bool StoresChange = false;
    /// The store has a record with the same number of resets.
    bool Stored = false;
    /// The record is due in messages to other VMs until then.
    Instant SharedUntil;

    unsigned total() const;
  };

  bool isDue(const RequestCount &Count, Instant Now) const;
  void share(RequestCount &Count) const;
  CrashRecord makeRecord(std::uint64_t Fingerprint, const RequestCount &Count,
                         Instant Now) const;
  void discardOldCounts();

  const Clock &Time;
  std::map<std::uint64_t, RequestCount> Counts;
};

} // namespace turmericpass

#endif
