#include "Scheduling/FailurePolicy.h"

#include "Scheduling/FleetState.h"

#include <set>
#include <vector>

namespace turmericpass {

namespace {

// A request that has failed this often is unlikely to succeed.
constexpr std::uint32_t MaxRetries = 6;
constexpr std::uint64_t OverloadRetryAfterMs = 1000;
// A crashed server takes longer than this to answer again.
constexpr std::chrono::milliseconds MinRestartTime{300};

/// Returns whether the server sent an invalid answer. Timeouts are not
/// included, because slow servers are detected by their latency.
bool isInvalidAnswer(ErrorCode Code) {
  return Code == ErrorCode::Malformed || Code == ErrorCode::TooLarge;
}

} // namespace

void FailurePolicy::handleAttemptFailure(SchedulerAttemptId Id,
                                         const Error &Reason,
                                         AttemptProgress Progress) {
  const RunningAttempt *Attempt = this->Fleet.findAttempt(Id);
  if (Attempt == nullptr)
    return;
  const ItemId FailedItemId = Attempt->Item;
  ServerState &Server = *this->Fleet.Pool.find(Attempt->Server);
  const Instant StartTime = Attempt->StartTime;
  // A lost connection indicates that the server crashed. Other failures concern
  // a single request.
  if (Progress != AttemptProgress::NotSent &&
      Reason.Code == ErrorCode::Unavailable &&
      (Server.Health.state() != HealthState::Down ||
       StartTime > Server.Health.stateSince()))
    this->handleServerLoss(Server, Reason.Message);
  else if (isInvalidAnswer(Reason.Code))
    Server.Health.recordInvalidAnswer(this->Fleet.now());
  // The request may have ended because its fingerprint was put in quarantine.
  const auto Found = this->Fleet.Items.find(FailedItemId);
  if (Found == this->Fleet.Items.end())
    return;
  WorkItem &Item = Found->second;
  this->Fleet.endAttempt(Id);
  if (Progress != AttemptProgress::NotSent)
    Item.MayHaveRun = true;
  if (Progress == AttemptProgress::Admitted)
    Item.HasAnswerStarted = true;
  Item.AvoidedServer = Server.Name;
  if (Progress == AttemptProgress::NotSent)
    this->handleUnsentAttempt(Item, Server, Reason);
  else if (Item.Attempts.empty())
    this->scheduleRetry(Item, Reason);
}

void FailurePolicy::handleUnsentAttempt(WorkItem &Item, ServerState &Server,
                                        const Error &Reason) {
  const Instant Now = this->Fleet.now();
  Server.Health.recordRefusal(Now);
  if (!Server.isHealthy())
    Server.Health.recordBadSample();
  // A server that refuses a request while it runs others has a lower limit than
  // the window.
  if (Server.attemptCount() != 0)
    Server.Window.recordRefusal();
  if (!Item.Attempts.empty())
    return;
  if (!Item.Repeatable) {
    this->Fleet.fail(Item, FinishCode::Overloaded, Reason.Message,
                     OverloadRetryAfterMs);
    return;
  }
  this->Fleet.enqueue(Item);
}

void FailurePolicy::scheduleRetry(WorkItem &Item, const Error &Reason) {
  if (!Item.Repeatable || ++Item.RetryCount > MaxRetries) {
    this->Fleet.fail(Item, FinishCode::ServerLost, Reason.Message);
    return;
  }
  this->Fleet.recordDecision(Item.Work.RequestId, "", "retried",
                             Reason.Message);
  Item.NeedsRetryBudget = true;
  this->Fleet.hold(Item);
}

void FailurePolicy::handleServerLoss(ServerState &Server,
                                     const std::string &Reason) {
  const Instant Now = this->Fleet.now();
  std::set<std::string> Keys;
  for (const SchedulerAttemptId Id : Server.Attempts)
    Keys.insert(
        this->Fleet.Items.at(this->Fleet.Attempts.at(Id).Item).SuspectKey);
  this->Fleet.recordDecision("", Server.Name, "server_lost", Reason);
  Server.Health.markDown(Now);
  Server.LossTime = Now;
  this->Fleet.Prefixes.forget(Server.Name);
  this->Fleet.service(Server.Service).Latency.forget(Server.Name);
  const std::string CrashingKey =
      this->Fleet.Suspects.recordServerLoss(Server.Name, Keys, Now);
  if (CrashingKey.empty()) {
    this->cancelCopiesBesideSuspects(Server);
    return;
  }
  if (!Quarantine::isSingleRequestKey(CrashingKey))
    this->Fleet.Actions.emplace_back(AnnounceQuarantine{CrashingKey});
  this->endQuarantinedItems(CrashingKey);
}

void FailurePolicy::retractRecentLoss(ServerState &Server) {
  if (Server.Health.state() != HealthState::Down ||
      this->Fleet.now() - Server.LossTime > MinRestartTime)
    return;
  this->Fleet.Suspects.retractLoss(Server.Name);
  this->Fleet.recordDecision("", Server.Name, "loss_retracted",
                             "It answers, so only connections to it broke.");
  Server.Health.recordInvalidAnswer(this->Fleet.now());
}

void FailurePolicy::cancelCopiesBesideSuspects(const ServerState &LostServer) {
  std::vector<SchedulerAttemptId> Copies;
  for (const SchedulerAttemptId Id : LostServer.Attempts)
    for (const SchedulerAttemptId Other :
         this->Fleet.Items.at(this->Fleet.Attempts.at(Id).Item).Attempts)
      if (this->Fleet.Attempts.at(Other).Server != LostServer.Name)
        Copies.push_back(Other);
  for (const SchedulerAttemptId Id : Copies) {
    const RunningAttempt &Attempt = this->Fleet.Attempts.at(Id);
    if (this->Fleet.Suspects.hasOtherSuspect(
            Attempt.Server, this->Fleet.Items.at(Attempt.Item).SuspectKey))
      this->Fleet.cancelAttempt(Id);
  }
}

void FailurePolicy::endQuarantinedItems(const std::string &Key) {
  std::vector<ItemId> EndedIds;
  for (const auto &[Id, Item] : this->Fleet.Items)
    if (Item.SuspectKey == Key)
      EndedIds.push_back(Id);
  for (const ItemId Id : EndedIds) {
    WorkItem &Item = this->Fleet.Items.at(Id);
    this->Fleet.recordDecision(
        Item.Work.RequestId, "", "quarantined",
        "Servers were lost while they ran equal requests.");
    this->Fleet.fail(Item, FinishCode::Quarantined,
                     "Backend servers were lost while they ran this request or "
                     "equal ones, so it is not run again.");
  }
}

} // namespace turmericpass
