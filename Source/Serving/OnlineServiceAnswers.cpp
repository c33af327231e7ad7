#include "Serving/OnlineService.h"

#include "Serving/CrashGuard.h"
#include "Serving/GatewayStatus.h"
#include "Serving/LeavingAnswer.h"
#include "Serving/ServerAnswer.h"
#include "Serving/ServerDirectory.h"
#include "Telemetry/Metrics.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace turmericpass {

void OnlineService::answerHead(SendId Id, const RawHead &Head) {
  OnlineCall *Call = this->findCall(Id);
  if (!Call || this->holdHead(*Call, Id, Head))
    return;
  const ServerAnswer Answer =
      classifyAnswer(Head, Call->RequestId, this->Dependencies.Protocol);
  if (Answer.Kind == AnswerKind::Broken) {
    this->rejectAnswer(*Call, Answer.Defect);
    return;
  }
  recordIfLeaving(Call->Server, Head, this->Dependencies.Protocol,
                  this->Dependencies.Servers, this->Dependencies.Log);
  if (Answer.Kind == AnswerKind::Refused) {
    --Call->PossibleRuns;
    ++Call->Refusals;
    const std::string Server = Call->Server;
    this->endSend(*Call, true);
    if (Head.Status == this->Dependencies.Protocol.WrongServerStatus)
      this->Dependencies.Servers.recordFailure(Server);
    this->retryAfterRefusal(*Call, "the server did not take the request");
    return;
  }
  this->Dependencies.Servers.recordSuccess(Call->Server);
  if (Answer.Kind == AnswerKind::UnprovenRefusal) {
    this->endSend(*Call, true);
    this->retry(*Call, "the server did not state that the request did not run");
    return;
  }
  const bool Success = Answer.Kind == AnswerKind::Succeeded;
  if (!Success && Head.Status >= 500 && Call->Route.mayRepeat() &&
      Call->PossibleRuns < Call->Route.MaxAttempts) {
    this->endSend(*Call, true);
    this->retry(*Call, "the server failed the request");
    return;
  }
  const bool IsEventStream =
      Success && Head.header("Content-Type")
                     .starts_with(this->Dependencies.Protocol.EventStreamType);
  Call->AnswerHasLength = Head.hasLength();
  if (Call->HeadForwarded) {
    // The caller already has the head of the first server.
    if (!Success) {
      this->fail(*Call, BadGateway, "the stream could not be resumed");
      return;
    }
    if (!IsEventStream) {
      this->rejectAnswer(*Call, "the answer does not resume the stream");
      return;
    }
    Call->Events.reset();
    Call->Stall.recordHead(this->Dependencies.Loop.clock().now(), true);
    this->armStallTimer(*Call);
    return;
  }
  if (!IsEventStream &&
      Head.ContentLength.value_or(0) > AnswerMemory::MaxAnswerBytes) {
    this->endOversizedAnswer(*Call, "the length of the answer is too large");
    return;
  }
  if (Success && !IsEventStream)
    this->recordFirstAnswer(*Call);
  Call->AnswerHead = Head;
  this->clearBody(*Call);
  Call->IsEventStream = IsEventStream;
  if (Call->IsEventStream)
    this->forwardHead(*Call);
  Call->Stall.recordHead(this->Dependencies.Loop.clock().now(),
                         Call->IsEventStream);
  this->armStallTimer(*Call);
}

void OnlineService::clearBody(OnlineCall &Call) {
  this->Memory.release(std::exchange(Call.BodyMemory, 0));
  // Neither clear() nor the assignment of an empty string frees the memory.
  std::string().swap(Call.Body);
}

bool OnlineService::reserveBody(OnlineCall &Call, std::size_t Bytes) {
  const std::size_t Size = Call.Body.size() + Bytes;
  if (Size <= Call.BodyMemory)
    return true;
  if (Size > AnswerMemory::MaxAnswerBytes)
    return false;
  // The length that a server announces need not come.
  const std::size_t Needed = std::min<std::uint64_t>(
      std::bit_ceil(Size),
      std::max<std::uint64_t>(Size, Call.AnswerHead->ContentLength.value_or(
                                        AnswerMemory::MaxAnswerBytes)));
  if (!this->Memory.reserve(Call.BodyMemory, Needed - Call.BodyMemory))
    return false;
  Call.BodyMemory = Needed;
  Call.Body.reserve(Needed);
  return true;
}

bool OnlineService::makeRoomForBody(OnlineCall &Call, std::size_t Bytes) {
  if (this->reserveBody(Call, Bytes))
    return true;
  if (Call.Body.size() + Bytes > AnswerMemory::MaxAnswerBytes)
    return false;
  OnlineCall *Largest = &Call;
  for (const auto &Each : this->Calls)
    if (Each.second->BodyMemory > Largest->BodyMemory)
      Largest = Each.second.get();
  if (Largest == &Call)
    return false;
  this->endOversizedAnswer(*Largest, "the held answers take too much memory");
  return this->reserveBody(Call, Bytes);
}

