#include "Serving/CrashGuard.h"
#include "Serving/OnlineService.h"
#include "Telemetry/Metrics.h"

// The part of OnlineService that passes answers on to callers.

namespace turmericpass {

void OnlineService::forwardHead(OnlineCall &Call) {
  HttpHeaders Headers;
  for (const auto &[Name, Value] : Call.AnswerHead->Headers)
    if (!isHopByHop(Name) && !equalsIgnoringCase(Name, "Content-Length"))
      Headers.emplace_back(Name, Value);
  Call.HeadForwarded = true;
  // The answer is complete once its send has ended.
  if (Call.ActiveSend != 0)
    // Another server may resume a stream with another length.
    this->Dependencies.Callers.sendHead(
        Call.Caller, Call.AnswerHead->Status, Headers,
        Call.IsEventStream ? std::nullopt : Call.AnswerHead->ContentLength);
  else
    this->Dependencies.Callers.reply(Call.Caller, Call.AnswerHead->Status,
                                     Headers, Call.Body);
}

bool OnlineService::passOnPiece(OnlineCall &Call, std::string_view Bytes) {
  CallerPort &Callers = this->Dependencies.Callers;
  if (!Call.HeadForwarded) {
    // Without a length, an answer that ends early would look complete. One that
    // is too large is refused before the caller gets a part of it.
    if (!Call.AnswerHasLength ||
        Call.AnswerHead->ContentLength.value_or(0) >
            AnswerMemory::MaxAnswerBytes ||
        !this->Memory.mustPassOn(Call.Body.size() + Bytes.size(),
                                 Callers.totalUnsentBytes()))
      return false;
    this->Dependencies.Stats.add("answers_passed_on_early_total");
    this->forwardHead(Call);
    Call.PassedOnBytes = Call.Body.size();
    Callers.sendPiece(Call.Caller, Call.Body);
    this->clearBody(Call);
  }
  Call.PassedOnBytes += Bytes.size();
  if (Call.PassedOnBytes > AnswerMemory::MaxAnswerBytes) {
    this->endOversizedAnswer(Call, "the answer is too large");
    return true;
  }
  Callers.sendPiece(Call.Caller, Bytes);
  const bool Progressed = Call.Stall.recordBody(
      this->Dependencies.Loop.clock().now(), Bytes.size());
  this->pauseIfUntaken(Call);
  if (Progressed || Call.ReadingPaused)
    this->armStallTimer(Call);
  return true;
}

void OnlineService::sendEvents(OnlineCall &Call, std::string_view Events) {
  if (Events.empty())
    return;
  this->Dependencies.Callers.sendPiece(Call.Caller, Events);
  Call.Stall.recordEvent(this->Dependencies.Loop.clock().now());
  this->Dependencies.Guard.eventsReceived(Call);
  this->pauseIfUntaken(Call);
  this->armStallTimer(Call);
}

void OnlineService::pauseIfUntaken(OnlineCall &Call) {
  CallerPort &Callers = this->Dependencies.Callers;
  if (Callers.unsentBytes(Call.Caller) <=
      this->Memory.shareOfAnswer(Callers.totalUnsentBytes()))
    return;
  Call.ReadingPaused = true;
  this->Dependencies.Channels.setReading(Call.ActiveSend, false);
}

void OnlineService::armPausedRead(OnlineCall &Call) {
  Call.StallTimer = this->Dependencies.Loop.after(
      AnswerMemory::PausedReadInterval, [this, Caller = Call.Caller] {
        const auto Found = this->Calls.find(Caller);
        if (Found == this->Calls.end())
          return;
        Found->second->StallTimer = 0;
        if (this->Memory.isFull(this->Dependencies.Callers.totalUnsentBytes()))
          this->armPausedRead(*Found->second);
        else
          this->callerCaughtUp(Caller);
      });
}

void OnlineService::callerCaughtUp(CallerId Caller) {
  const auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end() || !Found->second->ReadingPaused)
    return;
  OnlineCall &Call = *Found->second;
  Call.ReadingPaused = false;
  this->Dependencies.Channels.setReading(Call.ActiveSend, true);
  Call.Stall.recordHead(this->Dependencies.Loop.clock().now(),
                        Call.IsEventStream);
  this->armStallTimer(Call);
}

} // namespace turmericpass
