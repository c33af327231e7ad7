// Checks the invariants of the scheduler under random sequences of events.
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

  void run(int EventCount) {
    for (int I = 0; I < EventCount; ++I) {
      this->applyRandomEvent();
      this->Rig.Fleet.pump();
      this->Rig.Fleet.advance(this->randomBelow(12));
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
    FleetSettings Settings = fakeSettings(4, 3);
    Settings.Classes["check"].LongShare = 1;
    return Settings;
  }

  int randomBelow(int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(this->Random);
  }

  std::string randomServer() {
    return "e0" + std::to_string(this->randomBelow(4));
  }

  SchedulerAttemptId randomStream(bool &Found) {
    auto &Streams = this->Rig.Fleet.Engines[this->randomServer()].Streams;
    Found = !Streams.empty();
    if (!Found)
      return 0;
    return std::next(Streams.begin(),
                     this->randomBelow(static_cast<int>(Streams.size())))
        ->first;
  }

  void applyRandomEvent() {
    switch (this->randomBelow(12)) {
    case 0:
      return this->cancelRandomRequest();
    case 1:
      return this->failRandomAttempt();
    case 2:
      this->Rig.Fleet.Engines[this->randomServer()].Slowness =
          this->randomBelow(2) == 0 ? 1 : 10;
      return;
    case 3:
      this->Leaving = {};
      if (this->randomBelow(2) == 0)
        this->Leaving.insert(this->randomServer());
      return this->Rig.Sut.setLeavingServers(this->Leaving);
    case 4:
      if (this->randomBelow(4) == 0)
        this->Rig.Fleet.crash(this->randomServer(), 500);
      return;
    case 5:
      return this->reportLateEvents();
    case 6:
      this->Rig.Sut.handleLoadReport(
          this->randomServer(), {0, 0, this->randomBelow(100) / 100.0, 5000});
      return;
    default:
      return this->submitRandomRequest();
    }
  }

  void submitRandomRequest() {
    const std::string Id = "r" + std::to_string(this->Submissions.size());
    const char *Classes[] = {"check", "quote", "batch", "batch"};
    Submit Work = this->Rig.Fleet.request(
        Id, Classes[this->randomBelow(4)],
        static_cast<std::uint32_t>(1 + this->randomBelow(60)));
    Work.Customer = this->randomBelow(2) == 0 ? "c" : "d";
    Work.Repeatable = this->randomBelow(5) != 0;
    Work.RemainingMs =
        static_cast<std::uint64_t>(this->randomBelow(10) == 0 ? 300 : 60000);
    this->Submissions.push_back(Work);
    this->Rig.Fleet.submit(Work);
    // A refused submission may be sent again, and is answered again.
    if (this->randomBelow(6) == 0 && this->Rig.Fleet.Answers[Id].Accepts == 1)
      this->Rig.Fleet.submit(Work);
  }

  void cancelRandomRequest() {
    if (this->Submissions.empty())
      return;
    const Submit &Work = this->Submissions[static_cast<std::size_t>(
        this->randomBelow(static_cast<int>(this->Submissions.size())))];
    // A late Cancel would be answered by a second Finish, which checkEnd()
    // rejects.
    if (!this->Rig.Fleet.Answers[Work.RequestId].isDone())
      this->Rig.Sut.cancel("gw", {Work.RequestId, Work.Attempt});
  }

  void failRandomAttempt() {
    bool Found = false;
    const SchedulerAttemptId Id = this->randomStream(Found);
    if (!Found)
      return;
    const bool IsRefused = this->randomBelow(2) == 0;
    for (auto &[Name, Engine] : this->Rig.Fleet.Engines) {
      const auto Stream = Engine.Streams.find(Id);
      if (Stream == Engine.Streams.end())
        continue;
      // A stream that has sent tokens was admitted.
      const bool HasTokens =
          Stream->second.Next != Stream->second.Work.ResumeTokenIds.size();
      const std::string Request = Stream->second.Work.RequestId;
      Engine.Streams.erase(Stream);
      if (!IsRefused || HasTokens)
        this->PossiblySentRequests.insert(Request);
      this->Rig.Sut.handleAttemptFailure(
          Id, {ErrorCode::Timeout, "The attempt failed."},
          HasTokens   ? AttemptProgress::Admitted
          : IsRefused ? AttemptProgress::NotSent
                      : AttemptProgress::Sent);
      return;
    }
  }

  /// Reports events of an attempt that was cancelled before.
  void reportLateEvents() {
    if (this->Rig.Fleet.Cancels.empty())
      return;
    const SchedulerAttemptId Id =
        this->Rig.Fleet.Cancels[static_cast<std::size_t>(this->randomBelow(
            static_cast<int>(this->Rig.Fleet.Cancels.size())))];
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
    // Online work that could start here must go before batch work.
    for (const Submit &Work : this->Submissions) {
      const FakeAnswer &Answer = this->Rig.Fleet.Answers[Work.RequestId];
      RC_ASSERT(Work.Class == "batch" || Answer.Accepts == 0 ||
                Answer.Starts != 0 || Answer.isDone());
    }
  }

  void checkEnd() {
    RC_ASSERT(this->Rig.Sut.isIdle());
    for (const Submit &Work : this->Submissions) {
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
                  this->PossiblySentRequests.count(Work.RequestId) == 0);
      if (Answer.Starts == 0)
        RC_ASSERT(End.Ran == Execution::NotRun);
    }
  }

  SchedulerRig Rig;
  std::mt19937 Random;
  std::vector<Submit> Submissions;
  std::set<std::string> Leaving;
  /// Requests with an attempt that ended after it was sent.
  std::set<std::string> PossiblySentRequests;
};

} // namespace

// Guards against faults that the tests of single rules miss. Each accepted
// submission ends once, tokens are complete and in order, work that must not be
// repeated starts once, not_run is correct, windows are respected, batch work
// never starts before waiting online work, and nothing starts on a leaving
// server.
Test(Sequences, InvariantsHold) {
  cr_assert(rc::check([] {
    const int Seed = *rc::gen::inRange(0, 1000000);
    const int Events = *rc::gen::inRange(1, 400);
    Sequence(Seed).run(Events);
  }));
}
