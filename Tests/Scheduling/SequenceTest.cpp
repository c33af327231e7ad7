// Random sequences of events, with what must hold after every one of them.
#include "Support/SchedulerRig.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace turmericpass;

namespace {

/// Drives a scheduler with random events and checks each action.
class Sequence {
public:
  explicit Sequence(int Seed) : Rig(settings()), Random(Seed) {
    this->Rig.Fleet.OnStart = [this](const StartAttempt &Order) {
      this->checkStart(Order);
    };
  }

  void run(int Events) {
    for (int I = 0; I < Events; ++I) {
      this->event();
      this->Rig.Fleet.pump();
      this->Rig.Fleet.advance(this->pick(12));
    }
    for (auto &[Name, Engine] : this->Rig.Fleet.Engines)
      Engine.Slowness = 1;
    this->Leaving.clear();
    this->Rig.Sut.setLeavingServers({});
    this->Rig.Fleet.advance(70000);
    this->checkEnd();
  }

private:
  static FleetSettings settings() {
    FleetSettings Made = fakeSettings(4, 3);
    Made.Classes["check"].LongShare = 1;
    return Made;
  }

  int pick(int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(this->Random);
  }

  std::string pickServer() { return "e0" + std::to_string(this->pick(4)); }

  SchedulerAttemptId pickStream(bool &Found) {
    auto &Streams = this->Rig.Fleet.Engines[this->pickServer()].Streams;
    Found = !Streams.empty();
    if (!Found)
      return 0;
    return std::next(Streams.begin(),
                     this->pick(static_cast<int>(Streams.size())))
        ->first;
  }

  void event() {
    switch (this->pick(12)) {
    case 0:
      return this->cancelSome();
    case 1:
      return this->failSome();
    case 2:
      this->Rig.Fleet.Engines[this->pickServer()].Slowness =
          this->pick(2) == 0 ? 1 : 10;
      return;
    case 3:
      this->Leaving = {};
      if (this->pick(2) == 0)
        this->Leaving.insert(this->pickServer());
      return this->Rig.Sut.setLeavingServers(this->Leaving);
    case 4:
      if (this->pick(4) == 0)
        this->Rig.Fleet.crash(this->pickServer(), 500);
      return;
    case 5:
      return this->lateEvents();
    case 6:
      this->Rig.Sut.handleLoadReport(this->pickServer(),
                                     {0, 0, this->pick(100) / 100.0, 5000});
      return;
    default:
      return this->submitSome();
    }
  }

  void submitSome() {
    const std::string Id = "r" + std::to_string(this->Submitted.size());
    const char *Classes[] = {"check", "quote", "batch", "batch"};
    Submit Work =
        this->Rig.Fleet.request(Id, Classes[this->pick(4)],
                                static_cast<std::uint32_t>(1 + this->pick(60)));
    Work.Customer = this->pick(2) == 0 ? "c" : "d";
    Work.Repeatable = this->pick(5) != 0;
    Work.RemainingMs =
        static_cast<std::uint64_t>(this->pick(10) == 0 ? 300 : 60000);
    this->Submitted.push_back(Work);
    this->Rig.Fleet.submit(Work);
    // A refused submission may be sent again, and is answered again.
    if (this->pick(6) == 0 && this->Rig.Fleet.Answers[Id].Accepts == 1)
      this->Rig.Fleet.submit(Work);
  }

  void cancelSome() {
    if (this->Submitted.empty())
      return;
    const Submit &Work = this->Submitted[static_cast<std::size_t>(
        this->pick(static_cast<int>(this->Submitted.size())))];
    // A second Finish that answers a late Cancel is not wanted here.
    if (!this->Rig.Fleet.Answers[Work.RequestId].isDone())
      this->Rig.Sut.cancel("gw", {Work.RequestId, Work.Attempt});
  }

