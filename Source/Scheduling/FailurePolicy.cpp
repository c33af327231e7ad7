#include "Scheduling/FailurePolicy.h"

#include "Scheduling/FleetState.h"

#include <set>
#include <vector>

namespace turmericpass {

namespace {

// A request that failed that often will not succeed by another attempt.
constexpr std::uint32_t MostRetries = 6;
constexpr std::uint64_t RetryAfterMs = 1000;
// No server that crashed answers again within this time.
constexpr std::chrono::milliseconds RestartTime{300};

/// Silence is judged by the times of answers; these codes are not about time.
bool isInvalidAnswer(ErrorCode Code) {
  return Code == ErrorCode::Malformed || Code == ErrorCode::TooLarge;
}

} // namespace

void FailurePolicy::handleAttemptFailure(SchedulerAttemptId Id,
                                         const Error &Reason,
                                         AttemptProgress Progress) {
  const RunningAttempt *Run = this->Fleet.findAttempt(Id);
  if (Run == nullptr)
    return;
  const ItemId Key = Run->Item;
  ServerState &Server = *this->Fleet.Pool.find(Run->Server);
  const Instant Started = Run->Started;
  // The connection of a server that died is lost; other failures concern one
  // request alone.
  if (Progress != AttemptProgress::NotSent &&
      Reason.Code == ErrorCode::Unavailable &&
      (Server.Health.state() != HealthState::Down ||
       Started > Server.Health.since()))
    this->serverLost(Server, Reason.Message);
  else if (isInvalidAnswer(Reason.Code))
    Server.Health.badAnswer(this->Fleet.now());
  // The request may have ended with its fingerprint in quarantine.
  const auto Found = this->Fleet.Items.find(Key);
  if (Found == this->Fleet.Items.end())
    return;
  WorkItem &Item = Found->second;
  this->Fleet.ended(Id);
  if (Progress != AttemptProgress::NotSent)
    Item.MaySent = true;
  if (Progress == AttemptProgress::Admitted)
    Item.Answered = true;
  Item.Avoid = Server.Name;
  if (Progress == AttemptProgress::NotSent)
    this->notSent(Item, Server, Reason);
  else if (Item.Attempts.empty())
    this->retry(Item, Reason);
}

void FailurePolicy::notSent(WorkItem &Item, ServerState &Server,
                            const Error &Reason) {
  const Instant Now = this->Fleet.now();
  Server.Health.refused(Now);
  if (!Server.isFit())
    Server.Health.badSample();
  // A server that refuses while it runs other work has a smaller limit than
  // the window.
  if (Server.running() != 0)
    Server.Window.refused();
  if (!Item.Attempts.empty())
    return;
  if (!Item.Repeatable) {
    this->Fleet.fail(Item, FinishCode::Overloaded, Reason.Message,
                     RetryAfterMs);
    return;
  }
  this->Fleet.enqueue(Item);
}

void FailurePolicy::retry(WorkItem &Item, const Error &Reason) {
  if (!Item.Repeatable || ++Item.Retries > MostRetries) {
    this->Fleet.fail(Item, FinishCode::ServerLost, Reason.Message);
    return;
  }
  this->Fleet.record(Item.Work.RequestId, "", "retried", Reason.Message);
  Item.OwesRetry = true;
  this->Fleet.hold(Item);
}

void FailurePolicy::serverLost(ServerState &Server, const std::string &Reason) {
  const Instant Now = this->Fleet.now();
  std::set<std::string> Keys;
  for (const SchedulerAttemptId Id : Server.Attempts)
    Keys.insert(
        this->Fleet.Items.at(this->Fleet.Attempts.at(Id).Item).SuspectKey);
  this->Fleet.record("", Server.Name, "server_lost", Reason);
  Server.Health.markDown(Now);
  Server.LostAt = Now;
  this->Fleet.Prefixes.forget(Server.Name);
  this->Fleet.service(Server.Service).Latency.forget(Server.Name);
  const std::string Blamed =
      this->Fleet.Suspects.serverLost(Server.Name, Keys, Now);
  if (Blamed.empty()) {
    this->separateCopies(Server);
    return;
  }
  if (!Quarantine::namesOneRequest(Blamed))
    this->Fleet.Actions.emplace_back(AnnounceQuarantine{Blamed});
  this->endQuarantined(Blamed);
}

void FailurePolicy::stillAnswers(ServerState &Server) {
  if (Server.Health.state() != HealthState::Down ||
      this->Fleet.now() - Server.LostAt > RestartTime)
    return;
  this->Fleet.Suspects.retract(Server.Name);
  this->Fleet.record("", Server.Name, "loss_retracted",
                     "It answers, so only connections to it broke.");
  Server.Health.badAnswer(this->Fleet.now());
}

void FailurePolicy::separateCopies(const ServerState &Lost) {
  std::vector<SchedulerAttemptId> Copies;
  for (const SchedulerAttemptId Id : Lost.Attempts)
    for (const SchedulerAttemptId Other :
         this->Fleet.Items.at(this->Fleet.Attempts.at(Id).Item).Attempts)
      if (this->Fleet.Attempts.at(Other).Server != Lost.Name)
        Copies.push_back(Other);
  for (const SchedulerAttemptId Id : Copies) {
    const RunningAttempt &Run = this->Fleet.Attempts.at(Id);
    if (this->Fleet.Suspects.hasOtherSuspect(
            Run.Server, this->Fleet.Items.at(Run.Item).SuspectKey))
      this->Fleet.cancelAttempt(Id);
  }
}

void FailurePolicy::endQuarantined(const std::string &Key) {
  std::vector<ItemId> Ended;
  for (const auto &[Id, Item] : this->Fleet.Items)
    if (Item.SuspectKey == Key)
      Ended.push_back(Id);
  for (const ItemId Id : Ended) {
    WorkItem &Item = this->Fleet.Items.at(Id);
    this->Fleet.record(Item.Work.RequestId, "", "quarantined",
                       "Servers were lost while they ran equal requests.");
    this->Fleet.fail(Item, FinishCode::Quarantined,
                     "Backend servers were lost while they ran this request or "
                     "equal ones, so it is not run again.");
  }
}

} // namespace turmericpass
