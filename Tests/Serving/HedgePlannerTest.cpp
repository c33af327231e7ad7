#include "Serving/HedgePlanner.h"

#include <criterion/criterion.h>
#include <deque>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

struct PlannerBench {
  ManualClock Time;
  HedgePlanner Planner{Time};
  HedgeCandidate Candidate;

  explicit PlannerBench(double Share = 0.1) {
    Planner.setSettings({Share, 20ms, 0.2});
    Candidate.Service = "model";
    Candidate.MayRepeat = true;
    Candidate.PossibleRuns = 1;
    Candidate.MaxAttempts = 2;
    Candidate.Remaining = 1s;
    Candidate.FreeSlots = 0.5;
    Candidate.HasServer = true;
  }

  /// Records requests of which each hundredth takes 500 ms and the others 50.
  void measure(int Count) {
    for (int I = 0; I < Count; ++I) {
      Planner.recordRequest();
      Planner.recordAnswer("model", I % 100 == 99 ? 500ms : 50ms);
    }
  }
};

} // namespace

// Guards against copies before the times of a service are known, and against
// the times of another service or of an earlier load.
Test(HedgePlanner, DelayIsUnknownWithoutEnoughRecentSamples) {
  PlannerBench Bench;
  Bench.measure(49);
  cr_assert_not(Bench.Planner.delay("model"));
  Bench.measure(1);
  cr_assert(Bench.Planner.delay("model"));
  cr_assert_not(Bench.Planner.delay("other"));
  Bench.Time.advance(61s);
  cr_assert_not(Bench.Planner.delay("model"));
}

// Guards against a delay that is not the quantile 1 - share / 2, or that is
// shorter than the operator's minimum.
Test(HedgePlanner, DelayFollowsTheShare) {
  PlannerBench Rare(0.01);
  Rare.measure(300);
  cr_assert_eq(*Rare.Planner.delay("model"), Duration(500ms));
  PlannerBench Often(0.1);
  Often.measure(300);
  cr_assert_eq(*Often.Planner.delay("model"), Duration(50ms));
  PlannerBench Fast;
  for (int I = 0; I < 50; ++I)
    Fast.Planner.recordAnswer("model", 1ms);
  cr_assert_eq(*Fast.Planner.delay("model"), Duration(20ms));
}

// Guards against a delay that shrinks because cancelled sends count as answers,
// or because the slowest sends are missing from the measured times.
Test(HedgePlanner, LowerBoundsDoNotCountAsAnswers) {
  const std::vector<double> Measured(90, 10.0);
  cr_assert_eq(quantileWithLowerBounds(Measured, {}, 0.95), 10);
  // Ten cancelled sends took longer than 30 ms: a tenth is slower than that.
  const std::vector<double> Late(10, 30.0);
  cr_assert_eq(quantileWithLowerBounds(Measured, Late, 0.89), 10);
  cr_assert_eq(quantileWithLowerBounds(Measured, Late, 0.95), 30);
  // Sends that were cancelled early tell nothing.
  const std::vector<double> Early(500, 1.0);
  cr_assert_eq(quantileWithLowerBounds({5, 10, 15, 20}, Early, 0.5), 10);
}

// Guards against each rule being ignored, and against a refused copy that uses
// up the budget.
Test(HedgePlanner, EachRuleForbidsACopy) {
  PlannerBench Bench(0.02);
  Bench.measure(50);
  const auto Decide = [&](auto Change) {
    HedgeCandidate Changed = Bench.Candidate;
    Change(Changed);
    return Bench.Planner.decide(Changed);
  };
  using Candidate = HedgeCandidate;
  cr_assert_eq(Decide([](Candidate &C) { C.MayRepeat = false; }),
               HedgeDecision::Attempts);
  cr_assert_eq(Decide([](Candidate &C) { C.MaxAttempts = 1; }),
               HedgeDecision::Attempts);
  cr_assert_eq(Decide([](Candidate &C) {
                 C.PossibleRuns = 2;
                 C.MaxAttempts = 5;
               }),
               HedgeDecision::Attempts);
  cr_assert_eq(Decide([](Candidate &C) { C.IsSuspect = true; }),
               HedgeDecision::Suspect);
  cr_assert_eq(Decide([](Candidate &C) { C.Remaining = 50ms; }),
               HedgeDecision::Deadline);
  cr_assert_eq(Decide([](Candidate &C) { C.HasServer = false; }),
               HedgeDecision::Capacity);
  cr_assert_eq(Decide([](Candidate &C) { C.FreeSlots = 0.19; }),
               HedgeDecision::Capacity);
  cr_assert_eq(Decide([](Candidate &) {}), HedgeDecision::Send);
  cr_assert_eq(Decide([](Candidate &) {}), HedgeDecision::Budget);
  Bench.Planner.stop();
  cr_assert_eq(Decide([](Candidate &) {}), HedgeDecision::Disabled);
  cr_assert_not(Bench.Planner.delay("model"));
}

// Guards against copies without the operator's consent.
Test(HedgePlanner, IsOffByDefault) {
  ManualClock Time;
  HedgePlanner Planner(Time);
  for (int I = 0; I < 100; ++I) {
    Planner.recordRequest();
    Planner.recordAnswer("model", 50ms);
  }
  cr_assert_not(Planner.delay("model"));
}

// Guards against a storm of copies when all answers become late: in no 10 s
// are there more copies than the share of the requests, in waves of load and
// after a calm time.
Test(HedgePlanner, CopiesStayWithinTheShareInAnyWindow) {
  PlannerBench Bench(0.02);
  std::deque<Instant> Requests;
  std::deque<Instant> Copies;
  int Sent = 0;
  for (int Step = 0; Step < 60'000; ++Step) {
    Bench.Time.advance(1ms);
    const Instant Now = Bench.Time.now();
    // 2.4 s of high load, then 3.4 s of low load, and a pause at 20 s.
    const int Interval = Step % 5800 < 2400 ? 2 : 9;
    if ((Step < 20'000 || Step > 28'000) && Step % Interval == 0) {
      Bench.Planner.recordRequest();
      Bench.Planner.recordAnswer("model", 50ms);
      Requests.push_back(Now);
      if (Bench.Planner.decide(Bench.Candidate) == HedgeDecision::Send) {
        Copies.push_back(Now);
        ++Sent;
      }
    }
    while (!Requests.empty() && Now - Requests.front() > HedgeBudget::Window)
      Requests.pop_front();
    while (!Copies.empty() && Now - Copies.front() > HedgeBudget::Window)
      Copies.pop_front();
    if (!Copies.empty() && Copies.back() == Now)
      cr_assert_leq(Copies.size(), 0.02 * Requests.size());
  }
  // The budget is used, rather than kept.
  cr_assert_gt(Sent, 150);
}
