#ifndef TURMERICPASS_NODE_NODETIMES_H
#define TURMERICPASS_NODE_NODETIMES_H

#include "Core/Clock.h"

namespace turmericpass {

/// The pace of digests inside the zone while this VM's load changes.
inline constexpr Duration DigestPause = std::chrono::milliseconds(20);
/// The pace of digests to other zones is this for each VM, since traffic
/// between zones is dear and grows with the square of the VMs; and the slowest
/// pace.
inline constexpr Duration FarDigestPause = std::chrono::milliseconds(5);
inline constexpr Duration IdleDigestPause = std::chrono::milliseconds(400);

/// How often the progress of items is written down; as much is done again at
/// most when a VM is lost.
inline constexpr Duration ProgressPeriod = std::chrono::milliseconds(1500);

/// The pace of decisions on batch items.
inline constexpr Duration SchedulePeriod = std::chrono::milliseconds(20);
inline constexpr Duration TakeoverPeriod = std::chrono::milliseconds(300);

/// Jobs of silent VMs are left alone so long after the start, until the others
/// have been heard.
inline constexpr Duration LearnTime = std::chrono::milliseconds(1500);

/// The pace at which this VM refreshes its row in the store.
inline constexpr Duration RegistryPeriod = std::chrono::seconds(5);

/// Servers whose entries are missing after the store was away are used for so
/// long; live servers have written them again by then.
inline constexpr Duration MissingServerTime = std::chrono::milliseconds(2200);

/// The balancer needs two misses, a second apart, to send no more callers.
inline constexpr Duration LeaveRotationTime = std::chrono::milliseconds(2600);
/// When no more connections are accepted. The balancer may send callers to a
/// stopping VM for as long as most VMs of its zone stop, and their requests
/// would not end before the SIGKILL.
inline constexpr Duration StopAcceptingTime = std::chrono::milliseconds(3200);
/// Kept off the time of the SIGKILL.
inline constexpr Duration StopMargin = std::chrono::milliseconds(300);
inline constexpr Duration StopCheckPeriod = std::chrono::milliseconds(100);

/// The pauses between two answers with changes. Settings and leaving servers
/// have a bound of two seconds; heads of jobs change with each result, and
/// every VM reads every change.
inline constexpr Duration UrgentChangePause = std::chrono::milliseconds(15);
inline constexpr Duration JobChangePause = std::chrono::milliseconds(120);

/// The pace at which a VM that does not see the store asks others.
inline constexpr Duration AskPeriod = std::chrono::milliseconds(500);

/// The pace at which old jobs are looked for, and how much longer than promised
/// they are kept, since the store's clock is known roughly.
inline constexpr Duration CleanPeriod = std::chrono::seconds(5);
inline constexpr Duration CleanMargin = std::chrono::seconds(30);

inline constexpr Duration ClaimTime = std::chrono::seconds(1);

} // namespace turmericpass

#endif
