#ifndef TURMERICPASS_BATCHJOBS_ITEMCRASHPOLICY_H
#define TURMERICPASS_BATCHJOBS_ITEMCRASHPOLICY_H

#include "Core/Clock.h"

#include <cstdint>
#include <string_view>

namespace turmericpass {

/// Returns what identifies an item in the crash counts that the VMs share. It
/// differs from that of all callers' requests and of equal items.
std::uint64_t itemSuspect(std::string_view JobId, std::string_view ItemId);

/// What is known about the server crashes that coincided with an item. It is
/// saved with the progress of the item, so that it outlives the VM.
struct ItemCrashCounts {
  int Crashes = 0;
  /// The number of sends since Crashes has reached
  /// ItemCrashPolicy::TrialCrashes, without those that ended without a crash.
  int Trials = 0;
  /// The most events of a send that ended with a crash.
  int EventsBeforeCrash = 0;

  bool operator==(const ItemCrashCounts &) const = default;
};

/// Decides when one batch item may be sent to a server although servers crashed
/// while they ran it. The load it handles is a job with items that crash every
/// server, beside many items that only ran on the same servers. An item is a
/// suspect from its first crash on, and suspects go to different servers, so
/// that the next crash has one suspect. From the third crash on, each send is a
/// trial, whose number is saved before it starts. No number of crashes proves
/// that an item caused them, so trials do not end: after the first ones they
/// are spread, and ItemTrialLimit limits how many items have them at a time. A
/// send that outlives the earlier ones by some events clears the item. This
/// class performs no I/O.
class ItemCrashPolicy {
public:
  /// The number of crashes from which each send is a trial.
  static constexpr int TrialCrashes = 3;
  /// The number of trials that start as soon as their delays are over. Later
  /// ones also wait for those of other items.
  static constexpr int FirstTrials = 3;
  /// The delay before each later trial. It leaves an innocent item the time to
  /// complete soon after the last crash.
  static constexpr Duration LaterTrialDelay = std::chrono::seconds(12);
  /// An item that received more events in one send is no suspect if the server
  /// crashes then. Items that crash servers are known to do so within some 20
  /// events.
  static constexpr int MaxEventsOfSuspect = 64;
  /// The number of events by which a send has to outlive those that crashed
  /// their servers. Some events may not have arrived when a server crashed.
  static constexpr int ClearingEvents = 8;

  /// Adopts what the progress in the store and the shared crash counts say when
  /// this VM becomes the owner of the job.
  void restore(const ItemCrashCounts &Saved, unsigned SharedCrashes,
               Instant Now);

  /// Returns whether the item must not share a server with another suspect.
  bool isSuspect() const { return this->Known.Crashes > 0; }
  /// Returns whether each send of the item is a trial.
  bool isOnTrial() const { return this->Known.Crashes >= TrialCrashes; }
  /// Returns whether a trial is due, which requestTrial() would count.
  bool isTrialDue(Instant Now) const;
  /// Returns whether the trial that is due is one of the later ones, which are
  /// limited over all items.
  bool isNextTrialLimited() const {
    return !this->TrialRequested && this->Known.Trials >= FirstTrials;
  }
  /// Returns whether one of the later trials has begun and is not over.
  bool isInLimitedTrial() const {
    return this->isOnTrial() && this->Known.Trials > FirstTrials &&
           (this->TrialRequested || this->TrialGranted);
  }
  /// Returns whether the item may be sent to a server.
  bool mayStart(Instant Now) const {
    return !this->CheckPending && Now >= this->NextStart &&
           (!this->isOnTrial() || this->TrialGranted);
  }

  /// Returns whether a trial is due, whose number has to be saved now, and
  /// counts it. After a failed save it returns true again without counting.
  bool requestTrial(Instant Now);
  /// Records whether the counts with the requested trial are in the store.
  void finishRequest(bool Saved, Instant Now);

  /// Records that the item was sent.
  void recordStart() { this->TrialRunning = this->TrialGranted; }
  /// Records that a send ended without a crash. It does not count as a trial,
  /// so that refusals and slow servers do not exhaust an item.
  void recordEndWithoutCrash() { this->TrialRunning = false; }
  /// Records that a send failed after \p Events events and that its server is
  /// being checked. Returns false if the item is no suspect after that many.
  bool beginCheck(int Events);
  /// Records the result of the check.
  void finishCheck(bool Crashed, Instant Now);
  bool isCheckPending() const { return this->CheckPending; }
  /// Records that the current send received \p Events events. Returns whether
  /// that clears the item.
  bool recordEvents(int Events);

  /// Settles the counts before another VM takes the job over: an open check
  /// counts as a crash because its result would be lost, and a granted trial
  /// that did not start does not count.
  void prepareHandOver();
  const ItemCrashCounts &counts() const { return this->Known; }

private:
  Duration delay() const;

  ItemCrashCounts Known;
  Instant NextStart{};
  int EventsOfFailedSend = 0;
  bool CheckPending = false;
  /// The current trial is counted, but not known to be saved.
  bool TrialRequested = false;
  bool RequestInFlight = false;
  /// The current trial is saved, and has not ended with a crash.
  bool TrialGranted = false;
  bool TrialRunning = false;
};

} // namespace turmericpass

#endif
