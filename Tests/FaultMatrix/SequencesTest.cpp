#include "FaultMatrix/Cells.h"
#include "FaultMatrix/Model.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>
#include <rapidcheck.h>

using namespace turmericpass;

namespace {

using namespace std::chrono_literals;

/// The sequences are spread over this many test processes.
constexpr int Parts = 4;
constexpr std::size_t MaxJobs = 3;
constexpr std::uint64_t WindowMs = 3600000;

enum class Act {
  Submit,
  Cancel,
  CallOnce,
  Pass,
  Crash,
  Pause,
  Down,
  Fail,
  Plan
};

struct Move {
  Act What = Act::Pass;
  std::uint32_t Detail = 0;
};

void showValue(const Move &Shown, std::ostream &Out) {
  Out << "{" << static_cast<int>(Shown.What) << "," << Shown.Detail << "}";
}

std::ostream &operator<<(std::ostream &Out, const Move &Shown) {
  showValue(Shown, Out);
  return Out;
}

rc::Gen<std::vector<Move>> moves() {
  const rc::Gen<Act> Acts = rc::gen::element(
      Act::Submit, Act::Cancel, Act::CallOnce, Act::Pass, Act::Pass, Act::Crash,
      Act::Pause, Act::Down, Act::Fail, Act::Plan, Act::Plan);
  return rc::gen::container<std::vector<Move>>(
      12, rc::gen::build<Move>(
              rc::gen::set(&Move::What, Acts),
              rc::gen::set(&Move::Detail,
                           rc::gen::inRange<std::uint32_t>(0, 1000))));
}

/// One run of a world beside its model.
class Sequence {
public:
  void apply(const Move &Next) {
    const std::uint32_t Detail = Next.Detail;
    const std::size_t Index = Detail % 2;
    switch (Next.What) {
    case Act::Submit:
      return this->submit(Detail % 3 == 0);
    case Act::Cancel:
      if (!this->Jobs.empty())
        this->Place.cancel(*this->Jobs[Detail % this->Jobs.size()]);
      return;
    case Act::CallOnce:
      return this->Place.callOnce("once/" + std::to_string(Detail % 2));
    case Act::Pass:
      return this->Place.pass(World::Tick * (1 + Detail % 30));
    case Act::Crash:
      return this->Place.crash(Index);
    case Act::Pause:
      return this->Place.pause(Index, 1s * (1 + Detail % 60));
    case Act::Down:
      return this->Place.storeDown(1s * (1 + Detail % 30));
    case Act::Fail: {
      constexpr StoreFault Kinds[] = {
          StoreFault::Unavailable, StoreFault::ReplyLost, StoreFault::Slow,
          StoreFault::SlowReply, StoreFault::LateEffect};
      return this->Place.failNext(Index, Kinds[Detail % 5]);
    }
    case Act::Plan: {
      static const std::vector<Cell> Cells = allCells();
      const Cell &Picked = Cells[Detail % Cells.size()];
      return this->Place.plan({Picked.At, Picked.What});
    }
    }
  }

  void submit(bool Orders) {
    if (this->Jobs.size() == MaxJobs)
      return;
    this->Jobs.push_back(&this->Place.submit(
        Orders ? orderLines() : mixedLines(false), Orders ? 2 : 4, WindowMs));
    this->Expected.submit(Orders);
  }

  void end() {
    this->Place.settle();
    for (const std::string &Problem : this->Place.problems())
      RC_FAIL(Problem);
    for (std::size_t I = 0; I < this->Jobs.size(); ++I) {
      const KnownJob &Job = *this->Jobs[I];
      this->Expected.job(I).CancelAcknowledged =
          Job.CancelAcknowledged.has_value();
      const std::string Wrong = this->Expected.judge(I, *Job.Final, Job.Lines);
      if (!Wrong.empty())
        RC_FAIL(Wrong);
    }
  }

private:
  World Place{{}};
  Model Expected;
  std::vector<KnownJob *> Jobs;
};

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

/// Plays a part of the sequences. TURMERICPASS_SEQUENCES is their number in
/// all parts, TURMERICPASS_SEED the seed of the first part.
void playSequences(std::uint64_t Part) {
  const std::uint64_t Seed =
      fromEnvironment("TURMERICPASS_SEED", 20261204) + Part;
  const std::uint64_t Count =
      fromEnvironment("TURMERICPASS_SEQUENCES", 10000) / Parts;
  const std::string Params = "seed=" + std::to_string(Seed) +
                             " max_success=" + std::to_string(Count) +
                             " verbose_progress=0";
  setenv("RC_PARAMS", Params.c_str(), 1);
  std::printf("sequences: %llu with seed %llu\n",
              static_cast<unsigned long long>(Count),
              static_cast<unsigned long long>(Seed));
  cr_assert(rc::check("sequences of requests and faults", [] {
    Sequence Run;
    for (const Move &Next : *moves())
      Run.apply(Next);
    Run.end();
  }));
}

} // namespace

// These guard against work that is lost, repeated or untruthfully reported
// after any sequence of requests and faults, by comparison with a model of
// what the clients were told.
Test(Sequences, First) { playSequences(0); }
Test(Sequences, Second) { playSequences(1); }
Test(Sequences, Third) { playSequences(2); }
Test(Sequences, Fourth) { playSequences(3); }
