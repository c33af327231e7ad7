#include "Admission/LifeCycleFixture.h"

#include <rapidcheck.h>

using namespace turmericpass;

namespace {

constexpr std::uint64_t AnswerTokens = 8;

/// The state of one submission at its dispatcher.
struct SimulatedSubmission {
  std::string Peer;
  std::uint32_t Attempt = 0;
  std::uint64_t NextToken = 0;
  bool Arrived = false;
  bool Started = false;
  bool Ended = false;
  /// A Submit that arrives from now on does not start the request, because its
  /// Cancel has arrived or it was refused.
  bool Stopped = false;
};

/// Simulates correct dispatchers and a network that delays, duplicates,
/// reorders and loses their messages.
class DispatcherSimulation {
public:
  explicit DispatcherSimulation(bool Repeatable) : Fixture(Repeatable) {
    this->Fixture.start();
  }

  void step(int Step, std::size_t Pick) {
    if (this->Fixture.Ending)
      return;
    switch (Step) {
    case 0:
      this->deliverToDispatcher(Pick);
      break;
    case 1:
    case 2:
      this->sendNextTokens(Pick);
      break;
    case 3:
    case 4:
    case 5:
      this->deliverToLifeCycle(Pick, true);
      break;
    case 6:
      this->deliverToLifeCycle(Pick, false);
      break;
    case 7:
      this->dropMessage(Pick);
      break;
    case 8:
      this->losePeer(this->Fixture.UsablePeers[Pick % 3], Pick % 5 != 0);
      break;
    case 9:
      this->Fixture.advance(std::chrono::milliseconds(50 * (Pick % 40)));
      break;
    default:
      this->refuseSubmission(Pick);
    }
    this->processSent();
  }

  /// Advances the clock until the request must have ended.
  void runUntilEnded() {
    for (int I = 0; I < 80 && !this->Fixture.Ending; ++I) {
      this->Fixture.advance(std::chrono::milliseconds(500));
      this->processSent();
    }
  }

  void check(bool Repeatable) const {
    RC_ASSERT(this->Fixture.Ending.has_value());
    RC_ASSERT(this->Fixture.deliveredIsPrefix());
    RC_ASSERT(this->Fixture.Delivered.size() <= AnswerTokens);
    if (this->Fixture.Ending->Code == FinishCode::Ok)
      RC_ASSERT(this->Fixture.Delivered.size() == AnswerTokens);
    if (!Repeatable)
      RC_ASSERT(this->Submissions.size() <= 1U);
    if (this->Fixture.Ending->Ran != Execution::NotRun)
      return;
    for (const SimulatedSubmission &Submission : this->Submissions)
      RC_ASSERT(!Submission.Started && Submission.Stopped);
  }

private:
  void processSent() {
    for (; this->ProcessedCount < this->Fixture.Sent.size();
         ++this->ProcessedCount) {
      const SendToDispatcher &Outgoing =
          this->Fixture.Sent[this->ProcessedCount];
      if (const auto *Work = std::get_if<Submit>(&Outgoing.Body))
        this->Submissions.push_back(
            {Outgoing.Peer, Work->Attempt, Work->ResumeTokenIds.size()});
      else
        this->Cancels.push_back(std::get<Cancel>(Outgoing.Body).Attempt);
    }
  }

  SimulatedSubmission *findSubmission(std::size_t Pick) {
    return this->Submissions.empty()
               ? nullptr
               : &this->Submissions[Pick % this->Submissions.size()];
  }

  void send(const SimulatedSubmission &From, Message Body) {
    this->Network.push_back({From.Peer, std::move(Body)});
  }

  void sendFinish(SimulatedSubmission &Submission, FinishCode Code,
                  Execution Ran) {
    Submission.Ended = true;
    Finish Ending;
    Ending.RequestId = "r1";
    Ending.Attempt = Submission.Attempt;
    Ending.Code = Code;
    Ending.Ran = Ran;
    Ending.TotalTokens = Code == FinishCode::Ok ? Submission.NextToken : 0;
    this->send(Submission, Ending);
  }

  /// Delivers a Submit or, if there is one, its Cancel to the dispatcher.
  void deliverToDispatcher(std::size_t Pick) {
    SimulatedSubmission *Submission = this->findSubmission(Pick);
    if (!Submission || Submission->Ended)
      return;
    const bool Cancelled =
        std::find(this->Cancels.begin(), this->Cancels.end(),
                  Submission->Attempt) != this->Cancels.end();
    if (Cancelled) {
      Submission->Stopped = true;
      this->sendFinish(*Submission, FinishCode::Cancelled,
                       Submission->Started ? Execution::Ran
                                           : Execution::NotRun);
    } else if (!Submission->Arrived && !Submission->Stopped) {
      Submission->Arrived = Submission->Started = true;
      this->send(*Submission, Accepted{"r1", Submission->Attempt, {}});
    }
  }

