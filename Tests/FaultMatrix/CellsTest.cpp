#include "FaultMatrix/Cells.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <set>

using namespace turmericpass;

namespace {

/// Plays each cell of \p At and reports those that do not hold.
void prove(Step At) {
  std::string Failed;
  for (const Fault What : faultsOf(At)) {
    const Cell Proved{At, What};
    const CellRun Run = play({Proved});
    if (!Run.Fired)
      Failed += "\n" + proofName(Proved) + ": the fault never struck";
    for (const std::string &Problem : Run.Problems)
      Failed += "\n" + proofName(Proved) + ": " + Problem;
  }
  cr_assert(Failed.empty(), "%s", Failed.c_str());
}

} // namespace

// Guards against a step of a protocol that nobody tests: every step needs the
// faults that can happen to any process.
Test(Cells, EveryStepHasFaults) {
  for (const Step At : allSteps()) {
    const std::vector<Fault> Declared = faultsOf(At);
    for (const Fault What :
         {Fault::CrashBefore, Fault::CrashAfter, Fault::PauseBefore,
          Fault::PauseAfter, Fault::StoreDown, Fault::StoreSlow})
      cr_assert(
          std::find(Declared.begin(), Declared.end(), What) != Declared.end(),
          "step %s has no fault %s", toName(At).data(), toName(What).data());
  }
}

// Guards against problems of the scenario itself, without any fault.
Test(Cells, NothingIsWrongWithoutFaults) {
  const CellRun Run = play({});
  cr_assert(Run.Problems.empty(), "%s", Run.Problems.front().c_str());
}

// Each of these guards against work that is lost, done twice, or started when
// it must not be, for every fault declared at one step.
Test(Cells, Upload) { prove(Step::Upload); }
Test(Cells, Accept) { prove(Step::Accept); }
Test(Cells, RenewLease) { prove(Step::RenewLease); }
Test(Cells, Claim) { prove(Step::Claim); }
Test(Cells, Run) { prove(Step::Run); }
Test(Cells, StoreResults) { prove(Step::StoreResults); }
Test(Cells, Commit) { prove(Step::Commit); }
Test(Cells, Cancel) { prove(Step::Cancel); }
Test(Cells, Expire) { prove(Step::Expire); }
Test(Cells, Reopen) { prove(Step::Reopen); }
Test(Cells, Finalize) { prove(Step::Finalize); }
Test(Cells, CollectGarbage) { prove(Step::CollectGarbage); }
Test(Cells, IntentBegin) { prove(Step::IntentBegin); }
Test(Cells, IntentFinish) { prove(Step::IntentFinish); }
