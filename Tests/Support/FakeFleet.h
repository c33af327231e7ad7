#ifndef TURMERICPASS_TESTS_SUPPORT_FAKEFLEET_H
#define TURMERICPASS_TESTS_SUPPORT_FAKEFLEET_H

#include "Core/Clock.h"
#include "Scheduling/Scheduler.h"
#include "Settings/FleetSettings.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace turmericpass {

/// Builds settings with classes "check" (rank 0), "quote" (rank 1, waits for
/// "check"), "batch" (rank 2), a model service "m" and a plain service "p".
inline FleetSettings fakeSettings(int Engines, std::uint32_t Slots) {
  FleetSettings Made;
  Made.Services["m"] = {"m", ServiceKind::Model, "m", true, true, 4096};
  Made.Services["p"] = {"p", ServiceKind::Plain, "", true, true, 0};
  for (int I = 0; I < Engines; ++I) {
    const std::string Name = (I < 10 ? "e0" : "e") + std::to_string(I);
    Made.Servers[Name] = {Name, "m", "z", "", Slots, false};
  }
  Made.Classes["check"] = {"check", ClassKind::Online, {}, 0, 60000, 0.5};
  Made.Classes["quote"] = {"quote", ClassKind::Online, {"check"}, 1, 60000, 1};
  Made.Classes["batch"] = {
      "batch", ClassKind::Batch, {"check", "quote"}, 2, 60000, 1};
  return Made;
}

inline std::set<std::string> allServers(const FleetSettings &Settings) {
  std::set<std::string> Names;
  for (const auto &[Name, Server] : Settings.Servers)
    Names.insert(Name);
  return Names;
}

/// What a peer got for one request.
struct FakeAnswer {
  Instant Submitted;
  Instant FirstToken;
  Instant Ended;
  int Accepts = 0;
  int Starts = 0;
  std::vector<std::uint32_t> Tokens;
  /// A chunk did not begin where the one before it ended.
  bool HasBadOffset = false;
  std::vector<Finish> Finishes;

  double millis() const { return toMillis(this->Ended - this->Submitted); }
  bool isDone() const { return !this->Finishes.empty(); }
};

/// Engines and peers around a Scheduler, in virtual time. The answer of a
/// request of length N is the tokens 0 to N-1, so that a repeated, missing or
/// foreign token shows. Engines admit what they are given; a stream takes
/// time for its prompt and for each token, times the engine's slowness.
class FakeFleet {
public:
  struct Stream {
    Submit Work;
    /// Engine time until the next token, in milliseconds.
    double Left = 0;
    std::uint32_t Next = 0;
  };
  struct Engine {
    std::map<SchedulerAttemptId, Stream> Streams;
    double Slowness = 1;
    std::size_t Most = 0;
    int Crashes = 0;
    int Starts = 0;
    Instant DownUntil;
  };

  FakeFleet(Scheduler &Tested, ManualClock &Time)
      : Decider(Tested), Now(Time) {}

  Submit request(const std::string &Id, const std::string &Class,
                 std::uint32_t Length, std::uint32_t Prompt = 32) {
    Submit Work;
    Work.RequestId = Id;
    Work.Customer = "c";
    Work.Service = "m";
    Work.Class = Class;
    Work.RemainingMs = 60000;
    Work.PromptTokens = Prompt;
    Work.MaxTokens = Length;
    Work.Fingerprint = "f" + Id;
    this->Lengths[Id] = Length;
    return Work;
  }

  void submit(const Submit &Work, const std::string &Peer = "gw") {
    this->Answers[Work.RequestId].Submitted = this->Now.now();
    this->Decider.submit(Peer, Work);
    this->pump();
  }

  /// Carries out all actions.
  void pump() {
    for (std::vector<SchedulerAction> Taken = this->Decider.takeActions();
         !Taken.empty(); Taken = this->Decider.takeActions())
      for (SchedulerAction &Action : Taken)
        std::visit([this](auto &Each) { this->apply(Each); }, Action);
  }

  /// Lets time pass in steps of one millisecond.
  void advance(int Millis) {
    for (int I = 0; I < Millis; ++I) {
      this->Now.advance(std::chrono::milliseconds(1));
      for (auto &[Name, Engine] : this->Engines)
        this->step(Name, Engine);
      if (++this->Steps % 5 == 0)
        this->Decider.tick();
      this->pump();
      if (this->EachMilli)
        this->EachMilli();
    }
  }

  /// Loses an engine with all its connections.
  void crash(const std::string &Name, int DownMillis = 3000) {
    Engine &Lost = this->Engines[Name];
    ++Lost.Crashes;
    Lost.DownUntil = this->Now.now() + std::chrono::milliseconds(DownMillis);
    std::map<SchedulerAttemptId, Stream> Streams;
    std::swap(Streams, Lost.Streams);
    for (const auto &[Id, Each] : Streams)
      this->Decider.handleAttemptFailure(
          Id, {ErrorCode::Unavailable, "The connection was lost."},
          AttemptProgress::Sent);
    this->pump();
  }

