#ifndef TURMERICPASS_TESTS_FAULTMATRIX_CELLS_H
#define TURMERICPASS_TESTS_FAULTMATRIX_CELLS_H

#include "FaultMatrix/World.h"

namespace turmericpass {

/// A fault at a step.
struct Cell {
  Step At = Step::Accept;
  Fault What = Fault::CrashBefore;
};

/// Returns every declared cell, ordered by step.
std::vector<Cell> allCells();

/// Returns the name of the cell's proof, such as "Cells.commit/reply lost".
std::string proofName(const Cell &Proved);

struct CellRun {
  std::vector<std::string> Problems;
  /// Every planned fault struck.
  bool Fired = false;
};

/// Plays the scenario that reaches the step of each of \p Planned, with the
/// faults, until everything is at rest.
CellRun play(const std::vector<Cell> &Planned, Protections Rules = {});

/// The input of a job whose items succeed, are malformed, always fail, and
/// take long; the last one never ends if \p Hang.
std::string mixedLines(bool Hang);
/// The input of a job with two items that must not be repeated.
std::string orderLines();

} // namespace turmericpass

#endif
