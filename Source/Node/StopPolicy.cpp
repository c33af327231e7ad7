#include "Node/StopPolicy.h"

#include "Node/NodeTimes.h"

namespace turmericpass {

Duration StopPolicy::finalAnswersAt() const {
  return this->StopTimeout - ExitMargin - FinalAnswerTime;
}

bool StopPolicy::mayStart(Duration TimeLimit) const {
  return this->SinceStop < LeaveRotationDelay ||
         this->SinceStop + TimeLimit <= this->finalAnswersAt();
}

bool StopPolicy::mayCloseIdleConnections() const {
  return this->SinceStop >= LeaveRotationDelay;
}

bool StopPolicy::mayCloseListener() const {
  return this->SinceStop >= StopAcceptingDelay;
}

bool StopPolicy::mustAnswerAll() const {
  return this->SinceStop >= this->finalAnswersAt();
}

bool StopPolicy::mustExit(bool IsIdle) const {
  return (IsIdle && this->SinceStop >= LeaveRotationDelay + StopCheckPeriod) ||
         this->SinceStop >= this->StopTimeout - ExitMargin;
}

} // namespace turmericpass
