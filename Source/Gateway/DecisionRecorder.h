#ifndef TURMERICPASS_GATEWAY_DECISIONRECORDER_H
#define TURMERICPASS_GATEWAY_DECISIONRECORDER_H

#include "Gateway/Problem.h"
#include "Wire/Messages.h"

#include <string>

namespace turmericpass {

class DecisionLog;
class Logger;
class RequestLifeCycle;

/// Records the decisions about callers' requests in the decision log, one
/// record per decision, under the request id.
class DecisionRecorder {
public:
  DecisionRecorder(DecisionLog &Records, Logger &Log)
      : Records(Records), Log(Log) {}

  /// Records a submission to the dispatcher \p Peer. \p State describes what
  /// was known of it when it was chosen; \p Previous is the dispatcher of the
  /// previous attempt. A resubmission is also written to the log.
  void recordSubmission(const RequestLifeCycle &Life, const std::string &Peer,
                        const std::string &Previous, const std::string &State);
  void recordRefusal(const std::string &RequestId, const Problem &Value);
  void recordReplay(const std::string &RequestId);
  void recordOutcome(const RequestLifeCycle &Life, const Finish &Ending);

private:
  DecisionLog &Records;
  Logger &Log;
};

} // namespace turmericpass

#endif
