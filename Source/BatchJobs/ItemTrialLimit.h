#ifndef TURMERICPASS_BATCHJOBS_ITEMTRIALLIMIT_H
#define TURMERICPASS_BATCHJOBS_ITEMTRIALLIMIT_H

#include "Core/Clock.h"

namespace turmericpass {

/// Limits the later trials of the items of one service on this VM, so that
/// items that crash every server cannot take down a service by their number.
/// While trials end with crashes, there is one at a time with a pause after it.
/// Each item that is cleared doubles the limit, so that many items under which
/// servers crashed for another reason do not wait for each other. This class
/// performs no I/O.
class ItemTrialLimit {
public:
  /// The pause after a trial that ended with a crash.
  static constexpr Duration PauseAfterCrash = std::chrono::seconds(12);
  static constexpr int MaxLimit = 32;

  /// Returns how many trials may begin while \p Open ones are not over.
  int available(int Open, Instant Now) const;

  /// Records that a trial ended with a crash.
  void recordCrash(Instant Now);
  /// Records that a trial cleared or completed its item.
  void recordCleared();

private:
  int Limit = 1;
  Instant NextStart{};
};

} // namespace turmericpass

#endif