  /// Returns the \p Share quantile of the durations of finished requests
  /// whose id begins with \p Prefix, in milliseconds.
  double quantile(const std::string &Prefix, double Share) const {
    std::vector<double> Values;
    for (const auto &[Id, Answer] : this->Answers)
      if (Id.starts_with(Prefix) && Answer.isDone())
        Values.push_back(Answer.millis());
    std::sort(Values.begin(), Values.end());
    return Values.empty()
               ? 0
               : Values[static_cast<std::size_t>(
                     Share * static_cast<double>(Values.size() - 1))];
  }

  int count(const std::string &What) const {
    return static_cast<int>(
        std::count_if(this->Decisions.begin(), this->Decisions.end(),
                      [&](const auto &Each) { return Each.Kind == What; }));
  }

  std::map<std::string, Engine> Engines;
  std::map<std::string, FakeAnswer> Answers;
  std::map<std::string, std::uint32_t> Lengths;
  std::vector<StartAttempt> Starts;
  std::vector<SchedulerAttemptId> Cancels;
  std::vector<RecordDecision> Decisions;
  std::vector<std::string> Announced;
  /// Requests with this fingerprint crash the engine that runs them.
  std::string Poison;
  std::uint64_t TokensMade = 0;
  double StepMillis = 10;
  double FirstMillis = 20;
  std::function<void()> EachMilli;
  std::function<void(const StartAttempt &)> OnStart;

private:
  void apply(StartAttempt &Order) {
    FakeAnswer &Answer = this->Answers[Order.Work.RequestId];
    ++Answer.Starts;
    this->Starts.push_back(Order);
    if (this->OnStart)
      this->OnStart(Order);
    Engine &Target = this->Engines[Order.Server];
    if (this->Now.now() < Target.DownUntil) {
      this->Decider.handleAttemptFailure(
          Order.Id, {ErrorCode::Unavailable, "The connection is refused."},
          AttemptProgress::NotSent);
      return;
    }
    const auto Known =
        static_cast<std::uint32_t>(Order.Work.ResumeTokenIds.size());
    const double Jitter =
        std::uniform_real_distribution<double>(0.9, 1.1)(this->Random);
    const double Left =
        Jitter * this->FirstMillis + 0.01 * (Order.Work.PromptTokens + Known);
    Target.Streams[Order.Id] = {Order.Work, Left, Known};
    Target.Most = std::max(Target.Most, Target.Streams.size());
    ++Target.Starts;
  }

  void apply(const CancelAttempt &Order) {
    this->Cancels.push_back(Order.Id);
    for (auto &[Name, Engine] : this->Engines)
      Engine.Streams.erase(Order.Id);
  }

  void apply(SendToPeer &Order) {
    std::visit([this](auto &Body) { this->receive(Body); }, Order.Body);
  }

  void apply(const AnnounceQuarantine &Order) {
    this->Announced.push_back(Order.Fingerprint);
  }

  void apply(const RecordDecision &Order) { this->Decisions.push_back(Order); }

  void receive(const Accepted &Body) {
    ++this->Answers[Body.RequestId].Accepts;
  }

  void receive(const Chunk &Body) {
    FakeAnswer &Answer = this->Answers[Body.RequestId];
    if (Answer.Tokens.empty())
      Answer.FirstToken = this->Now.now();
    Answer.HasBadOffset =
        Answer.HasBadOffset || Body.Offset != Answer.Tokens.size();
    Answer.Tokens.insert(Answer.Tokens.end(), Body.TokenIds.begin(),
                         Body.TokenIds.end());
  }

  void receive(const Finish &Body) {
    FakeAnswer &Answer = this->Answers[Body.RequestId];
    Answer.Finishes.push_back(Body);
    Answer.Ended = this->Now.now();
  }

  template <typename T> void receive(const T &) {}

  void step(const std::string &Name, Engine &Stepped) {
    std::vector<SchedulerAttemptId> Due;
    for (auto &[Id, Each] : Stepped.Streams)
      if ((Each.Left -= 1 / Stepped.Slowness) <= 0)
        Due.push_back(Id);
    for (const SchedulerAttemptId Id : Due) {
      const auto Found = Stepped.Streams.find(Id);
      if (Found == Stepped.Streams.end())
        continue;
      Stream &Each = Found->second;
      if (!this->Poison.empty() && Each.Work.Fingerprint == this->Poison) {
        this->crash(Name);
        return;
      }
      this->emit(Stepped, Id, Each);
      this->pump();
    }
  }

  void emit(Engine &Stepped, SchedulerAttemptId Id, Stream &Each) {
    const std::uint32_t Length = this->Lengths[Each.Work.RequestId];
    if (Each.Next < Length) {
      ++this->TokensMade;
      Each.Left += this->StepMillis;
      this->Decider.handleAttemptTokens(Id, {{Each.Next++}, {"t"}});
    }
    if (Stepped.Streams.count(Id) == 0 || Each.Next < Length)
      return;
    Stepped.Streams.erase(Id);
    this->Decider.handleAttemptReply(Id, {200, "", "", "stop"});
  }

  Scheduler &Decider;
  ManualClock &Now;
  std::mt19937 Random{7};
  std::uint64_t Steps = 0;
};

} // namespace turmericpass

#endif
