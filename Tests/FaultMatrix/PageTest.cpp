#include "FaultMatrix/Cells.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace turmericpass;

namespace {

constexpr const char *Head =
    "# Fault matrix of durable work\n"
    "\n"
    "`FaultMatrixTests` writes this page and fails if it differs. Set\n"
    "`TURMERICPASS_WRITE_PAGE=1` for a run of it to renew the page.\n"
    "\n"
    "Each cell plays whole batch jobs and a call that must not be repeated\n"
    "over the real classes, with one fault at one step, until everything is\n"
    "at rest. It then checks that every accepted item has exactly one result\n"
    "that never changed, that work that must not be repeated ran at most\n"
    "once, that a cancelled job started nothing new, and that every client\n"
    "got a true answer. A cell names its test; `not proved` stands for one\n"
    "that does not hold or whose fault never strikes, and `-` for a fault\n"
    "that cannot happen at the step.\n"
    "\n"
    "`Pairs` plays every pair of cells, and `Sequences` random sequences of\n"
    "requests and faults against a model of what the clients were told.\n"
    "\n"
    "A request that lay in the send queue of a process that stood still is\n"
    "sent when the process runs again, also if its job was cancelled in\n"
    "between. The process then withdraws it at once; only an item that must\n"
    "not be repeated runs to its end, so that its outcome is known.\n";

std::string proofOf(const Cell &Entry) {
  const CellRun Run = play({Entry});
  return Run.Fired && Run.Problems.empty() ? proofName(Entry) : "not proved";
}

std::string render() {
  std::string Page = Head;
  for (const Step At : allSteps()) {
    const std::vector<Fault> Possible = faultsOf(At);
    Page += "\n## " + std::string(toName(At)) +
            "\n\n| fault | proved by |\n| --- | --- |\n";
    for (const Fault What : allFaults()) {
      const bool Can =
          std::find(Possible.begin(), Possible.end(), What) != Possible.end();
      Page += "| " + std::string(toName(What)) + " | " +
              (Can ? proofOf({At, What}) : "-") + " |\n";
    }
  }
  return Page;
}

} // namespace

// Guards against a page that claims more than the matrix proves.
Test(Page, IsWhatTheMatrixProves) {
  const std::string Path = TURMERICPASS_TEST_DATA "/../../docs/fault-matrix.md";
  const std::string Page = render();
  if (std::getenv("TURMERICPASS_WRITE_PAGE"))
    std::ofstream(Path) << Page;
  if (std::getenv("TURMERICPASS_PRINT_PAGE"))
    std::fputs(Page.c_str(), stdout);
  std::ostringstream Committed;
  Committed << std::ifstream(Path).rdbuf();
  cr_assert(Committed.str() == Page, "docs/fault-matrix.md is out of date; run "
                                     "FaultMatrixTests with "
                                     "TURMERICPASS_WRITE_PAGE=1.");
}
