#ifndef TURMERICPASS_DAEMON_EXPLAINPAGE_H
#define TURMERICPASS_DAEMON_EXPLAINPAGE_H

#include "Control/DecisionLog.h"

namespace turmericpass {

class DaemonContext;

/// The latest decisions of a daemon, served as JSON at /explain?id=ID of its
/// admin address.
class ExplainPage {
public:
  explicit ExplainPage(DaemonContext &Context);
  ExplainPage(const ExplainPage &) = delete;
  ExplainPage &operator=(const ExplainPage &) = delete;

  DecisionLog &records() { return this->Records; }

private:
  DecisionLog Records;
};

} // namespace turmericpass

#endif