  void refuseSubmission(std::size_t Pick) {
    SimulatedSubmission *Submission = this->findSubmission(Pick);
    if (!Submission || Submission->Arrived || Submission->Ended ||
        Submission->Stopped)
      return;
    Submission->Arrived = Submission->Stopped = true;
    this->sendFinish(*Submission,
                     Pick % 2 ? FinishCode::Overloaded : FinishCode::NoServer,
                     Execution::NotRun);
  }

  void sendNextTokens(std::size_t Pick) {
    SimulatedSubmission *Submission = this->findSubmission(Pick);
    if (!Submission || !Submission->Started || Submission->Ended)
      return;
    if (Submission->NextToken == AnswerTokens)
      return this->sendFinish(*Submission, FinishCode::Ok, Execution::Ran);
    if (Pick % 17 == 0)
      return this->sendFinish(*Submission, FinishCode::ServerError,
                              Execution::Ran);
    const std::uint64_t Count = std::min<std::uint64_t>(
        1 + Pick % 3, AnswerTokens - Submission->NextToken);
    this->send(*Submission,
               LifeCycleFixture::makeCorrectChunk(
                   Submission->Attempt, Submission->NextToken, Count));
    Submission->NextToken += Count;
  }

  void deliverToLifeCycle(std::size_t Pick, bool Remove) {
    if (this->Network.empty())
      return;
    const std::size_t Index = Pick % this->Network.size();
    const SendToDispatcher Arriving = this->Network[Index];
    if (Remove)
      this->Network.erase(this->Network.begin() +
                          static_cast<std::ptrdiff_t>(Index));
    const Instant Now = this->Fixture.Time.now();
    if (const auto *Answer = std::get_if<Accepted>(&Arriving.Body))
      this->Fixture.Life.handleAccepted(Arriving.Peer, *Answer, Now);
    else if (const auto *Piece = std::get_if<Chunk>(&Arriving.Body))
      this->Fixture.Life.handleChunk(Arriving.Peer, *Piece, Now);
    else if (const auto *Ending = std::get_if<Finish>(&Arriving.Body))
      this->Fixture.Life.handleFinish(Arriving.Peer, *Ending, Now);
    this->Fixture.collect();
  }

  void dropMessage(std::size_t Pick) {
    if (!this->Network.empty())
      this->Network.erase(
          this->Network.begin() +
          static_cast<std::ptrdiff_t>(Pick % this->Network.size()));
  }

  /// Simulates that a peer's connection breaks, or that its node is no longer
  /// known to be live.
  void losePeer(const std::string &Peer, bool Broken) {
    if (Broken)
      return this->Fixture.losePeer(Peer);
    this->Fixture.Life.replaceSilentDispatcher({Peer},
                                               this->Fixture.Time.now());
    this->Fixture.collect();
  }

  LifeCycleFixture Fixture;
  std::vector<SimulatedSubmission> Submissions;
  std::vector<std::uint32_t> Cancels;
  std::vector<SendToDispatcher> Network;
  std::size_t ProcessedCount = 0;

public:
  const std::optional<Finish> &ending() const { return this->Fixture.Ending; }
};

void checkSimulation(bool Repeatable) {
  const auto Steps =
      *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
          rc::gen::pair(rc::gen::inRange(0, 11),
                        rc::gen::inRange<std::size_t>(0, 1000)));
  DispatcherSimulation Simulation(Repeatable);
  Simulation.step(9, 0);
  for (const auto &[Step, Pick] : Steps)
    Simulation.step(Step, Pick);
  Simulation.runUntilEnded();
  RC_TAG(std::string(toName(Simulation.ending()->Code)) + "/" +
         std::string(toName(Simulation.ending()->Ran)));
  Simulation.check(Repeatable);
}

} // namespace

// Guards against wrong results for any order, duplication and loss of messages:
// the request must end exactly once, the delivered tokens must be a prefix of
// the correct answer, the answer must be complete if the request succeeds, and
// `not_run` must be true.
Test(LifeCycleProperty, RepeatableWork) {
  cr_assert(rc::check("repeatable work", [] { checkSimulation(true); }));
}

Test(LifeCycleProperty, WorkThatRunsOnce) {
  cr_assert(rc::check("work that runs once", [] { checkSimulation(false); }));
}
