#include "EngineModel.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{1s};

/// Steps until \p Engine is idle. Returns when each request finished.
std::map<RunId, Instant> runOut(EngineModel &Engine) {
  std::map<RunId, Instant> Ends;
  while (Engine.stepEnd()) {
    const Instant At = *Engine.stepEnd();
    for (const StepResult &Step : Engine.endStep())
      if (Step.Finished)
        Ends[Step.Id] = At;
  }
  return Ends;
}

EngineRequest request(RunId Id, std::uint64_t Tokens, std::uint64_t Output) {
  return {Id, {{1, 200}, {100 + Id, Tokens}}, 0, Output};
}

} // namespace

// Guards against a model in which requests beyond the slots run at once.
Test(EngineModel, RequestsBeyondTheSlotsWait) {
  EngineTraits Traits;
  Traits.Slots = 2;
  EngineModel Engine(Traits);
  for (RunId Id = 1; Id <= 3; ++Id)
    Engine.submit(request(Id, 50, 100), Start);
  Engine.endStep();
  cr_assert_eq(Engine.running(), 2);
  cr_assert_eq(Engine.waiting(), 1);
  const auto Ends = runOut(Engine);
  cr_assert_eq(Ends.size(), 3);
  cr_assert(Ends.at(3) > Ends.at(1) + 300ms);
}

// Guards against a long prompt that stops the tokens of others for its whole
// length.
Test(EngineModel, LongPromptsAreReadInChunks) {
  EngineTraits Traits;
  EngineModel Engine(Traits);
  Engine.submit(request(1, 50, 1000), Start);
  Engine.endStep();
  Engine.submit(request(2, 8000, 1), Start);
  std::uint64_t Others = 0;
  bool Done = false;
  while (!Done)
    for (const StepResult &Step : Engine.endStep()) {
      Done = Done || Step.Id == 2;
      Others += Step.Id == 1 ? 1 : 0;
    }
  cr_assert_geq(Others, 8);
}

// Guards against prompts that are read again although their first part is kept.
Test(EngineModel, SharedPartsAreReadOnce) {
  EngineModel Engine(EngineTraits{});
  Engine.submit(request(1, 50, 1), Start);
  runOut(Engine);
  Engine.submit(request(2, 50, 1), Start);
  runOut(Engine);
  cr_assert_eq(Engine.readTokens(), 300);
  cr_assert_eq(Engine.keptTokens(), 200);
}

// Guards against a model that runs more than its memory holds, and against a
// preempted request that loses its tokens.
Test(EngineModel, NewestRequestIsPreemptedWithoutMemory) {
  EngineTraits Traits;
  Traits.MemoryTokens = 1000;
  EngineModel Engine(Traits);
  Engine.submit(request(1, 100, 400), Start);
  Engine.submit(request(2, 100, 400), Start);
  const auto Ends = runOut(Engine);
  cr_assert_gt(Engine.preemptions(), 0);
  cr_assert(Ends.at(1) < Ends.at(2));
}

// Guards against a request that goes on after it was cancelled.
Test(EngineModel, CancelledRequestsEnd) {
  EngineModel Engine(EngineTraits{});
  Engine.submit(request(1, 50, 100), Start);
  Engine.endStep();
  Engine.cancel(1);
  cr_assert(runOut(Engine).empty());
}
