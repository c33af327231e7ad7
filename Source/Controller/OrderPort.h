#ifndef TURMERICPASS_CONTROLLER_ORDERPORT_H
#define TURMERICPASS_CONTROLLER_ORDERPORT_H

#include "Control/FleetOrderPlanner.h"
#include "Core/Error.h"

#include <functional>
#include <set>
#include <string>

namespace turmericpass {

/// Sends fleet orders to engines and looks at what they hold.
class OrderPort {
public:
  using ObserveDone = std::function<void(Result<std::set<std::string>>)>;
  using SendDone = std::function<void(Result<void>)>;

  virtual ~OrderPort() = default;

  /// Gives the models that the engine at \p Address ("ip:port") holds.
  /// Errors: Unavailable, Timeout, NotFound if it does not tell.
  virtual void observe(const std::string &Address, ObserveDone Done) = 0;

  /// Errors: Conflict for a fencing number that is too old, else as observe.
  virtual void send(const std::string &Address, const FleetOrder &Order,
                    SendDone Done) = 0;
};

} // namespace turmericpass

#endif
