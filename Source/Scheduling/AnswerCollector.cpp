#include "Scheduling/AnswerCollector.h"

#include "Scheduling/FleetState.h"

namespace turmericpass {

namespace {

// A request that crashes servers does so at a fixed point of its processing. A
// suspect that generates this many tokens beyond the point of the crash is
// cleared.
constexpr std::uint64_t TokensThatClear = 16;
// A first token measures both the prompt processing and the first decoding
// step.
constexpr std::uint32_t FirstTokenWeight = 3;
constexpr double MeanWeight = 0.1;
// Data that a server sent before its loss may still be read within this time.
constexpr std::chrono::milliseconds AliveMargin{100};
constexpr int FirstServerError = 500;

} // namespace

void AnswerCollector::cancelLosers(WorkItem &Item, SchedulerAttemptId Winner) {
  const Instant Now = this->Fleet.now();
  if (Item.Attempts.size() == 1)
    return;
  ServiceState &State = this->Fleet.service(Item.Work.Service);
  const std::vector<SchedulerAttemptId> All = Item.Attempts;
  for (const SchedulerAttemptId Id : All) {
    if (Id == Winner)
      continue;
    const RunningAttempt &Loser = this->Fleet.Attempts.at(Id);
    if (!Loser.IsHedge)
      State.Latency.overdue(
          Loser.Server,
          State.Prompts.normalise(Loser.PromptTokens, Now - Loser.Started),
          Now);
    this->Fleet.record(Item.Work.RequestId, Loser.Server, "hedge_cancelled",
                       "Another attempt answered first.");
    this->Fleet.cancelAttempt(Id);
  }
}

void AnswerCollector::noteSample(ServerState &Server, bool IsGood,
                                 std::uint32_t Weight) {
  const Instant Now = this->Fleet.now();
  if (!IsGood) {
    Server.Health.badSample();
    return;
  }
  const bool WasFit = Server.isFit();
  Server.Health.goodSample(Now, Weight);
  if (WasFit || !Server.isFit())
    return;
  // The samples from before the recovery would mark the server as slow again.
  this->Fleet.service(Server.Service).Latency.forget(Server.Name);
  this->Fleet.record("", Server.Name, "recovered",
                     "Its times are like those of its peers again.");
}

void AnswerCollector::noteAlive(const RunningAttempt &Run,
                                ServerState &Server) {
  const Instant Now = this->Fleet.now();
  if (Now - Server.LostAt < AliveMargin)
    return;
  // An attempt that started before the loss continues, so only a connection was
  // lost and not the server.
  if (Run.Started <= Server.LostAt)
    this->Fleet.Suspects.retract(Server.Name);
  if (Server.Health.state() == HealthState::Down)
    Server.Health.startReturn(Now);
}

void AnswerCollector::learnFirst(const RunningAttempt &Run, ServiceState &State,
                                 ServerState &Server) {
  const Instant Now = this->Fleet.now();
  const bool Fit = Server.isFit();
  if (Fit)
    State.Prompts.observe(Run.PromptTokens, Now - Run.Started);
  if (!State.Prompts.knows(Run.PromptTokens))
    return;
  const Duration Elapsed =
      State.Prompts.normalise(Run.PromptTokens, Now - Run.Started);
  State.Latency.firstToken(Server.Name, Elapsed, Fit, Now);
  if (Fit)
    Server.Window.firstTokenAfter(Elapsed);
  this->noteSample(Server, State.Latency.isGoodFirst(Elapsed),
                   FirstTokenWeight);
}

void AnswerCollector::learnTokens(RunningAttempt &Run, WorkItem &Item,
                                  ServerState &Server, std::size_t Count) {
  const Instant Now = this->Fleet.now();
  ServiceState &State = this->Fleet.service(Item.Work.Service);
  LatencyTracker &Latency = State.Latency;
  const bool Fit = Server.isFit();
  this->noteAlive(Run, Server);
  if (Run.Received == 0) {
    this->learnFirst(Run, State, Server);
  } else {
    const Duration Elapsed = Now - Run.LastToken;
    Latency.gap(Server.Name, Elapsed, Fit, Now);
    this->noteSample(Server, Latency.isGoodGap(Elapsed), 1);
  }
  Run.Received += Count;
  Run.LastToken = Now;
  Server.LastToken = Now;
  if (Run.Received >= TokensThatClear)
    this->Fleet.Suspects.clear(Item.SuspectKey);
}

void AnswerCollector::demote(RunningAttempt &Run, WorkItem &Item) {
  const auto Observed = static_cast<double>(Item.Work.ResumeTokenIds.size());
  if (Item.Level >= SizeEstimator::LastLevel || Observed <= Item.LevelBound)
    return;
  ++Item.Level;
  const SizeEstimator &Sizes = this->Fleet.service(Item.Work.Service).Sizes;
  Item.LevelBound = Sizes.bound(Item.IsBatch, Item.Level);
  Item.Cost = std::max(Item.Cost, Observed);
  this->Fleet.countLong(Run, Item);
  this->Fleet.record(Item.Work.RequestId, Run.Server, "demoted",
                     "Its answer is longer than its level allows.");
}

void AnswerCollector::tokens(SchedulerAttemptId Id, TokenBatch Tokens) {
  RunningAttempt *Run = this->Fleet.findAttempt(Id);
  if (Run == nullptr || Tokens.Ids.empty())
    return;
  WorkItem &Item = this->Fleet.Items.at(Run->Item);
  ServerState &Server = *this->Fleet.Pool.find(Run->Server);
  this->cancelLosers(Item, Id);
  Item.Answered = true;
  this->learnTokens(*Run, Item, Server, Tokens.Ids.size());
  std::vector<std::uint32_t> &Delivered = Item.Work.ResumeTokenIds;
  Chunk Piece{Item.Work.RequestId,
              Item.Work.Attempt,
              Delivered.size(),
              {},
              std::move(Tokens.Texts)};
  Delivered.insert(Delivered.end(), Tokens.Ids.begin(), Tokens.Ids.end());
  Piece.TokenIds = std::move(Tokens.Ids);
  this->Fleet.send(Item.Peer, std::move(Piece));
  this->demote(*Run, Item);
}

void AnswerCollector::learnAnswer(const RunningAttempt &Run, WorkItem &Item,
                                  ServerState &Server) {
  const Instant Now = this->Fleet.now();
  const Duration Elapsed = Now - Run.Started;
  ServiceState &State = this->Fleet.service(Item.Work.Service);
  if (!Item.IsModel) {
    const bool Fit = Server.isFit();
    State.Latency.firstToken(Server.Name, Elapsed, Fit, Now);
    if (Fit)
      Server.Window.firstTokenAfter(Elapsed);
    this->noteSample(Server, State.Latency.isGoodFirst(Elapsed),
                     FirstTokenWeight);
  }
  const double Size = Item.IsModel
                          ? static_cast<double>(Item.Work.ResumeTokenIds.size())
                          : toMillis(Elapsed);
  State.Sizes.observe(Item.Work, Item.IsBatch, Size);
  if (!Item.IsBatch)
    State.OnlineMillis += (State.OnlineMillis == 0 ? 1 : MeanWeight) *
                          (toMillis(Elapsed) - State.OnlineMillis);
  State.Hedges.succeeded();
  State.Retries.succeeded();
  State.CustomerRetries[Item.Work.Customer].succeeded();
  this->Fleet.Suspects.proven(Item.SuspectKey);
}

void AnswerCollector::done(SchedulerAttemptId Id, BackendReply Reply) {
  const RunningAttempt *Run = this->Fleet.findAttempt(Id);
  if (Run == nullptr)
    return;
  WorkItem &Item = this->Fleet.Items.at(Run->Item);
  ServerState &Server = *this->Fleet.Pool.find(Run->Server);
  Item.Answered = true;
  this->noteAlive(*Run, Server);
  const bool IsError = Reply.Status >= FirstServerError;
  if (!IsError) {
    Server.Health.answeredWell();
    this->cancelLosers(Item, Id);
    this->learnAnswer(*Run, Item, Server);
  }
  this->Fleet.ended(Id);
  // Another attempt of the request may still succeed.
  if (IsError && !Item.Attempts.empty())
    return;
  Finish Outcome;
  Outcome.Code = IsError ? FinishCode::ServerError : FinishCode::Ok;
  Outcome.Ran = Execution::Ran;
  Outcome.Status = static_cast<std::uint32_t>(Reply.Status);
  Outcome.ContentType = std::move(Reply.ContentType);
  Outcome.Body = std::move(Reply.Body);
  Outcome.Reason = std::move(Reply.Reason);
  if (IsError)
    Outcome.Detail = "The backend server answered with an error.";
  this->Fleet.finish(Item, std::move(Outcome));
}

} // namespace turmericpass
