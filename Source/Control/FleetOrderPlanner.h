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

/// An order for a model engine. To carry it out twice does no harm.
struct FleetOrder {
  std::string Server;
  OrderKind Kind = OrderKind::Load;
  std::string Model;
  std::uint64_t Fencing = 0;
  /// Time left to begin it, in milliseconds.
  std::uint64_t DeadlineMs = 0;

  bool operator==(const FleetOrder &) const = default;
};

/// What one engine was last seen to hold. Engines that did not answer are
/// left out: unknown is not empty.
struct EngineState {
  std::string Server;
  std::set<std::string> Models;
};

/// What the holder of a zone's lease may do at this moment.
struct OrderAuthority {
  std::uint64_t Fencing = 0;
  /// False until the previous holder's orders have passed their deadlines.
  bool Alone = false;
};

/// Decides which orders bring the engines of one zone to the settings.
class FleetOrderPlanner {
public:
  FleetOrderPlanner(const Clock &Time, std::string Zone);

  /// Returns the orders to send now. Pending ones are not repeated before
  /// their deadline. \p Leaving servers get none.
  std::vector<FleetOrder> decide(const FleetSettings &Settings,
                                 const std::vector<EngineState> &Observed,
                                 const std::set<std::string> &Leaving,
                                 const OrderAuthority &Rights);

  /// Makes a failed order one that may be given again. A successful one stays
  /// pending until its deadline, by when an observation shows its effect.
  void failed(const FleetOrder &Order);

  /// Forgets pending orders and spends the loads in hand, so that a takeover
  /// does not double the rate at the weight store.
  void startTerm();

private:
  /// Server, kind and model.
  using PendingKey = std::tuple<std::string, OrderKind, std::string>;

  void refill(const FleetSettings &Settings);
  bool isPending(const std::string &Server, OrderKind Kind,
                 const std::string &Model) const;
  bool takeLoad();
  FleetOrder issue(const std::string &Server, OrderKind Kind,
                   const std::string &Model, std::uint64_t Fencing);
  void unload(const FleetSettings &Settings,
              const std::vector<EngineState> &Observed,
              const std::set<std::string> &Leaving,
              const OrderAuthority &Rights, std::vector<FleetOrder> &Orders);

  const Clock &Time;
  std::string Zone;
  /// The deadline of the last order of each kind.
  std::map<PendingKey, Instant> Pending;
  /// Loads that may be ordered at once.
  double Loads = 0;
  Instant Refilled;
};

} // namespace turmericpass

#endif
