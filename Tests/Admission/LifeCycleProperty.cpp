#include "Admission/LifeCycleBench.h"

#include <rapidcheck.h>

using namespace turmericpass;

namespace {

constexpr std::uint64_t AnswerTokens = 8;

/// The state of one submission at its dispatcher.
struct Run {
  std::string Peer;
  std::uint32_t Attempt = 0;
  std::uint64_t Next = 0;
  bool Arrived = false;
  bool Started = false;
  bool Ended = false;
  /// A Submit that arrives from now on does not start the request, because its
  /// Cancel has arrived or it was refused.
  bool Stopped = false;
};

/// Simulates correct dispatchers and a network that delays, duplicates,
/// reorders and loses their messages.
class World {
public:
  explicit World(bool Repeatable) : Bench(Repeatable) { this->Bench.start(); }

  void step(int Kind, std::size_t Pick) {
    if (this->Bench.Ending)
      return;
    switch (Kind) {
    case 0:
      this->arrive(Pick);
      break;
    case 1:
    case 2:
      this->speak(Pick);
      break;
    case 3:
    case 4:
    case 5:
      this->deliver(Pick, true);
      break;
    case 6:
      this->deliver(Pick, false);
      break;
    case 7:
      this->drop(Pick);
      break;
    case 8:
      this->losePeer(this->Bench.Usable[Pick % 3], Pick % 5 != 0);
      break;
    case 9:
      this->Bench.wait(std::chrono::milliseconds(50 * (Pick % 40)));
      break;
    default:
      this->refuse(Pick);
    }
    this->takeSent();
  }

  /// Advances the clock until the request must have ended.
  void runOut() {
    for (int I = 0; I < 80 && !this->Bench.Ending; ++I) {
      this->Bench.wait(std::chrono::milliseconds(500));
      this->takeSent();
    }
  }

  void check(bool Repeatable) const {
    RC_ASSERT(this->Bench.Ending.has_value());
    RC_ASSERT(this->Bench.deliveredIsPrefix());
    RC_ASSERT(this->Bench.Delivered.size() <= AnswerTokens);
    if (this->Bench.Ending->Code == FinishCode::Ok)
      RC_ASSERT(this->Bench.Delivered.size() == AnswerTokens);
    if (!Repeatable)
      RC_ASSERT(this->Runs.size() <= 1U);
    if (this->Bench.Ending->Ran != Execution::NotRun)
      return;
    for (const Run &Each : this->Runs)
      RC_ASSERT(!Each.Started && Each.Stopped);
  }

private:
  void takeSent() {
    for (; this->Seen < this->Bench.Sent.size(); ++this->Seen) {
      const SendToDispatcher &Out = this->Bench.Sent[this->Seen];
      if (const auto *Work = std::get_if<Submit>(&Out.Body))
        this->Runs.push_back(
            {Out.Peer, Work->Attempt, Work->ResumeTokenIds.size()});
      else
        this->Cancels.push_back(std::get<Cancel>(Out.Body).Attempt);
    }
  }

  Run *pick(std::size_t Pick) {
    return this->Runs.empty() ? nullptr : &this->Runs[Pick % this->Runs.size()];
  }

  void say(const Run &From, Message Body) {
    this->Network.push_back({From.Peer, std::move(Body)});
  }

  void end(Run &Each, FinishCode Code, Execution Ran) {
    Each.Ended = true;
    Finish Ending;
    Ending.RequestId = "r1";
    Ending.Attempt = Each.Attempt;
    Ending.Code = Code;
    Ending.Ran = Ran;
    Ending.TotalTokens = Code == FinishCode::Ok ? Each.Next : 0;
    this->say(Each, Ending);
  }

  /// Delivers a Submit or, if there is one, its Cancel to the dispatcher.
  void arrive(std::size_t Pick) {
    Run *Each = this->pick(Pick);
    if (!Each || Each->Ended)
      return;
    const bool Cancelled = std::find(this->Cancels.begin(), this->Cancels.end(),
                                     Each->Attempt) != this->Cancels.end();
    if (Cancelled) {
      Each->Stopped = true;
      this->end(*Each, FinishCode::Cancelled,
                Each->Started ? Execution::Ran : Execution::NotRun);
    } else if (!Each->Arrived && !Each->Stopped) {
      Each->Arrived = Each->Started = true;
      this->say(*Each, Accepted{"r1", Each->Attempt, {}});
    }
  }