  void failSome() {
    bool Found = false;
    const SchedulerAttemptId Id = this->pickStream(Found);
    if (!Found)
      return;
    const bool Refused = this->pick(2) == 0;
    for (auto &[Name, Engine] : this->Rig.Fleet.Engines) {
      const auto Stream = Engine.Streams.find(Id);
      if (Stream == Engine.Streams.end())
        continue;
      // A stream that gave tokens was admitted.
      const bool Began =
          Stream->second.Next != Stream->second.Work.ResumeTokenIds.size();
      const std::string Request = Stream->second.Work.RequestId;
      Engine.Streams.erase(Stream);
      if (!Refused || Began)
        this->MaySent.insert(Request);
      this->Rig.Sut.handleAttemptFailure(Id, {ErrorCode::Timeout, "It failed."},
                                         Began     ? AttemptProgress::Admitted
                                         : Refused ? AttemptProgress::NotSent
                                                   : AttemptProgress::Sent);
      return;
    }
  }

  /// Events of attempts that were cancelled or have ended.
  void lateEvents() {
    if (this->Rig.Fleet.Cancels.empty())
      return;
    const SchedulerAttemptId Id =
        this->Rig.Fleet.Cancels[static_cast<std::size_t>(
            this->pick(static_cast<int>(this->Rig.Fleet.Cancels.size())))];
    this->Rig.Sut.handleAttemptTokens(Id, {{999}, {"late"}});
    this->Rig.Sut.handleAttemptReply(Id, {});
    this->Rig.Sut.handleAttemptFailure(Id, {}, AttemptProgress::NotSent);
  }

  void checkStart(const StartAttempt &Order) {
    const std::string &Id = Order.Work.RequestId;
    RC_ASSERT(this->Leaving.count(Order.Server) == 0);
    RC_ASSERT(this->Rig.Fleet.Engines[Order.Server].Streams.size() < 3);
    RC_ASSERT(!this->Rig.Fleet.Answers[Id].isDone());
    RC_ASSERT(Order.Work.ResumeTokenIds == this->Rig.Fleet.Answers[Id].Tokens);
    if (!Order.Work.Repeatable)
      RC_ASSERT(this->Rig.Fleet.Answers[Id].Starts == 1);
    if (Order.Work.Class != "batch")
      return;
    // Whatever could start here and is online goes first.
    for (const Submit &Work : this->Submitted) {
      const FakeAnswer &Answer = this->Rig.Fleet.Answers[Work.RequestId];
      RC_ASSERT(Work.Class == "batch" || Answer.Accepts == 0 ||
                Answer.Starts != 0 || Answer.isDone());
    }
  }

  void checkEnd() {
    RC_ASSERT(this->Rig.Sut.isIdle());
    for (const Submit &Work : this->Submitted) {
      const FakeAnswer &Answer = this->Rig.Fleet.Answers[Work.RequestId];
      RC_ASSERT(Answer.Finishes.size() == std::size_t{1});
      RC_ASSERT(!Answer.HasBadOffset);
      for (std::uint32_t I = 0; I < Answer.Tokens.size(); ++I)
        RC_ASSERT(Answer.Tokens[I] == I);
      const Finish &End = Answer.Finishes[0];
      if (End.Code == FinishCode::Ok)
        RC_ASSERT(Answer.Tokens.size() == Work.MaxTokens);
      if (End.Ran == Execution::NotRun)
        RC_ASSERT(Answer.Tokens.empty() &&
                  this->MaySent.count(Work.RequestId) == 0);
      if (Answer.Starts == 0)
        RC_ASSERT(End.Ran == Execution::NotRun);
    }
  }

  SchedulerRig Rig;
  std::mt19937 Random;
  std::vector<Submit> Submitted;
  std::set<std::string> Leaving;
  /// Requests with an attempt that ended after it was sent.
  std::set<std::string> MaySent;
};

} // namespace

// Guards against whatever a single rule's test does not think of: each
// accepted submission ends once, tokens are whole and in order, work that must
// not be repeated starts once, not_run is true, windows hold, batch work never
// starts before online work that waits, nothing starts on a leaving server.
Test(Sequences, InvariantsHold) {
  cr_assert(rc::check([] {
    const int Seed = *rc::gen::inRange(0, 1000000);
    const int Events = *rc::gen::inRange(1, 400);
    Sequence(Seed).run(Events);
  }));
}
