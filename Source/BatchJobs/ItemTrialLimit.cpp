#include "BatchJobs/ItemTrialLimit.h"

#include <algorithm>

namespace turmericpass {

int ItemTrialLimit::available(int Open, Instant Now) const {
  return Now < this->NextStart ? 0 : std::max(0, this->Limit - Open);
}

void ItemTrialLimit::recordCrash(Instant Now) {
  this->Limit = 1;
  this->NextStart = Now + PauseAfterCrash;
}

void ItemTrialLimit::recordCleared() {
  this->Limit = std::min(this->Limit * 2, MaxLimit);
}

} // namespace turmericpass
