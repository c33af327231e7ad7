#ifndef TURMERICPASS_CONTROL_FLEETORDERPLANNER_H
#define TURMERICPASS_CONTROL_FLEETORDERPLANNER_H

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace turmericpass {

struct FleetSettings;

enum class OrderKind { Load, Unload };

/// Returns "load" or "unload".
std::string_view toName(OrderKind Kind);

/// An order to a model engine. Orders are idempotent.
struct FleetOrder {
  std::string Server;
  OrderKind Kind = OrderKind::Load;
  std::string Model;
  std::uint64_t Fencing = 0;
  /// The time left to start executing the order, in milliseconds.
  std::uint64_t DeadlineMs = 0;

  bool operator==(const FleetOrder &) const = default;
};

/// The models that one engine was last observed to hold. An engine that did not
/// answer has no EngineState, because unknown differs from empty.
struct EngineState {
  std::string Server;
  std::set<std::string> Models;
};

/// The orders that a node may send at this moment under the lease of its zone.
struct OrderAuthority {
  std::uint64_t Fencing = 0;
  /// False until the deadlines of all orders of the previous holder have
  /// passed.
  bool Exclusive = false;
};

/// Decides which orders make the engines of one zone hold the models that the
/// settings assign to them.
class FleetOrderPlanner {
public:
  FleetOrderPlanner(const Clock &Time, std::string Zone);

  /// Returns the orders to send now. A pending order is not repeated before its
  /// deadline. Servers in \p Leaving receive no orders.
  std::vector<FleetOrder> decide(const FleetSettings &Settings,
                                 const std::vector<EngineState> &Observed,
                                 const std::set<std::string> &Leaving,
                                 const OrderAuthority &Authority);

  /// Allows a failed order to be issued again. A successful order remains
  /// pending until its deadline, by which time an observation shows its effect.
  void markFailed(const FleetOrder &Order);

  /// Forgets pending orders and discards the accumulated load tokens, so that a
  /// takeover of the lease does not double the load rate at the weight store.
  void startTerm();

private:
  /// The server, the kind of the order and the model.
  using PendingKey = std::tuple<std::string, OrderKind, std::string>;

  void refillLoadTokens(const FleetSettings &Settings);
  bool isPending(const std::string &Server, OrderKind Kind,
                 const std::string &Model) const;
  bool takeLoadToken();
  FleetOrder issueOrder(const std::string &Server, OrderKind Kind,
                        const std::string &Model, std::uint64_t Fencing);
  void appendUnloads(const FleetSettings &Settings,
                     const std::vector<EngineState> &Observed,
                     const std::set<std::string> &Leaving,
                     const OrderAuthority &Authority,
                     std::vector<FleetOrder> &Orders);

  const Clock &Time;
  std::string Zone;
  /// The deadline of the last order for each server, kind and model.
  std::map<PendingKey, Instant> Pending;
  /// The token bucket for load orders: the loads that may be ordered now.
  double LoadTokens = 0;
  Instant LastRefill;
};

} // namespace turmericpass

#endif
