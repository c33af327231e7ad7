#include "BatchJobs/ItemCrashPolicy.h"

#include "Core/Hash.h"

#include <algorithm>
#include <array>

namespace turmericpass {

namespace {

/// Keeps the hashes of items apart from those of requests and prompt parts.
constexpr std::uint64_t ItemSeed = 2;

/// The delays after the first and the second crash. Most items with one crash
/// only ran beside the cause.
constexpr Duration FirstDelay = std::chrono::milliseconds(150);
constexpr Duration SecondDelay = std::chrono::milliseconds(300);

/// The delays before each of the first trials. A crashed server is back after
/// 3 s, so that later trials find all servers running and the losses of callers
/// are spread.
constexpr std::array<Duration, ItemCrashPolicy::FirstTrials> FirstTrialDelays =
    {std::chrono::milliseconds(1500), std::chrono::seconds(3),
     std::chrono::seconds(10)};

/// More crashes and trials than an item can have. The row of an item may be
/// damaged.
constexpr int MaxSavedCount = 100000;

/// The delay before a failed save of a trial is repeated.
constexpr Duration SaveRetryDelay = std::chrono::seconds(1);

} // namespace

std::uint64_t itemSuspect(std::string_view JobId, std::string_view ItemId) {
  return hash64(ItemId, hash64(JobId, ItemSeed));
}

Duration ItemCrashPolicy::delay() const {
  if (!this->isSuspect())
    return Duration(0);
  if (!this->isOnTrial())
    return this->Known.Crashes == 1 ? FirstDelay : SecondDelay;
  return this->Known.Trials < FirstTrials
             ? FirstTrialDelays[static_cast<std::size_t>(this->Known.Trials)]
             : LaterTrialDelay;
}

void ItemCrashPolicy::restore(const ItemCrashCounts &Saved,
                              unsigned SharedCrashes, Instant Now) {
  this->Known.Crashes =
      std::clamp(std::max(Saved.Crashes, static_cast<int>(SharedCrashes)), 0,
                 MaxSavedCount);
  this->Known.Trials = std::clamp(Saved.Trials, 0, MaxSavedCount);
  this->Known.EventsBeforeCrash =
      std::clamp(Saved.EventsBeforeCrash, 0, MaxEventsOfSuspect);
  this->NextStart = Now + this->delay();
}

bool ItemCrashPolicy::isTrialDue(Instant Now) const {
  return this->isOnTrial() && !this->CheckPending && !this->TrialGranted &&
         !this->RequestInFlight && Now >= this->NextStart;
}

bool ItemCrashPolicy::requestTrial(Instant Now) {
  if (!this->isTrialDue(Now))
    return false;
  if (!this->TrialRequested) {
    ++this->Known.Trials;
    this->TrialRequested = true;
  }
  this->RequestInFlight = true;
  return true;
}

void ItemCrashPolicy::finishRequest(bool Saved, Instant Now) {
  this->RequestInFlight = false;
  if (!this->TrialRequested)
    return;
  if (!Saved) {
    this->NextStart = Now + SaveRetryDelay;
    return;
  }
  this->TrialRequested = false;
  this->TrialGranted = true;
}

bool ItemCrashPolicy::beginCheck(int Events) {
  if (Events > MaxEventsOfSuspect)
    return false;
  this->EventsOfFailedSend = Events;
  this->CheckPending = true;
  return true;
}

void ItemCrashPolicy::finishCheck(bool Crashed, Instant Now) {
  if (!this->CheckPending)
    return;
  this->CheckPending = false;
  this->TrialRunning = false;
  if (!Crashed)
    return;
  this->TrialGranted = false;
  ++this->Known.Crashes;
  this->Known.EventsBeforeCrash =
      std::max(this->Known.EventsBeforeCrash, this->EventsOfFailedSend);
  this->NextStart = Now + this->delay();
}

bool ItemCrashPolicy::recordEvents(int Events) {
  if (!this->isSuspect() ||
      Events < this->Known.EventsBeforeCrash + ClearingEvents)
    return false;
  // EventsBeforeCrash stays. An item that crashes servers after 20 events is
  // cleared at most once if it was a bystander of an earlier crash.
  this->Known.Crashes = 0;
  this->Known.Trials = 0;
  this->TrialGranted = false;
  this->TrialRequested = false;
  this->TrialRunning = false;
  return true;
}

void ItemCrashPolicy::prepareHandOver() {
  if (this->CheckPending) {
    ++this->Known.Crashes;
    this->Known.EventsBeforeCrash =
        std::max(this->Known.EventsBeforeCrash, this->EventsOfFailedSend);
  } else if (this->TrialRequested ||
             (this->TrialGranted && !this->TrialRunning)) {
    --this->Known.Trials;
  }
  this->CheckPending = false;
  this->TrialRequested = false;
  this->TrialGranted = false;
  this->TrialRunning = false;
}

} // namespace turmericpass