void OnlineService::rejectAnswer(OnlineCall &Call, std::string_view Reason) {
  this->endSend(Call, true);
  this->Dependencies.Servers.recordFailure(Call.Server);
  this->clearBody(Call);
  this->retry(Call, Reason);
}

void OnlineService::endOversizedAnswer(OnlineCall &Call,
                                       std::string_view Reason) {
  this->Dependencies.Stats.add("answers_oversized_total");
  this->rejectAnswer(Call, Reason);
}

void OnlineService::answerBody(SendId Id, std::string_view Bytes) {
  OnlineCall *Call = this->findCall(Id);
  if (!Call || this->holdBody(*Call, Id, Bytes))
    return;
  this->Dependencies.Servers.recordActivity(Call->Server);
  if (!Call->FirstByteAt)
    Call->FirstByteAt = this->Dependencies.Loop.clock().now();
  if (Call->IsEventStream) {
    this->forwardEvents(*Call, Bytes);
    return;
  }
  if (this->passOnPiece(*Call, Bytes))
    return;
  if (!this->makeRoomForBody(*Call, Bytes.size())) {
    this->endOversizedAnswer(*Call, "the answer is too large");
    return;
  }
  Call->Body.append(Bytes);
  if (Call->Stall.recordBody(this->Dependencies.Loop.clock().now(),
                             Bytes.size()))
    this->armStallTimer(*Call);
}

void OnlineService::forwardEvents(OnlineCall &Call, std::string_view Bytes) {
  std::string Complete;
  for (StreamEvent &Event : Call.Events.feed(Bytes)) {
    if (!Call.belongsToStream(Event)) {
      // The events before it are counted as received, so the caller gets them.
      this->sendEvents(Call, Complete);
      this->rejectAnswer(Call, "the stream contains other text than events");
      return;
    }
    // The first event of a resumed stream must directly follow the last
    // forwarded one.
    if (Event.Id && Call.isRepeated() && Call.LastEventId &&
        *Event.Id != *Call.LastEventId + 1) {
      this->fail(Call, BadGateway, "the resumed stream left a gap");
      return;
    }
    if (Event.Id)
      Call.LastEventId = Event.Id;
    if (Event.HasFields)
      this->recordFirstAnswer(Call);
    ++Call.EventsOfSend;
    Complete += Event.Bytes;
  }
  this->sendEvents(Call, Complete);
  if (Call.Events.bytesSinceEvent() > AnswerMemory::MaxEventBytes)
    this->endOversizedAnswer(Call, "an event of the stream is too large");
}

void OnlineService::answerDone(SendId Id) {
  if (OnlineCall *Held = this->findCall(Id); Held && this->holdEnd(*Held, Id))
    return;
  OnlineCall *Call = this->findCall(Id);
  if (!Call)
    return;
  if (Call->IsEventStream && Call->streamBrokeOff()) {
    this->handleBrokenAnswer(*Call, "the stream ended inside an event");
    return;
  }
  this->Dependencies.Guard.answered(*Call);
  // A server that had to wait for the caller was not slow.
  if (!Call->isPassedOnInPieces())
    this->Overload.recordServiceTime(
        Call->Service, this->Dependencies.Loop.clock().now() - Call->SentAt);
  this->endSend(*Call, false);
  if (!Call->HeadForwarded) {
    this->forwardHead(*Call);
    this->finishCall(*Call, Call->AnswerHead->Status, "answered");
    return;
  }
  this->Dependencies.Callers.finish(Call->Caller);
  this->finishCall(*Call, Call->AnswerHead->Status, "streamed");
}

void OnlineService::sendFailed(SendId Id, SendFailure Failure,
                               std::string_view Detail) {
  OnlineCall *Call = this->findCall(Id);
  if (!Call || this->holdFailure(*Call, Id, Failure, Detail))
    return;
  if (Failure != SendFailure::NotSent) {
    this->handleBrokenAnswer(*Call, Detail);
    return;
  }
  this->endSend(*Call, false);
  this->Dependencies.Servers.recordFailure(Call->Server);
  --Call->PossibleRuns;
  ++Call->Refusals;
  this->retryAfterRefusal(*Call, Detail);
}

void OnlineService::handleBrokenAnswer(OnlineCall &Call,
                                       std::string_view Reason) {
  this->endSend(Call, false);
  this->Dependencies.Servers.recordFailure(Call.Server);
  this->Dependencies.Guard.sendFailed(Call, Call.Server, Call.EventsOfSend);
  this->retry(Call, Reason);
}

} // namespace turmericpass
