#include "Serving/OnlineService.h"

#include "Core/IdSource.h"
#include "Serving/CrashGuard.h"
#include "Serving/LeavingAnswer.h"
#include "Serving/LoadTracker.h"
#include "Serving/OnlineRequest.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServerAnswer.h"
#include "Serving/ServerDirectory.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <utility>

namespace turmericpass {

void OnlineService::armHedgeTimer(OnlineCall &Call) {
  Call.Hedge.Held = HeldAnswer();
  // A stream whose beginning the caller has is resumed, not repeated.
  if (!Call.Route.mayHedge() || Call.HeadForwarded || Call.PossibleRuns > 1 ||
      !Call.Hedge.CopyServer.empty())
    return;
  if (const std::optional<Duration> Delay = this->Hedges.delay(Call.Service))
    Call.Hedge.Timer = this->Dependencies.Loop.after(
        *Delay, [this, Caller = Call.Caller] { this->handleLate(Caller); });
}

void OnlineService::cancelHedgeTimer(OnlineCall &Call) {
  this->Dependencies.Loop.cancel(std::exchange(Call.Hedge.Timer, 0));
}

void OnlineService::handleLate(CallerId Caller) {
  const auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end())
    return;
  OnlineCall &Call = *Found->second;
  Call.Hedge.Timer = 0;
  if (!this->sendCopy(Call))
    this->releaseHeldAnswer(Call);
}

bool OnlineService::sendCopy(OnlineCall &Call) {
  const CopyPlacement Choice = this->Dependencies.Placement.placeCopy(
      Call.Service, Call.TriedServers, this->Dependencies.Ids.number());
  const Instant Now = this->Dependencies.Loop.clock().now();
  HedgeCandidate Candidate;
  Candidate.Service = Call.Service;
  Candidate.MayRepeat = Call.Route.mayHedge();
  Candidate.PossibleRuns = Call.PossibleRuns;
  Candidate.MaxAttempts = Call.Route.MaxAttempts;
  Candidate.IsSuspect = this->Dependencies.Guard.isSuspect(Call);
  Candidate.Remaining = Call.Deadline - Now;
  Candidate.FreeSlots = Choice.FreeSlots;
  Candidate.HasServer = Choice.Server != nullptr;
  const HedgeDecision Decision = this->Hedges.decide(Candidate);
  if (Decision != HedgeDecision::Send) {
    this->Dependencies.Stats.add("hedge_copies_refused_total{reason=\"" +
                                 std::string(toName(Decision)) + "\"}");
    return false;
  }
  HedgeCopy &Copy = Call.Hedge.Copy.emplace();
  Copy.Server = Choice.Server->Entry.Id;
  Copy.SentAt = Now;
  Copy.Stall.start(Now);
  Call.Hedge.CopyServer = Copy.Server;
  Call.TriedServers.insert(Copy.Server);
  ++Call.PossibleRuns;
  Copy.Id = this->Dependencies.Channels.send(
      makeOnlineRequest(Call, Copy.Server, Choice.Server->Entry.Address,
                        this->Dependencies.Protocol, Now),
      *this);
  this->Sends.emplace(Copy.Id, Call.Caller);
  this->Dependencies.Loads.addOnlineRequest(Copy.Server);
  this->Dependencies.Stats.add("hedge_copies_sent_total");
  return true;
}

void OnlineService::endCopy(OnlineCall &Call, std::string_view Outcome,
                            bool CloseConnection) {
  if (!Call.Hedge.Copy)
    return;
  const HedgeCopy &Copy = *Call.Hedge.Copy;
  if (CloseConnection)
    this->Dependencies.Channels.cancel(Copy.Id);
  this->Sends.erase(Copy.Id);
  this->Dependencies.Loads.removeOnlineRequest(Copy.Server);
  Call.Hedge.Copy.reset();
  this->Dependencies.Stats.add("hedge_copies_ended_total{outcome=\"" +
                               std::string(Outcome) + "\"}");
}

