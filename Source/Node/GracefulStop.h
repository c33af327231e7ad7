#ifndef TURMERICPASS_NODE_GRACEFULSTOP_H
#define TURMERICPASS_NODE_GRACEFULSTOP_H

#include "Node/StopPolicy.h"

#include <optional>

namespace turmericpass {

class CallerServer;
class EventLoop;
class Logger;
class OnlineService;
struct NodeConfig;

/// Carries out the stop of this VM as StopPolicy decides.
class GracefulStop {
public:
  /// \p Config may change later, and is read at each step.
  GracefulStop(EventLoop &Loop, CallerServer &Front, OnlineService &Online,
               Logger &Log, const NodeConfig &Config)
      : Loop(Loop), Front(Front), Online(Online), Log(Log), Config(Config) {}

  /// Begins the stop. When it is complete, the event loop is stopped.
  void begin();
  bool hasBegun() const { return this->Since.has_value(); }

  /// Returns whether this VM may exit before a request that takes up to
  /// \p MaxTime is over, although another VM can take it. The stop must have
  /// begun.
  bool endsBefore(Duration MaxTime) const {
    return !this->policy().mayStart(MaxTime);
  }

private:
  StopPolicy policy() const;
  void takeNextStep();

  EventLoop &Loop;
  CallerServer &Front;
  OnlineService &Online;
  Logger &Log;
  const NodeConfig &Config;
  std::optional<Instant> Since;
};

} // namespace turmericpass

#endif
