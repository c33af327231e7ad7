#include "Gateway/DecisionRecorder.h"

#include "Admission/RequestLifeCycle.h"
#include "Control/DecisionLog.h"
#include "Telemetry/Logger.h"

namespace turmericpass {

void DecisionRecorder::recordSubmission(const RequestLifeCycle &Life,
                                        const std::string &Peer,
                                        const std::string &Previous,
                                        const std::string &State) {
  const Submit &Submission = Life.work();
  std::string Text = "Attempt " + std::to_string(Submission.Attempt) +
                     " for service " + Submission.Service +
                     " was submitted to dispatcher " + Peer +
                     ", the best choice left: " + State + ".";
  if (!Life.lastFailure().empty())
    Text += " The request is submitted again because " + Life.lastFailure() +
            "; it resumes after " +
            std::to_string(Submission.ResumeTokenIds.size()) + " tokens.";
  this->Records.record(Submission.RequestId,
                       Submission.Attempt > 1 ? "resubmission" : "submission",
                       std::move(Text));
  if (Submission.Attempt > 1)
    this->Log.log(LogLevel::Info, "Submitted a request to another dispatcher.",
                  {{"peer", Peer},
                   {"previous_peer", Previous},
                   {"request_id", Submission.RequestId},
                   {"attempt", Submission.Attempt},
                   {"resumed_tokens", Submission.ResumeTokenIds.size()}});
}

void DecisionRecorder::recordRefusal(const std::string &RequestId,
                                     const Problem &Value) {
  this->Records.record(RequestId, "refusal",
                       "The request was refused with status " +
                           std::to_string(Value.Status) + ", " + Value.Kind +
                           ", execution " + std::string(toName(Value.Ran)) +
                           ": " + Value.Detail);
}

void DecisionRecorder::recordReplay(const std::string &RequestId) {
  this->Records.record(RequestId, "replay",
                       "The request was answered with the stored outcome of "
                       "an earlier one with the same idempotency key.");
}

void DecisionRecorder::recordOutcome(const RequestLifeCycle &Life,
                                     const Finish &Ending) {
  std::string Text = "The request ended with " +
                     std::string(toName(Ending.Code)) + ", execution " +
                     std::string(toName(Ending.Ran)) + ", after " +
                     std::to_string(Life.submissions()) + " submissions and " +
                     std::to_string(Life.tokenCount()) + " tokens.";
  if (!Ending.Detail.empty())
    Text += " " + Ending.Detail;
  this->Records.record(Life.work().RequestId, "outcome", std::move(Text));
}

} // namespace turmericpass
