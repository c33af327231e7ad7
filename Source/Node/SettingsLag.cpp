#include "Node/SettingsLag.h"

#include <utility>

namespace turmericpass {

namespace {

/// The number of versions whose times are kept. A version beyond it counts from
/// the time of an earlier one.
constexpr std::size_t MaxSeenVersions = 64;

} // namespace

SettingsLag::SettingsLag(std::uint64_t Seed)
    : Delay(FeedTime +
            Duration(static_cast<std::int64_t>(
                Seed % static_cast<std::uint64_t>(Spread.count())))) {}

bool SettingsLag::mustRequest(std::uint64_t Own, std::uint64_t Newest,
                              Instant Now) {
  if (std::exchange(this->OwnBefore, Own) != Own)
    this->Requests = 0;
  while (!this->Seen.empty() && this->Seen.front().Version <= Own)
    this->Seen.pop_front();
  while (!this->Seen.empty() && this->Seen.back().Version > Newest)
    this->Seen.pop_back();
  if (Newest > Own &&
      (this->Seen.empty() || this->Seen.back().Version < Newest)) {
    if (this->Seen.size() < MaxSeenVersions)
      this->Seen.push_back({Newest, Now});
    else
      this->Seen.back().Version = Newest;
  }
  if (this->Seen.empty() || Now - this->Seen.front().SeenAt < this->Delay ||
      Now < this->NextRequest)
    return false;
  this->NextRequest =
      Now + (++this->Requests <= MaxFastRequests ? RequestInterval
                                                 : SlowRequestInterval);
  return true;
}

} // namespace turmericpass
