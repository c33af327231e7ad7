#ifndef TURMERICPASS_EXPERIMENT_REPLAY_H
#define TURMERICPASS_EXPERIMENT_REPLAY_H

#include "EngineModel.h"
#include "ReplayNode.h"
#include "Workload.h"

#include <memory>
#include <queue>
#include <random>

namespace turmericpass {

/// What callers and owners of jobs got in a run.
struct ReplayResult {
  std::size_t Callers = 0;
  std::size_t OnTime = 0;
  /// Served on time after they were told to come back.
  std::size_t OnTimeAfterRefusal = 0;
  std::size_t Late = 0;
  std::size_t Unserved = 0;
  std::vector<double> FirstEventMillis;
  std::size_t Items = 0;
  std::size_t ItemsOnTime = 0;
  std::size_t ItemsLate = 0;
  /// Times that an item gave way.
  std::size_t Yields = 0;
  /// The copies of late requests, and those that were first.
  std::size_t Copies = 0;
  std::size_t CopiesWon = 0;
  std::uint64_t ReadTokens = 0;
  /// Callers that came in each second, and what they earned.
  std::vector<double> Asked;
  std::vector<double> Earned;

  /// What was earned of what was owed: an answer on time earns 1, one on time
  /// after a refusal and a late one less, as the users' deployments count.
  double callerWorth() const;
  double itemWorth() const;
  /// Returns the \p Share quantile of the times to the first event, in
  /// milliseconds; 0 if nobody was served.
  double quantile(double Share) const;
};

/// Plays a load against models of the engines, with the decisions of the
/// product, or a part of them, on every node. Time is simulated.
class Replay {
public:
  Replay(const Workload &Load, FleetSize Size, PolicyFlags Flags,
         std::uint64_t Seed);

  ReplayResult run();

private:
  enum class EventKind {
    CallerArrives,
    CallerGivesUp,
    AnswerIsLate,
    JobArrives,
    StepEnds,
    NodeTicks,
    FarDigest,
    SpellBegins,
    SpellEnds,
  };
  struct Event {
    Instant At;
    std::uint64_t Sequence = 0;
    EventKind Kind = EventKind::NodeTicks;
    std::size_t Index = 0;
    bool operator>(const Event &Other) const {
      return std::tie(this->At, this->Sequence) >
             std::tie(Other.At, Other.Sequence);
    }
  };
  struct Call {
    Instant FirstAt;
    Instant AttemptAt;
    bool Returned = false;
    bool Ended = false;
    std::size_t Node = 0;
    std::size_t Server = 0;
    RunId Run = 0;
    Instant SentAt;
    /// The second run of a late request, or 0.
    RunId CopyRun = 0;
    std::size_t CopyServer = 0;
    Instant CopySentAt;
    std::optional<Duration> FirstEvent;
  };
  /// Whose run it is: a caller's, or an item's.
  struct Owner {
    bool IsItem = false;
    std::size_t Index = 0;
    ItemKey Item;
  };

  void at(Instant When, EventKind Kind, std::size_t Index);
  void handle(const Event &Next);
  void callerArrives(std::size_t Index);
  void callerGivesUp(std::size_t Index);
  void answerIsLate(std::size_t Index);
  /// Ends the run that did not make the first event.
  void selectRun(Call &Of, RunId Winner);
  void endRun(const Call &Of, RunId Run, std::size_t Server);
  EngineRequest requestOf(std::size_t Index, RunId Run) const;
  void callerServed(Call &Served);
  void jobArrives(std::size_t Index);
  void stepEnds(std::size_t Server, Instant When);
  void callStepped(std::size_t Index, const StepResult &Step);
  void itemStepped(const Owner &Whose, const StepResult &Step);
  void nodeTicks(std::size_t Node);
  void yieldSlots(ReplayNode &Node);
  void startItems(std::size_t Index);
  void sendDigests(std::size_t From, bool ToAllZones);
  void submit(std::size_t Server, EngineRequest Request);
  std::size_t serverIndex(const std::string &Id) const;

  const Workload &Load;
  FleetSize Size;
  PolicyFlags Flags;
  ManualClock Time;
  Instant Start;
  std::mt19937_64 Random;
  std::vector<EngineModel> Engines;
  std::vector<std::unique_ptr<ReplayNode>> Nodes;
  std::vector<Call> Calls;
  std::map<RunId, Owner> Owners;
  RunId LastRun = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::uint64_t LastSequence = 0;
  ReplayResult Result;
};

} // namespace turmericpass

#endif
