#ifndef TURMERICPASS_GATEWAY_CALLRECORDS_H
#define TURMERICPASS_GATEWAY_CALLRECORDS_H

#include "Gateway/Problem.h"
#include "Wire/Messages.h"

#include <string>

namespace turmericpass {

class DecisionLog;
class Logger;
class RequestLifeCycle;

/// Keeps what was decided about callers' requests, one record a decision, by
/// request id.
class CallRecords {
public:
  CallRecords(DecisionLog &Records, Logger &Log) : Records(Records), Log(Log) {}

  /// \p State is what was known of \p Peer when it was chosen; \p Previous is
  /// the dispatcher before it. A resubmission is logged as well.
  void submitted(const RequestLifeCycle &Life, const std::string &Peer,
                 const std::string &Previous, const std::string &State);
  void refused(const std::string &RequestId, const Problem &Value);
  void replayed(const std::string &RequestId);
  void ended(const RequestLifeCycle &Life, const Finish &Ending);

private:
  DecisionLog &Records;
  Logger &Log;
};

} // namespace turmericpass

#endif