void OnlineService::replaceFirstSend(OnlineCall &Call, bool CloseConnection) {
  this->endSend(Call, CloseConnection);
  HedgeCopy Copy = std::move(*Call.Hedge.Copy);
  Call.Hedge.Copy.reset();
  Call.Hedge.CopyWon = true;
  Call.Hedge.Held = std::move(Copy.Held);
  Call.ActiveSend = Copy.Id;
  Call.Server = std::move(Copy.Server);
  Call.SentAt = Copy.SentAt;
  Call.Stall = Copy.Stall;
  Call.EventsOfSend = 0;
  Call.FirstAnswerRecorded = false;
  this->armStallTimer(Call);
  this->Dependencies.Stats.add("hedge_copies_ended_total{outcome=\"won\"}");
}

void OnlineService::selectSend(OnlineCall &Call, SendId Winner) {
  this->cancelHedgeTimer(Call);
  if (!Call.Hedge.Copy)
    return;
  const Instant Now = this->Dependencies.Loop.clock().now();
  ++Call.Hedge.UnusedRuns;
  if (Call.Hedge.isCopy(Winner)) {
    this->Hedges.recordLowerBound(Call.Service, Now - Call.SentAt);
    this->replaceFirstSend(Call, true);
  } else {
    this->Hedges.recordLowerBound(Call.Service, Now - Call.Hedge.Copy->SentAt);
    this->endCopy(Call, "lost", true);
  }
}

void OnlineService::releaseHeldAnswer(OnlineCall &Call) {
  const HeldAnswer Held = std::exchange(Call.Hedge.Held, HeldAnswer());
  if (!Held.Head)
    return;
  const SendId Id = Call.ActiveSend;
  this->answerHead(Id, *Held.Head);
  if (!Held.Bytes.empty())
    this->answerBody(Id, Held.Bytes);
}

void OnlineService::endOneSend(OnlineCall &Call, SendId Id, SendEnd End,
                               std::string_view Reason) {
  const bool IsCopy = Call.Hedge.isCopy(Id);
  const std::string Server = IsCopy ? Call.Hedge.Copy->Server : Call.Server;
  if (End == SendEnd::Refused || End == SendEnd::NotReached) {
    --Call.PossibleRuns;
    ++Call.Refusals;
  } else {
    ++Call.Hedge.UnusedRuns;
  }
  if (End == SendEnd::NotReached || End == SendEnd::Broken ||
      End == SendEnd::Rejected)
    this->Dependencies.Servers.recordFailure(Server);
  if (End == SendEnd::Stalled)
    this->Hedges.recordLowerBound(
        Call.Service, this->Dependencies.Loop.clock().now() - Call.SentAt);
  if (End == SendEnd::Broken)
    this->Dependencies.Guard.sendFailed(Call, Server, 0);
  this->Dependencies.Log.log(LogLevel::Info,
                             "One of two sends of a request failed.",
                             {{"request", Call.RequestId},
                              {"server", Server},
                              {"copy", IsCopy},
                              {"reason", Reason}});
  // Cancelling a send that has already ended has no effect.
  if (IsCopy) {
    this->endCopy(Call, "failed", true);
    return;
  }
  this->replaceFirstSend(Call, true);
  this->releaseHeldAnswer(Call);
}

