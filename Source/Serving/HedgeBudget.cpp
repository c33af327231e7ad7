#include "Serving/HedgeBudget.h"

namespace turmericpass {

namespace {

/// The requests of a slice stop counting before its copies do, which loses at
/// most this part of the window.
constexpr Duration SliceTime = std::chrono::milliseconds(100);

std::int64_t sliceIndex(Instant Time) {
  return Time.time_since_epoch() / SliceTime;
}

} // namespace

void HedgeBudget::discardOldSlices(Instant Now) {
  const std::int64_t Oldest = sliceIndex(Now - Window);
  while (!this->Slices.empty() && this->Slices.front().Index < Oldest)
    this->Slices.pop_front();
}

HedgeBudget::Slice &HedgeBudget::currentSlice(Instant Now) {
  this->discardOldSlices(Now);
  if (this->Slices.empty() || this->Slices.back().Index != sliceIndex(Now))
    this->Slices.push_back({sliceIndex(Now), 0, 0});
  return this->Slices.back();
}

void HedgeBudget::recordRequest(Instant Now) {
  ++this->currentSlice(Now).Requests;
}

bool HedgeBudget::tryTake(double Share, Instant Now) {
  Slice &Current = this->currentSlice(Now);
  const std::int64_t Oldest = sliceIndex(Now - Window);
  int Requests = 0;
  int Copies = 0;
  for (const Slice &Each : this->Slices) {
    Copies += Each.Copies;
    // Only a part of the oldest slice is in the window.
    if (Each.Index != Oldest)
      Requests += Each.Requests;
  }
  if (Copies + 1 > Share * Requests)
    return false;
  ++Current.Copies;
  return true;
}

} // namespace turmericpass
