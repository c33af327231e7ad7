#include "FaultMatrix/Cells.h"
#include "Support/ProtectionsForTest.h"

#include <criterion/criterion.h>
#include <cstdio>

using namespace turmericpass;

namespace {

/// Returns how many cells find a violation under \p Rules, and prints them.
std::size_t violations(const char *Off, Protections Rules) {
  std::size_t Found = 0;
  for (const Cell &Entry : allCells()) {
    const CellRun Run = play({Entry}, Rules);
    if (Run.Problems.empty())
      continue;
    ++Found;
    std::printf("without %s, %s: %s\n", Off, proofName(Entry).c_str(),
                Run.Problems.front().c_str());
  }
  return Found;
}

} // namespace

// These guard against a matrix that proves nothing: without one protection,
// some cell must find a violation.
Test(Protections, EpochCheck) {
  cr_assert(violations("epoch check", ProtectionsForTest::withoutEpochCheck()) >
            0);
}

Test(Protections, ReadBack) {
  cr_assert(violations("read-back", ProtectionsForTest::withoutReadBack()) > 0);
}

Test(Protections, IntentRow) {
  cr_assert(violations("intent row", ProtectionsForTest::withoutIntentRow()) >
            0);
}

Test(Protections, LapseRaisesTheEpoch) {
  cr_assert(violations("a raised epoch",
                       ProtectionsForTest::withoutRaisedEpoch()) > 0);
}