bool OnlineService::holdHead(OnlineCall &Call, SendId Id, const RawHead &Head) {
  if (!Call.Hedge.isPending())
    return false;
  const BackendProtocol &Protocol = this->Dependencies.Protocol;
  const bool IsCopy = Call.Hedge.isCopy(Id);
  const std::string Server = IsCopy ? Call.Hedge.Copy->Server : Call.Server;
  const ServerAnswer Answer = classifyAnswer(Head, Call.RequestId, Protocol);
  if (Answer.Kind != AnswerKind::Succeeded) {
    if (!Call.Hedge.Copy) {
      this->cancelHedgeTimer(Call);
      return false;
    }
    if (Answer.Kind == AnswerKind::Broken) {
      this->endOneSend(Call, Id, SendEnd::Rejected, Answer.Defect);
      return true;
    }
    recordIfLeaving(Server, Head, Protocol, this->Dependencies.Servers,
                    this->Dependencies.Log);
    const bool NotRun = Answer.Kind == AnswerKind::Refused;
    if (Head.Status == Protocol.WrongServerStatus)
      this->Dependencies.Servers.recordFailure(Server);
    else if (!NotRun)
      this->Dependencies.Servers.recordSuccess(Server);
    this->endOneSend(Call, Id, NotRun ? SendEnd::Refused : SendEnd::Failed,
                     NotRun ? "the server did not take the request"
                            : "the server failed the request");
    return true;
  }
  if (!Head.header("Content-Type").starts_with(Protocol.EventStreamType)) {
    this->selectSend(Call, Id);
    return false;
  }
  recordIfLeaving(Server, Head, Protocol, this->Dependencies.Servers,
                  this->Dependencies.Log);
  this->Dependencies.Servers.recordSuccess(Server);
  Call.Hedge.heldAnswer(Id).Head = Head;
  const Instant Now = this->Dependencies.Loop.clock().now();
  if (IsCopy) {
    Call.Hedge.Copy->Stall.recordHead(Now, true);
  } else {
    Call.Stall.recordHead(Now, true);
    this->armStallTimer(Call);
  }
  return true;
}

bool OnlineService::holdBody(OnlineCall &Call, SendId Id,
                             std::string_view Bytes) {
  if (!Call.Hedge.isPending())
    return false;
  this->Dependencies.Servers.recordActivity(
      Call.Hedge.isCopy(Id) ? Call.Hedge.Copy->Server : Call.Server);
  HeldAnswer &Held = Call.Hedge.heldAnswer(Id);
  Held.Bytes.append(Bytes);
  bool IsBad = Held.Bytes.size() > AnswerMemory::MaxEventBytes;
  for (const StreamEvent &Event : Held.Events.feed(Bytes)) {
    // Comments keep a connection alive, but answer nothing.
    if (Event.IsWellFormed && Event.HasFields) {
      this->selectSend(Call, Id);
      this->releaseHeldAnswer(Call);
      return true;
    }
    IsBad = IsBad || !Event.IsWellFormed;
  }
  if (!IsBad)
    return true;
  if (Call.Hedge.Copy) {
    this->endOneSend(Call, Id, SendEnd::Rejected,
                     "the stream contains other text than events");
    return true;
  }
  this->cancelHedgeTimer(Call);
  this->releaseHeldAnswer(Call);
  return true;
}

bool OnlineService::holdEnd(OnlineCall &Call, SendId Id) {
  if (!Call.Hedge.isPending())
    return false;
  const HeldAnswer &Held = Call.Hedge.heldAnswer(Id);
  const bool IsWhole = Held.Head && Held.Head->hasLength() &&
                       Held.Events.incompleteEvent().empty();
  if (!IsWhole && Call.Hedge.Copy) {
    this->endOneSend(Call, Id, SendEnd::Broken,
                     "the stream ended before its first event");
    return true;
  }
  this->selectSend(Call, Id);
  this->releaseHeldAnswer(Call);
  return false;
}

bool OnlineService::holdFailure(OnlineCall &Call, SendId Id,
                                SendFailure Failure, std::string_view Detail) {
  if (Call.Hedge.Copy) {
    this->endOneSend(Call, Id,
                     Failure == SendFailure::NotSent ? SendEnd::NotReached
                                                     : SendEnd::Broken,
                     Detail);
    return true;
  }
  return false;
}

void OnlineService::recordFirstAnswer(OnlineCall &Call) {
  if (std::exchange(Call.FirstAnswerRecorded, true))
    return;
  this->Hedges.recordAnswer(
      Call.Service, this->Dependencies.Loop.clock().now() - Call.SentAt);
}

} // namespace turmericpass