  void refuse(std::size_t Pick) {
    Run *Each = this->pick(Pick);
    if (!Each || Each->Arrived || Each->Ended || Each->Stopped)
      return;
    Each->Arrived = Each->Stopped = true;
    this->end(*Each, Pick % 2 ? FinishCode::Overloaded : FinishCode::NoServer,
              Execution::NotRun);
  }

  void speak(std::size_t Pick) {
    Run *Each = this->pick(Pick);
    if (!Each || !Each->Started || Each->Ended)
      return;
    if (Each->Next == AnswerTokens)
      return this->end(*Each, FinishCode::Ok, Execution::Ran);
    if (Pick % 17 == 0)
      return this->end(*Each, FinishCode::ServerError, Execution::Ran);
    const std::uint64_t Count =
        std::min<std::uint64_t>(1 + Pick % 3, AnswerTokens - Each->Next);
    this->say(*Each,
              LifeCycleBench::rightChunk(Each->Attempt, Each->Next, Count));
    Each->Next += Count;
  }

  void deliver(std::size_t Pick, bool Once) {
    if (this->Network.empty())
      return;
    const std::size_t Index = Pick % this->Network.size();
    const SendToDispatcher Arriving = this->Network[Index];
    if (Once)
      this->Network.erase(this->Network.begin() +
                          static_cast<std::ptrdiff_t>(Index));
    const Instant Now = this->Bench.Time.now();
    if (const auto *Answer = std::get_if<Accepted>(&Arriving.Body))
      this->Bench.Life.accepted(Arriving.Peer, *Answer, Now);
    else if (const auto *Piece = std::get_if<Chunk>(&Arriving.Body))
      this->Bench.Life.chunk(Arriving.Peer, *Piece, Now);
    else if (const auto *Ending = std::get_if<Finish>(&Arriving.Body))
      this->Bench.Life.finish(Arriving.Peer, *Ending, Now);
    this->Bench.collect();
  }

  void drop(std::size_t Pick) {
    if (!this->Network.empty())
      this->Network.erase(
          this->Network.begin() +
          static_cast<std::ptrdiff_t>(Pick % this->Network.size()));
  }

  /// Simulates that a peer's connection breaks, or that its node is no longer
  /// known to be live.
  void losePeer(const std::string &Peer, bool Broken) {
    if (Broken)
      return this->Bench.lose(Peer);
    this->Bench.Life.replaceSilentDispatcher({Peer}, this->Bench.Time.now());
    this->Bench.collect();
  }

  LifeCycleBench Bench;
  std::vector<Run> Runs;
  std::vector<std::uint32_t> Cancels;
  std::vector<SendToDispatcher> Network;
  std::size_t Seen = 0;

public:
  const std::optional<Finish> &ending() const { return this->Bench.Ending; }
};

void checkWorld(bool Repeatable) {
  const auto Steps =
      *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
          rc::gen::pair(rc::gen::inRange(0, 11),
                        rc::gen::inRange<std::size_t>(0, 1000)));
  World Fleet(Repeatable);
  Fleet.step(9, 0);
  for (const auto &[Kind, Pick] : Steps)
    Fleet.step(Kind, Pick);
  Fleet.runOut();
  RC_TAG(std::string(toName(Fleet.ending()->Code)) + "/" +
         std::string(toName(Fleet.ending()->Ran)));
  Fleet.check(Repeatable);
}

} // namespace

// Guards against wrong results for any order, duplication and loss of messages:
// the request must end exactly once, the delivered tokens must be a prefix of
// the correct answer, the answer must be complete if the request succeeds, and
// `not_run` must be true.
Test(LifeCycleProperty, RepeatableWork) {
  cr_assert(rc::check("repeatable work", [] { checkWorld(true); }));
}

Test(LifeCycleProperty, WorkThatRunsOnce) {
  cr_assert(rc::check("work that runs once", [] { checkWorld(false); }));
}
