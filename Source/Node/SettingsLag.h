#ifndef TURMERICPASS_NODE_SETTINGSLAG_H
#define TURMERICPASS_NODE_SETTINGSLAG_H

#include "Core/Clock.h"

#include <cstdint>
#include <deque>

namespace turmericpass {

/// Decides when this VM requests settings from another VM that has a newer
/// version. The load it handles is that of a change that reaches the VMs at
/// different times: the store delivers it to those that it reaches, so only a
/// VM that the store does not reach makes a request. This class performs no
/// I/O.
class SettingsLag {
public:
  /// The time for which another VM must have a newer version before this VM
  /// requests it. It is longer than MaxUrgentChangeInterval, within which the
  /// store delivers changes.
  static constexpr Duration FeedTime = std::chrono::milliseconds(700);
  /// The VMs that the store does not reach divide their requests over this
  /// time. With FeedTime and the 400 ms between digests, the first requests are
  /// made 1.4 s after a change, which must be in force after 3 s.
  static constexpr Duration Spread = std::chrono::milliseconds(300);
  /// The interval between requests. Each goes to another VM by chance.
  static constexpr Duration RequestInterval = std::chrono::milliseconds(400);
  /// After MaxFastRequests for one version, it is likely that no VM gives a
  /// document that this VM can read.
  static constexpr int MaxFastRequests = 6;
  static constexpr Duration SlowRequestInterval = std::chrono::seconds(5);

  /// \p Seed differs between VMs.
  explicit SettingsLag(std::uint64_t Seed);

  /// Returns whether to request newer settings now. \p Own and \p Newest are
  /// the versions of this VM and of the VM with the newest one.
  bool mustRequest(std::uint64_t Own, std::uint64_t Newest, Instant Now);

private:
  /// A version that this VM does not have.
  struct SeenVersion {
    std::uint64_t Version = 0;
    Instant SeenAt;
  };

  Duration Delay;
  /// In ascending order. Each version has its own time, so that a series of
  /// quick changes that the store delivers causes no request.
  std::deque<SeenVersion> Seen;
  Instant NextRequest;
  /// The number of requests since this VM's version last changed.
  int Requests = 0;
  std::uint64_t OwnBefore = 0;
};

} // namespace turmericpass

#endif
