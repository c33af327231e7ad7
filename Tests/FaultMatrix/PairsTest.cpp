#include "FaultMatrix/Cells.h"

#include <criterion/criterion.h>
#include <cstdio>

using namespace turmericpass;

namespace {

/// The pairs are spread over this many test processes.
constexpr std::size_t Parts = 4;

/// Plays every pair of cells whose number belongs to \p Part.
void provePairs(std::size_t Part) {
  const std::vector<Cell> Cells = allCells();
  std::size_t Number = 0;
  std::size_t Struck = 0;
  std::size_t Played = 0;
  std::string Failed;
  for (std::size_t I = 0; I < Cells.size(); ++I)
    for (std::size_t J = I; J < Cells.size(); ++J) {
      if (Number++ % Parts != Part)
        continue;
      const CellRun Run = play({Cells[I], Cells[J]});
      ++Played;
      Struck += Run.Fired ? 1 : 0;
      for (const std::string &Problem : Run.Problems)
        Failed += "\n" + proofName(Cells[I]) + " and " + proofName(Cells[J]) +
                  ": " + Problem;
    }
  std::printf("pairs, part %zu: %zu played, both faults struck in %zu\n", Part,
              Played, Struck);
  cr_assert(Failed.empty(), "%s", Failed.substr(0, 4000).c_str());
  cr_assert(Struck * 2 > Played);
}

} // namespace

// These guard against protections that hold against one fault and fail when a
// second one, or the same one again, strikes during the recovery.
Test(Pairs, First) { provePairs(0); }
Test(Pairs, Second) { provePairs(1); }
Test(Pairs, Third) { provePairs(2); }
Test(Pairs, Fourth) { provePairs(3); }
