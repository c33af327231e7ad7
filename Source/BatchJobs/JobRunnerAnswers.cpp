// The part of JobRunner that handles the answers of servers to items.

#include "BatchJobs/JobRunner.h"
#include "Loop/EventLoop.h"
#include "Serving/AnswerMemory.h"
#include "Serving/LeavingAnswer.h"
#include "Serving/ServerAnswer.h"
#include "Serving/ServerDirectory.h"
#include "Telemetry/Metrics.h"

namespace turmericpass {

namespace {

constexpr int UnprocessableStatus = 422;
/// The status that counts towards the maximum number of attempts.
constexpr int FailedAttemptStatus = 500;

/// The delays after a refusal, a broken answer, and an error of the server.
constexpr Duration RefusalDelay = std::chrono::milliseconds(60);
constexpr Duration BrokenAnswerDelay = std::chrono::milliseconds(150);
constexpr Duration FailureDelay = std::chrono::milliseconds(250);

} // namespace

void JobRunner::answerHead(SendId Id, const RawHead &Head) {
  ItemKey Key;
  ItemRun *Run = this->findItemOfSend(Id, Key);
  if (!Run)
    return;
  const ServerAnswer Answer =
      classifyAnswer(Head, Run->Item.Id, this->Dependencies.Protocol);
  if (Answer.Kind == AnswerKind::Broken) {
    this->rejectAnswer(Key, *Run, Answer.Defect);
    return;
  }
  recordIfLeaving(Run->Server, Head, this->Dependencies.Protocol,
                  this->Dependencies.Servers, this->Dependencies.Log);
  if (Answer.Kind == AnswerKind::Refused) {
    if (Head.Status == this->Dependencies.Protocol.WrongServerStatus)
      this->Dependencies.Servers.recordFailure(Run->Server);
    this->postponeItem(Key, *Run, RefusalDelay,
                       "the server refused the item without running it");
    return;
  }
  this->Dependencies.Servers.recordSuccess(Run->Server);
  Run->AnswerHasLength = Head.hasLength();
  const std::string_view Type = Head.header("Content-Type");
  Run->AnswerIsStream =
      Type.starts_with(this->Dependencies.Protocol.EventStreamType);
  if (Answer.Kind != AnswerKind::Succeeded)
    this->handleFailure(Key, *Run, Head.Status);
  else if (!Type.empty() && !Run->AnswerIsStream)
    this->rejectAnswer(Key, *Run, "the answer is no event stream");
}

void JobRunner::rejectAnswer(const ItemKey &Key, ItemRun &Run,
                             std::string_view Reason) {
  this->Dependencies.Servers.recordFailure(Run.Server);
  this->postponeItem(Key, Run, BrokenAnswerDelay, Reason);
}

void JobRunner::handleFailure(const ItemKey &Key, ItemRun &Run, int Status) {
  if (Status == FailedAttemptStatus)
    ++Run.Failures;
  OwnedJob &Job = this->Jobs.at(Key.JobId);
  const RouteSettings *Route = this->routeOf(Job);
  if (Status == UnprocessableStatus) {
    this->stopItem(Run, true);
    this->finishItem(Key, Run, false,
                     "the server rejected the item as unprocessable");
  } else if (Status == FailedAttemptStatus && Route &&
             Run.Failures >= Route->MaxAttempts) {
    this->stopItem(Run, true);
    this->finishItem(Key, Run, false,
                     "the item reached the maximum number of attempts");
  } else {
    this->postponeItem(Key, Run, FailureDelay,
                       "the server returned status " + std::to_string(Status));
    // Another owner must not start to count at 0 again.
    this->saveProgressOf(Key.JobId, Job);
  }
}

void JobRunner::answerBody(SendId Id, std::string_view Bytes) {
  ItemKey Key;
  ItemRun *Run = this->findItemOfSend(Id, Key);
  if (!Run)
    return;
  this->Dependencies.Servers.recordActivity(Run->Server);
  const Instant Now = this->Dependencies.Loop.clock().now();
  for (const StreamEvent &Event : Run->Events.feed(Bytes)) {
    if (!Event.IsWellFormed) {
      this->rejectAnswer(Key, *Run,
                         "the stream contains other text than events");
      return;
    }
    if (!Run->appendEvent(Event, Now)) {
      // Joining the output of both sends would omit or repeat events.
      Run->discardOutput();
      this->postponeItem(Key, *Run, BrokenAnswerDelay,
                         "the event ids are not consecutive");
      return;
    }
  }
  this->CrashMonitor.eventsReceived(Key, *Run);
  if (Run->Output.size() > AnswerMemory::MaxOutputBytes ||
      Run->Events.bytesSinceEvent() > AnswerMemory::MaxEventBytes) {
    // The output of a server that does not stop is of no use.
    Run->discardOutput();
    this->Dependencies.Stats.add("answers_oversized_total");
    this->rejectAnswer(Key, *Run, "the answer is too large");
  }
}

void JobRunner::answerDone(SendId Id) {
  ItemKey Key;
  ItemRun *Run = this->findItemOfSend(Id, Key);
  if (!Run)
    return;
  if (Run->answerBrokeOff()) {
    this->CrashMonitor.sendFailed(Key, *Run);
    this->postponeItem(Key, *Run, BrokenAnswerDelay, "the answer is truncated");
    return;
  }
  this->CrashMonitor.completed(
      Key,
      rawHeader(Run->Item.Headers, this->Dependencies.Protocol.PromptParts));
  this->stopItem(*Run, false);
  this->Starter.recordCompletion(Run->Service, Run->RunTime,
                                 this->Dependencies.Loop.clock().now() -
                                     *Run->FirstStartedAt,
                                 Run->LastEventId.value_or(0));
  this->finishItem(Key, *Run, true, "complete");
  this->schedule();
}

void JobRunner::sendFailed(SendId Id, SendFailure Failure,
                           std::string_view Detail) {
  ItemKey Key;
  ItemRun *Run = this->findItemOfSend(Id, Key);
  if (!Run)
    return;
  this->stopItem(*Run, false);
  this->Dependencies.Servers.recordFailure(Run->Server);
  // A server that got nothing of the request did not crash because of it.
  if (Failure != SendFailure::NotSent)
    this->CrashMonitor.sendFailed(Key, *Run);
  this->postponeItem(Key, *Run, BrokenAnswerDelay, Detail);
}

} // namespace turmericpass
