#include "FaultMatrix/Cells.h"

#include <algorithm>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t LongWindowMs = 3600000;
constexpr std::uint64_t ShortWindowMs = 9000;

std::string modelLine(const std::string &Word) {
  return R"({"custom_id":")" + Word +
         R"(","method":"POST","url":"/v1/chat/completions","body":)"
         R"({"model":"m","messages":[{"role":"user","content":")" +
         Word + R"("}]}})" + "\n";
}

bool reaches(const std::vector<Cell> &Planned, Step At) {
  return std::any_of(Planned.begin(), Planned.end(),
                     [At](const Cell &Entry) { return Entry.At == At; });
}

} // namespace

std::string mixedLines(bool Hang) {
  return modelLine("good") + "{broken\n" + modelLine("bad") +
         modelLine("slow") + (Hang ? modelLine("hang") : "");
}

std::string orderLines() {
  std::string Lines;
  for (const char *Id : {"o1", "o2"})
    Lines += std::string(R"({"custom_id":")") + Id +
             R"(","method":"POST","url":"/services/orders/new","body":{}})"
             "\n";
  return Lines;
}

std::vector<Cell> allCells() {
  std::vector<Cell> Cells;
  for (const Step At : allSteps())
    for (const Fault What : faultsOf(At))
      Cells.push_back({At, What});
  return Cells;
}

std::string proofName(const Cell &Proved) {
  return "Cells." + std::string(toName(Proved.At)) + "/" +
         std::string(toName(Proved.What));
}

CellRun play(const std::vector<Cell> &Planned, Protections Rules) {
  std::vector<PlannedFault> Faults;
  // Old epochs leave garbage only where a holder lost its chunk.
  if (reaches(Planned, Step::CollectGarbage))
    Faults.push_back({Step::StoreResults, Fault::PauseAfter});
  for (const Cell &Entry : Planned)
    Faults.push_back({Entry.At, Entry.What});
  World Place(std::move(Faults), Rules);
  const bool Expires = reaches(Planned, Step::Expire);
  const bool Reopens = reaches(Planned, Step::Reopen);
  const bool Cancels = Reopens || reaches(Planned, Step::Cancel);
  KnownJob &Mixed =
      Place.submit(mixedLines(Expires || Cancels), Expires || Cancels ? 5 : 4,
                   Expires ? ShortWindowMs : LongWindowMs);
  Place.submit(orderLines(), 2, LongWindowMs);
  Place.callOnce("once/call");
  Place.pass(4s);
  if (Reopens) {
    Place.crash(0);
    Place.crash(1);
  }
  if (Cancels)
    Place.cancel(Mixed);
  Place.settle();
  const auto &Struck = Place.faults();
  return {Place.problems(),
          std::all_of(Struck.begin(), Struck.end(),
                      [](const PlannedFault &F) { return F.Fired; })};
}

} // namespace turmericpass
