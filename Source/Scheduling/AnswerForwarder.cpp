#include "Scheduling/AnswerForwarder.h"

#include "Scheduling/FleetState.h"

namespace turmericpass {

namespace {

// A request that crashes servers does so at a fixed point of its processing. A
// suspect that generates this many tokens beyond the point of the crash is
// cleared.
constexpr std::uint64_t TokensToClearSuspect = 16;
// A first token measures both the prompt processing and the first decoding
// step.
constexpr std::uint32_t FirstTokenSampleWeight = 3;
constexpr double OnlineMeanWeight = 0.1;
// Data that a server sent before its loss may still be read within this time.
constexpr std::chrono::milliseconds BufferedDataMargin{100};
constexpr int FirstServerErrorStatus = 500;

} // namespace

void AnswerForwarder::cancelOtherAttempts(WorkItem &Item,
                                          SchedulerAttemptId KeptId) {
  const Instant Now = this->Fleet.now();
  if (Item.Attempts.size() == 1)
    return;
  ServiceState &State = this->Fleet.service(Item.Work.Service);
  const std::vector<SchedulerAttemptId> AttemptIds = Item.Attempts;
  for (const SchedulerAttemptId Id : AttemptIds) {
    if (Id == KeptId)
      continue;
    const RunningAttempt &OtherAttempt = this->Fleet.Attempts.at(Id);
    if (!OtherAttempt.IsHedge)
      State.Latency.recordOverdue(
          OtherAttempt.Server,
          State.PromptTimes.normalise(OtherAttempt.PromptTokens,
                                      Now - OtherAttempt.StartTime),
          Now);
    this->Fleet.recordDecision(Item.Work.RequestId, OtherAttempt.Server,
                               "hedge_cancelled",
                               "Another attempt answered first.");
    this->Fleet.cancelAttempt(Id);
  }
}

void AnswerForwarder::recordLatencySample(ServerState &Server, bool IsGood,
                                          std::uint32_t Weight) {
  const Instant Now = this->Fleet.now();
  if (!IsGood) {
    Server.Health.recordBadSample();
    return;
  }
  const bool WasHealthy = Server.isHealthy();
  Server.Health.recordGoodSample(Now, Weight);
  if (WasHealthy || !Server.isHealthy())
    return;
  // The samples from before the recovery would mark the server as slow again.
  this->Fleet.service(Server.Service).Latency.forget(Server.Name);
  this->Fleet.recordDecision("", Server.Name, "recovered",
                             "Its times are like those of its peers again.");
}

void AnswerForwarder::recordSignOfLife(const RunningAttempt &Attempt,
                                       ServerState &Server) {
  const Instant Now = this->Fleet.now();
  if (Now - Server.LossTime < BufferedDataMargin)
    return;
  // An attempt that started before the loss continues, so only a connection was
  // lost and not the server.
  if (Attempt.StartTime <= Server.LossTime)
    this->Fleet.Suspects.retractLoss(Server.Name);
  if (Server.Health.state() == HealthState::Down)
    Server.Health.startRecovery(Now);
}

void AnswerForwarder::recordFirstTokenTime(const RunningAttempt &Attempt,
                                           ServiceState &State,
                                           ServerState &Server) {
  const Instant Now = this->Fleet.now();
  const bool IsHealthy = Server.isHealthy();
  if (IsHealthy)
    State.PromptTimes.recordTime(Attempt.PromptTokens, Now - Attempt.StartTime);
  if (!State.PromptTimes.hasEnoughSamples(Attempt.PromptTokens))
    return;
  const Duration Elapsed = State.PromptTimes.normalise(Attempt.PromptTokens,
                                                       Now - Attempt.StartTime);
  State.Latency.recordFirstToken(Server.Name, Elapsed, IsHealthy, Now);
  if (IsHealthy)
    Server.Window.recordFirstToken(Elapsed);
  this->recordLatencySample(Server, State.Latency.isNormalFirstToken(Elapsed),
                            FirstTokenSampleWeight);
}

void AnswerForwarder::recordTokens(RunningAttempt &Attempt, WorkItem &Item,
                                   ServerState &Server, std::size_t Count) {
  const Instant Now = this->Fleet.now();
  ServiceState &State = this->Fleet.service(Item.Work.Service);
  LatencyTracker &Latency = State.Latency;
  const bool IsHealthy = Server.isHealthy();
  this->recordSignOfLife(Attempt, Server);
  if (Attempt.ReceivedTokens == 0) {
    this->recordFirstTokenTime(Attempt, State, Server);
  } else {
    const Duration Elapsed = Now - Attempt.LastTokenTime;
    Latency.recordGap(Server.Name, Elapsed, IsHealthy, Now);
    this->recordLatencySample(Server, Latency.isNormalGap(Elapsed), 1);
  }
  Attempt.ReceivedTokens += Count;
  Attempt.LastTokenTime = Now;
  Server.LastTokenTime = Now;
  if (Attempt.ReceivedTokens >= TokensToClearSuspect)
    this->Fleet.Suspects.clearSuspect(Item.SuspectKey);
}

void AnswerForwarder::demoteLongItem(RunningAttempt &Attempt, WorkItem &Item) {
  const auto Observed = static_cast<double>(Item.Work.ResumeTokenIds.size());
  if (Item.Level >= SizeEstimator::MaxLevel || Observed <= Item.LevelBound)
    return;
  ++Item.Level;
  const SizeEstimator &Sizes = this->Fleet.service(Item.Work.Service).Sizes;
  Item.LevelBound = Sizes.levelBound(Item.IsBatch, Item.Level);
  Item.Cost = std::max(Item.Cost, Observed);
  this->Fleet.countAsLong(Attempt, Item);
  this->Fleet.recordDecision(Item.Work.RequestId, Attempt.Server, "demoted",
                             "Its answer is longer than its level allows.");
}

void AnswerForwarder::forwardTokens(SchedulerAttemptId Id, TokenBatch Tokens) {
  RunningAttempt *Attempt = this->Fleet.findAttempt(Id);
  if (Attempt == nullptr || Tokens.Ids.empty())
    return;
  WorkItem &Item = this->Fleet.Items.at(Attempt->Item);
  ServerState &Server = *this->Fleet.Pool.find(Attempt->Server);
  this->cancelOtherAttempts(Item, Id);
  Item.HasAnswerStarted = true;
  this->recordTokens(*Attempt, Item, Server, Tokens.Ids.size());
  std::vector<std::uint32_t> &Delivered = Item.Work.ResumeTokenIds;
  Chunk Piece{Item.Work.RequestId,
              Item.Work.Attempt,
              Delivered.size(),
              {},
              std::move(Tokens.Texts)};
  Delivered.insert(Delivered.end(), Tokens.Ids.begin(), Tokens.Ids.end());
  Piece.TokenIds = std::move(Tokens.Ids);
  this->Fleet.send(Item.Peer, std::move(Piece));
  this->demoteLongItem(*Attempt, Item);
}

void AnswerForwarder::recordAnswer(const RunningAttempt &Attempt,
                                   WorkItem &Item, ServerState &Server) {
  const Instant Now = this->Fleet.now();
  const Duration Elapsed = Now - Attempt.StartTime;
  ServiceState &State = this->Fleet.service(Item.Work.Service);
  if (!Item.IsModel) {
    const bool IsHealthy = Server.isHealthy();
    State.Latency.recordFirstToken(Server.Name, Elapsed, IsHealthy, Now);
    if (IsHealthy)
      Server.Window.recordFirstToken(Elapsed);
    this->recordLatencySample(Server, State.Latency.isNormalFirstToken(Elapsed),
                              FirstTokenSampleWeight);
  }
  const double Size = Item.IsModel
                          ? static_cast<double>(Item.Work.ResumeTokenIds.size())
                          : toMillis(Elapsed);
  State.Sizes.recordSize(Item.Work, Item.IsBatch, Size);
  if (!Item.IsBatch)
    State.MeanOnlineMs += (State.MeanOnlineMs == 0 ? 1 : OnlineMeanWeight) *
                          (toMillis(Elapsed) - State.MeanOnlineMs);
  State.Hedges.recordSuccess();
  State.ServiceRetryBudget.recordSuccess();
  State.CustomerRetryBudgets[Item.Work.Customer].recordSuccess();
  this->Fleet.Suspects.recordSuccess(Item.SuspectKey);
}

void AnswerForwarder::forwardReply(SchedulerAttemptId Id, BackendReply Reply) {
  const RunningAttempt *Attempt = this->Fleet.findAttempt(Id);
  if (Attempt == nullptr)
    return;
  WorkItem &Item = this->Fleet.Items.at(Attempt->Item);
  ServerState &Server = *this->Fleet.Pool.find(Attempt->Server);
  Item.HasAnswerStarted = true;
  this->recordSignOfLife(*Attempt, Server);
  const bool IsError = Reply.Status >= FirstServerErrorStatus;
  if (!IsError) {
    Server.Health.recordValidAnswer();
    this->cancelOtherAttempts(Item, Id);
    this->recordAnswer(*Attempt, Item, Server);
  }
  this->Fleet.endAttempt(Id);
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
