#ifndef TURMERICPASS_CONTROLLER_ORDERCYCLE_H
#define TURMERICPASS_CONTROLLER_ORDERCYCLE_H

#include "Control/FleetOrderPlanner.h"
#include "Control/ZoneLease.h"

#include <set>
#include <string>
#include <vector>

namespace turmericpass {

class DecisionLog;
class OrderPort;
struct FleetSettings;

/// Looks at the engines of a zone and sends the orders that follow, while this
/// node holds the zone's lease.
class OrderCycle {
public:
  OrderCycle(OrderPort &Port, ZoneLease &Lease, DecisionLog &Decisions,
             const Clock &Time, const std::string &Zone);

  /// Begins a round unless the last one is still under way. \p Settings must
  /// outlive the round.
  void tick(const FleetSettings &Settings,
            const std::set<std::string> &Leaving);

private:
  void observed(const std::string &Server,
                const Result<std::set<std::string>> &Models);
  void decide();
  void send(const FleetOrder &Order, const std::string &Address);

  OrderPort &Port;
  ZoneLease &Lease;
  DecisionLog &Decisions;
  std::string Zone;
  FleetOrderPlanner Orders;
  std::uint64_t TermFencing = 0;
  const FleetSettings *Settings = nullptr;
  std::set<std::string> Leaving;
  std::vector<EngineState> Seen;
  std::size_t Awaited = 0;
};

} // namespace turmericpass

#endif
