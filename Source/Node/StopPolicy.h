#ifndef TURMERICPASS_NODE_STOPPOLICY_H
#define TURMERICPASS_NODE_STOPPOLICY_H

#include "Core/Clock.h"

namespace turmericpass {

/// Decides what a stopping VM still does. This class performs no I/O.
///
/// The policy is made for stops of one VM after the other under load. Until the
/// load balancer has noticed the stop, callers are served as always. After
/// that, requests still arrive on connections that were opened or begun before,
/// and a request that may not be over when the process exits would be cut
/// without an answer, although another VM could have served it.
class StopPolicy {
public:
  /// \p SinceStop is the time since the stop began. The process is killed
  /// \p StopTimeout after that.
  StopPolicy(Duration SinceStop, Duration StopTimeout)
      : SinceStop(SinceStop), StopTimeout(StopTimeout) {}

  /// Returns whether a request that may take \p TimeLimit may start.
  bool mayStart(Duration TimeLimit) const;
  bool mayCloseIdleConnections() const;
  bool mayCloseListener() const;
  /// Returns whether the requests that are still open get their final answer.
  bool mustAnswerAll() const;
  /// Returns whether the process exits. \p IsIdle tells whether no request and
  /// no connection is open.
  bool mustExit(bool IsIdle) const;

private:
  /// Returns when the open requests get their final answer, as a time since the
  /// stop began.
  Duration finalAnswersAt() const;

  Duration SinceStop;
  Duration StopTimeout;
};

} // namespace turmericpass

#endif
