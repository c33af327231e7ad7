#include "Node/GracefulStop.h"

#include "Loop/EventLoop.h"
#include "Node/NodeConfig.h"
#include "Node/NodeTimes.h"
#include "RawHttp/CallerServer.h"
#include "Serving/OnlineService.h"
#include "Telemetry/Logger.h"

namespace turmericpass {

void GracefulStop::begin() {
  this->Since = this->Loop.clock().now();
  this->Front.startDraining();
  this->Online.stopHedging();
  this->Loop.every(StopCheckPeriod, [this] { this->takeNextStep(); });
}

StopPolicy GracefulStop::policy() const {
  return {this->Loop.clock().now() - *this->Since, this->Config.StopTimeout};
}

void GracefulStop::takeNextStep() {
  const StopPolicy Policy = this->policy();
  if (Policy.mayCloseIdleConnections())
    this->Front.closeIdleConnections();
  if (Policy.mayCloseListener())
    this->Front.closeListener();
  if (Policy.mustAnswerAll())
    this->Online.endCalls(Policy.mustExit(false));
  const bool IsIdle =
      this->Front.openRequests() == 0 && this->Front.openConnections() == 0;
  if (!Policy.mustExit(IsIdle))
    return;
  this->Log.log(
      LogLevel::Info, "The node has stopped.",
      {{"open_requests", this->Front.openRequests()},
       {"took_ms", toMillis(this->Loop.clock().now() - *this->Since)}});
  this->Loop.stop();
}

} // namespace turmericpass
