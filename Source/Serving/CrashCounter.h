#ifndef TURMERICPASS_SERVING_CRASHCOUNTER_H
#define TURMERICPASS_SERVING_CRASHCOUNTER_H

#include "Core/Clock.h"
#include "Serving/CrashRecord.h"
#include "Serving/CrashSuspects.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace turmericpass {

/// Counts the server crashes that coincided with each request, and with each
/// part that prompts share, so that what crashes every server it reaches is
/// blocked. Every VM passes on all counts that it knows, so that they add up
/// and outlive the VM that saw a crash. This class performs no I/O.
class CrashCounter {
public:
  /// A count without a new crash for this long is discarded.
  static constexpr Duration CountLifetime = std::chrono::minutes(10);

  /// The maximum number of records in a message to other VMs, some 2 KB.
  static constexpr std::size_t MaxSharedRecords = 48;

  explicit CrashCounter(const Clock &Time) : Time(Time) {}

  /// Returns \p Age in whole seconds, rounded up.
  static std::uint32_t wholeSeconds(Duration Age);

  /// Counts one crash of \p Server while it was running \p Requests.
  void addCrash(const std::vector<CrashSuspects> &Requests,
                std::uint32_t Server);
  /// Resets the counts of a request that a server ran successfully, and of its
  /// parts. Returns the number of suspects that had crashes.
  unsigned recordSuccess(const CrashSuspects &Suspects);
  /// Merges what another VM reports. Returns whether that changes anything.
  bool mergeRecord(const CrashRecord &Record);

  /// Returns the suspect for which a request must not be sent to a server, if
  /// there is one.
  std::optional<std::uint64_t> findBlocked(const CrashSuspects &Suspects) const;
  bool isBlocked(const CrashSuspects &Suspects) const {
    return this->findBlocked(Suspects).has_value();
  }
  /// Returns whether a blocked request may be sent to a server once, to find
  /// out whether it still crashes servers, and records that if so. The time to
  /// the next trial grows with each one. \p IsChosen returns whether this VM is
  /// the one that tries a suspect.
  bool startTrial(const CrashSuspects &Suspects,
                  const std::function<bool(std::uint64_t)> &IsChosen);

  /// Returns the number of crashes of the suspect that all VMs counted.
  unsigned crashesOf(std::uint64_t Suspect) const;
  /// Returns the number of suspects with at least one crash.
  std::size_t size() const;

  /// Returns at most \p Limit records for the other VMs: those with the most
  /// crashes first, then the latest changes. A record is due for a while after
  /// each change, and blocked suspects are repeated from time to time.
  std::vector<CrashRecord> recordsToShare(std::size_t Limit) const;
  /// Makes the records of blocked suspects due, for a VM that has just started.
  void repeatBlocked();

  /// Returns the records that this VM has to write to the store, where they
  /// outlive a loss of all VMs: of the suspects that it blocked or unblocked,
  /// and of those that another VM blocked but has not stored after a while.
  std::vector<CrashRecord> recordsToStore() const;
  /// Records that the store has \p Record.
  void markStored(const CrashRecord &Record);

private:
  /// The number of crashes from which a suspect is blocked, and the number of
  /// different requests that a part needs besides: equal requests may be
  /// blocked themselves.
  static constexpr unsigned BlockingCrashCount = 3;

  struct ServerCount {
    /// The crashes that any VM counted.
    unsigned Known = 0;
    /// The crashes that this VM saw.
    unsigned Local = 0;
  };
  struct SuspectCount {
    bool IsPart = false;
    std::uint32_t Resets = 0;
    std::map<std::uint32_t, ServerCount> Servers;
    std::set<std::uint32_t> Requests;
    Instant LastCrash;
    std::uint32_t Trials = 0;
    Instant LastTrial;
    /// The time at which this VM knew that the suspect is blocked.
    Instant BlockedAt;
    /// This VM blocked or unblocked the suspect and has to store that.
    bool StoresChange = false;
    /// The store has a record with the same number of resets.
    bool Stored = false;
    /// The record is due in messages to other VMs until then.
    Instant SharedUntil;

    unsigned total() const;
    bool isBlocked() const { return this->total() >= BlockingCrashCount; }
    /// Starts to count from 0 after \p NewResets resets.
    void clear(std::uint32_t NewResets);
    void addServer(std::uint32_t Server, unsigned Known);
    void addRequest(std::uint32_t Request);
  };

  void addCrashOf(std::uint64_t Suspect, std::uint32_t Server,
                  const std::set<std::uint32_t> &RequestsWithPart);
  /// Resets the count. Returns whether there were any crashes.
  bool reset(SuspectCount &Count);
  /// Resets the count of a part that a request had recently without a crash.
  void resetIfSound(std::uint64_t Suspect, SuspectCount &Count);
  void recordPartSuccess(std::uint64_t Part);
  bool isDue(const SuspectCount &Count, Instant Now) const;
  void share(SuspectCount &Count) const;
  CrashRecord makeRecord(std::uint64_t Suspect, const SuspectCount &Count,
                         Instant Now) const;
  const SuspectCount *findCount(std::uint64_t Suspect) const;
  void discardOldCounts();

  const Clock &Time;
  std::map<std::uint64_t, SuspectCount> Counts;
  /// The last success of a request with each part that this VM saw recently.
  std::map<std::uint64_t, Instant> PartSuccesses;
};

} // namespace turmericpass

#endif
