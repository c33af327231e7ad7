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

constexpr int Servers = 4;
constexpr int Slots = 7;
constexpr Duration Work = 800ms;
constexpr Duration CallerTime = 5s;

RouteSettings streamRoute() {
  RouteSettings Route;
  Route.Name = "r";
  Route.TargetLatency = 300ms;
  return Route;
}

/// Replays waves of callers on servers that work in order of arrival: 2.4 s
/// with 1.4 times what they can serve, then 3.4 s with 0.3 times. Returns the
/// worth earned, where an answer on time earns 1, a late one 0.15, and one that
/// is on time after a refusal the mean of the two.
double replay(bool WithPolicy, int &Refused) {
  struct Arrival {
    Duration At{};
    Duration Remaining{};
    bool Returned = false;
    bool operator>(const Arrival &Other) const { return this->At > Other.At; }
  };
  std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> Arrivals;
  const double Capacity = Servers * Slots / 0.8;
  int Asked = 0;
  for (Duration At{}; At < 29s; ++Asked) {
    const bool InWave = At % 5800ms < 2400ms;
    Arrivals.push({At, CallerTime, false});
    At += Duration(
        static_cast<std::int64_t>(1e6 / Capacity / (InWave ? 1.4 : 0.3)));
  }
  OverloadPolicy Policy;
  const RouteSettings Route = streamRoute();
  std::mt19937_64 Random(1);
  KnownServer Known;
  Known.Entry.Slots = Slots;
  std::vector<std::vector<Duration>> Ends(Servers);
  double Earned = 0;
  while (!Arrivals.empty()) {
    const Arrival Now = Arrivals.top();
    Arrivals.pop();
    for (auto &Each : Ends)
      std::erase_if(Each, [&](Duration End) { return End <= Now.At; });
    auto &Chosen = *std::min_element(
        Ends.begin(), Ends.end(),
        [](const auto &A, const auto &B) { return A.size() < B.size(); });
    const Placement Choice{
        &Known, std::max(0, static_cast<int>(Chosen.size()) + 1 - Slots)};
    if (WithPolicy)
      if (const auto Return =
              Policy.refuse(Route, "m", Choice, Now.Remaining, Random())) {
        ++Refused;
        Arrivals.push({Now.At + *Return, Now.Remaining - *Return, true});
        continue;
      }
    Duration Start = Now.At;
    if (Chosen.size() >= Slots) {
      std::sort(Chosen.begin(), Chosen.end());
      Start = Chosen[Chosen.size() - Slots];
    }
    Chosen.push_back(Start + Work);
    Policy.served("m", Work);
    const bool OnTime = Start - Now.At <= 250ms;
    Earned += OnTime ? (Now.Returned ? 0.575 : 1.0) : 0.15;
  }
  return Earned / Asked;
}

} // namespace

// Guards against waves in which every request is late although room follows.
Test(OverloadPolicy, WavesBeyondTheSlotsAreServedBetterWithRefusals) {
  int Refused = 0;
  const double Without = replay(false, Refused);
  cr_assert_eq(Refused, 0);
  const double Dependencies = replay(true, Refused);
  cr_assert_gt(Refused, 0);
  cr_assert_gt(Dependencies, Without, "with %f, without %f", Dependencies,
               Without);
}

// Guards against a queue that goes on growing with callers that have come back,
// and in which everyone is late long after the burst.
Test(OverloadPolicy, CallersThatCameBackDoNotQueueWithoutEnd) {
  OverloadPolicy Policy;
  const RouteSettings Route = streamRoute();
  KnownServer Known;
  Known.Entry.Slots = Slots;
  Policy.served("m", Work);
  cr_assert_not(Policy.refuse(Route, "m", {&Known, 0}, CallerTime, 1));
  const Duration Left = CallerTime - 1s;
  cr_assert_not(Policy.refuse(Route, "m", {&Known, 7}, Left, 1));
  cr_assert(Policy.refuse(Route, "m", {&Known, 9}, Left, 1));
}

// Guards against a caller that is turned away a second time, and against one
// that is turned away although it would be on time.
Test(OverloadPolicy, OnlyFirstAttemptsThatWouldBeLateAreRefused) {
  OverloadPolicy Policy;
  const RouteSettings Route = streamRoute();
  KnownServer Known;
  Known.Entry.Slots = Slots;
  Policy.served("m", Work);
  cr_assert_not(Policy.refuse(Route, "m", {&Known, 0}, CallerTime, 1));
  cr_assert_not(Policy.refuse(Route, "m", {&Known, 1}, CallerTime, 1));
  const auto Return = Policy.refuse(Route, "m", {&Known, 7}, CallerTime, 1);
  cr_assert(Return);
  cr_assert(*Return <= CallerTime / 3, "callers do not honour a longer wait");
  cr_assert(*Return >= 800ms);
  cr_assert_not(
      Policy.refuse(Route, "m", {&Known, 7}, CallerTime - *Return, 1));
  cr_assert_not(Policy.refuse(Route, "m", {&Known, 7}, std::nullopt, 1));
}
