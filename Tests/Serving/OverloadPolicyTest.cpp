#include "Serving/OverloadPolicy.h"

#include "Serving/ServerDirectory.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <queue>
#include <random>
#include <vector>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

constexpr int ServerCount = 4;
constexpr int Slots = 7;
constexpr Duration ServiceTime = 800ms;
constexpr Duration CallerTimeLimit = 5s;

RouteSettings streamRoute() {
  RouteSettings Route;
  Route.Name = "r";
  Route.TargetLatency = 300ms;
  return Route;
}

/// Simulates load bursts on servers that work in order of arrival. Each period
/// has 2.4 s with 1.4 times the capacity of the servers, then 3.4 s with 0.3
/// times. Returns the mean value of the answers: an answer on time is worth 1,
/// a late one 0.15, and one that is on time after a refusal the mean of the
/// two.
double simulateBursts(bool UsePolicy, int &RefusalCount) {
  struct Arrival {
    Duration At{};
    Duration Remaining{};
    bool IsRetry = false;
    bool operator>(const Arrival &Other) const { return this->At > Other.At; }
  };
  std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> Arrivals;
  const double Capacity = ServerCount * Slots / 0.8;
  int ArrivalCount = 0;
  for (Duration At{}; At < 29s; ++ArrivalCount) {
    const bool InBurst = At % 5800ms < 2400ms;
    Arrivals.push({At, CallerTimeLimit, false});
    At += Duration(
        static_cast<std::int64_t>(1e6 / Capacity / (InBurst ? 1.4 : 0.3)));
  }
  OverloadPolicy Policy;
  const RouteSettings Route = streamRoute();
  std::mt19937_64 Random(1);
  KnownServer Server;
  Server.Entry.Slots = Slots;
  std::vector<std::vector<Duration>> EndTimes(ServerCount);
  double TotalValue = 0;
  while (!Arrivals.empty()) {
    const Arrival Current = Arrivals.top();
    Arrivals.pop();
    for (auto &Each : EndTimes)
      std::erase_if(Each, [&](Duration End) { return End <= Current.At; });
    auto &ChosenEndTimes = *std::min_element(
        EndTimes.begin(), EndTimes.end(),
        [](const auto &A, const auto &B) { return A.size() < B.size(); });
    const Placement Choice{
        &Server,
        std::max(0, static_cast<int>(ChosenEndTimes.size()) + 1 - Slots)};
    if (UsePolicy)
      if (const auto RetryDelay = Policy.computeRetryDelay(
              Route, "m", Choice, Current.Remaining, Random())) {
        ++RefusalCount;
        Arrivals.push(
            {Current.At + *RetryDelay, Current.Remaining - *RetryDelay, true});
        continue;
      }
    Duration Start = Current.At;
    if (ChosenEndTimes.size() >= Slots) {
      std::sort(ChosenEndTimes.begin(), ChosenEndTimes.end());
      Start = ChosenEndTimes[ChosenEndTimes.size() - Slots];
    }
    ChosenEndTimes.push_back(Start + ServiceTime);
    Policy.recordServiceTime("m", ServiceTime);
    const bool IsOnTime = Start - Current.At <= 250ms;
    TotalValue += IsOnTime ? (Current.IsRetry ? 0.575 : 1.0) : 0.15;
  }
  return TotalValue / ArrivalCount;
}

} // namespace

// Checks that refusals improve the result of bursts that exceed the slots.
// Without refusals every request of a burst is late, although spare capacity
// follows.
Test(OverloadPolicy, WavesBeyondTheSlotsAreServedBetterWithRefusals) {
  int RefusalCount = 0;
  const double ValueWithout = simulateBursts(false, RefusalCount);
  cr_assert_eq(RefusalCount, 0);
  const double ValueWith = simulateBursts(true, RefusalCount);
  cr_assert_gt(RefusalCount, 0);
  cr_assert_gt(ValueWith, ValueWithout, "with %f, without %f", ValueWith,
               ValueWithout);
}

// Checks that retried requests do not let the queue grow without limit, because
// such a queue delays all requests long after the burst.
Test(OverloadPolicy, CallersThatCameBackDoNotQueueWithoutEnd) {
  OverloadPolicy Policy;
  const RouteSettings Route = streamRoute();
  KnownServer Server;
  Server.Entry.Slots = Slots;
  Policy.recordServiceTime("m", ServiceTime);
  cr_assert_not(
      Policy.computeRetryDelay(Route, "m", {&Server, 0}, CallerTimeLimit, 1));
  const Duration Remaining = CallerTimeLimit - 1s;
  cr_assert_not(
      Policy.computeRetryDelay(Route, "m", {&Server, 7}, Remaining, 1));
  cr_assert(Policy.computeRetryDelay(Route, "m", {&Server, 9}, Remaining, 1));
}

// Checks that a request is refused neither on its retry nor if it would be on
// time.
Test(OverloadPolicy, OnlyFirstAttemptsThatWouldBeLateAreRefused) {
  OverloadPolicy Policy;
  const RouteSettings Route = streamRoute();
  KnownServer Server;
  Server.Entry.Slots = Slots;
  Policy.recordServiceTime("m", ServiceTime);
  cr_assert_not(
      Policy.computeRetryDelay(Route, "m", {&Server, 0}, CallerTimeLimit, 1));
  cr_assert_not(
      Policy.computeRetryDelay(Route, "m", {&Server, 1}, CallerTimeLimit, 1));
  const auto RetryDelay =
      Policy.computeRetryDelay(Route, "m", {&Server, 7}, CallerTimeLimit, 1);
  cr_assert(RetryDelay);
  cr_assert(*RetryDelay <= CallerTimeLimit / 3,
            "callers do not honour a longer wait");
  cr_assert(*RetryDelay >= 800ms);
  cr_assert_not(Policy.computeRetryDelay(Route, "m", {&Server, 7},
                                         CallerTimeLimit - *RetryDelay, 1));
  cr_assert_not(
      Policy.computeRetryDelay(Route, "m", {&Server, 7}, std::nullopt, 1));
}
