#include "Control/FleetOrderPlanner.h"

#include "Control/ZoneLease.h"
#include "Core/EnumTable.h"
#include "Settings/FleetSettings.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

constexpr auto OrderKindNames = makeEnumTable<OrderKind>({
    {OrderKind::Load, "load"},
    {OrderKind::Unload, "unload"},
});

/// The capacity of the token bucket for load orders.
constexpr double LoadBurst = 2;

/// Returns the model that a server should hold, or an empty string for none.
std::string desiredModel(const FleetSettings &Settings,
                         const ServerSettings &Server) {
  const auto Service = Settings.Services.find(Server.Service);
  return Service == Settings.Services.end() ? std::string()
                                            : Service->second.Model;
}

/// Returns the server if it accepts orders from this zone now, or nullptr.
const ServerSettings *findOrderable(const FleetSettings &Settings,
                                    const std::string &Name,
                                    const std::string &Zone,
                                    const std::set<std::string> &Leaving,
                                    const OrderAuthority &Authority) {
  const auto Known = Settings.Servers.find(Name);
  if (Known == Settings.Servers.end() || Leaving.count(Name) > 0)
    return nullptr;
  const ServerSettings &Server = Known->second;
  if (Server.Zone != Zone || (!Server.Fencing && !Authority.Exclusive))
    return nullptr;
  return &Server;
}

} // namespace

std::string_view toName(OrderKind Kind) { return OrderKindNames.nameOf(Kind); }

FleetOrderPlanner::FleetOrderPlanner(const Clock &Time, std::string Zone)
    : Time(Time), Zone(std::move(Zone)), LastRefill(Time.now()) {}

void FleetOrderPlanner::startTerm() {
  this->Pending.clear();
  this->LoadTokens = 0;
  this->LastRefill = this->Time.now();
}

void FleetOrderPlanner::markFailed(const FleetOrder &Order) {
  const auto Known =
      this->Pending.find({Order.Server, Order.Kind, Order.Model});
  if (Known != this->Pending.end())
    Known->second = std::min(Known->second, this->Time.now());
}

/// Adds the load tokens that have accrued since the last call. The zones divide
/// the rate of the weight store evenly, which needs no messages between the
/// lease holders.
void FleetOrderPlanner::refillLoadTokens(const FleetSettings &Settings) {
  constexpr double SecondsPerMinute = 60;
  const Instant Now = this->Time.now();
  const double Seconds =
      std::chrono::duration<double>(Now - this->LastRefill).count();
  const double Zones =
      std::max<double>(1, static_cast<double>(Settings.Zones.size()));
  this->LoadTokens =
      std::min(LoadBurst, this->LoadTokens +
                              Seconds * Settings.Platform.WeightLoadsPerMinute /
                                  SecondsPerMinute / Zones);
  this->LastRefill = Now;
}

bool FleetOrderPlanner::takeLoadToken() {
  if (this->LoadTokens < 1)
    return false;
  this->LoadTokens -= 1;
  return true;
}

bool FleetOrderPlanner::isPending(const std::string &Server, OrderKind Kind,
                                  const std::string &Model) const {
  const auto Known = this->Pending.find({Server, Kind, Model});
  return Known != this->Pending.end() && this->Time.now() < Known->second;
}

FleetOrder FleetOrderPlanner::issueOrder(const std::string &Server,
                                         OrderKind Kind,
                                         const std::string &Model,
                                         std::uint64_t Fencing) {
  this->Pending[{Server, Kind, Model}] =
      this->Time.now() + ZoneLease::OrderDeadline;
  const auto Deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
      ZoneLease::OrderDeadline);
  return {Server, Kind, Model, Fencing,
          static_cast<std::uint64_t>(Deadline.count())};
}

std::vector<FleetOrder> FleetOrderPlanner::decide(
    const FleetSettings &Settings, const std::vector<EngineState> &Observed,
    const std::set<std::string> &Leaving, const OrderAuthority &Authority) {
  this->refillLoadTokens(Settings);
  std::vector<FleetOrder> Orders;
  if (Authority.Fencing == 0)
    return Orders;
  std::vector<std::pair<Instant, FleetOrder>> Candidates;
  for (const EngineState &Engine : Observed) {
    const ServerSettings *Server =
        findOrderable(Settings, Engine.Server, this->Zone, Leaving, Authority);
    if (!Server)
      continue;
    const std::string Model = desiredModel(Settings, *Server);
    if (Model.empty() || Engine.Models.count(Model) > 0 ||
        this->isPending(Engine.Server, OrderKind::Load, Model))
      continue;
    const auto Previous =
        this->Pending.find({Engine.Server, OrderKind::Load, Model});
    Candidates.emplace_back(Previous == this->Pending.end() ? Instant{}
                                                            : Previous->second,
                            FleetOrder{Engine.Server, OrderKind::Load, Model,
                                       Authority.Fencing, 0});
  }
  // The server whose last order is the oldest comes first, so that a server
  // whose loads always fail does not use up the tokens of the others.
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  for (const auto &[LastDeadline, Order] : Candidates)
    if (this->takeLoadToken())
      Orders.push_back(this->issueOrder(Order.Server, OrderKind::Load,
                                        Order.Model, Authority.Fencing));
  this->appendUnloads(Settings, Observed, Leaving, Authority, Orders);
  return Orders;
}

/// Appends orders to unload the models that the settings do not assign. A copy
/// of a model counts as kept only if it was observed on a server that is not
/// leaving and no unload of it is pending. Therefore, the last copy of a model
/// in the zone is never unloaded.
void FleetOrderPlanner::appendUnloads(const FleetSettings &Settings,
                                      const std::vector<EngineState> &Observed,
                                      const std::set<std::string> &Leaving,
                                      const OrderAuthority &Authority,
                                      std::vector<FleetOrder> &Orders) {
  std::map<std::string, std::size_t> Copies;
  for (const EngineState &Engine : Observed) {
    const auto Server = Settings.Servers.find(Engine.Server);
    if (Server == Settings.Servers.end() || Server->second.Zone != this->Zone ||
        Leaving.count(Engine.Server) > 0)
      continue;
    for (const std::string &Model : Engine.Models)
      if (!this->isPending(Engine.Server, OrderKind::Unload, Model))
        ++Copies[Model];
  }
  for (const EngineState &Engine : Observed) {
    const ServerSettings *Server =
        findOrderable(Settings, Engine.Server, this->Zone, Leaving, Authority);
    if (!Server)
      continue;
    const std::string Desired = desiredModel(Settings, *Server);
    // A model is unloaded only after its replacement has been loaded.
    if (Engine.Models.count(Desired) == 0)
      continue;
    for (const std::string &Model : Engine.Models) {
      if (Model == Desired || Copies[Model] < 2 ||
          this->isPending(Engine.Server, OrderKind::Unload, Model))
        continue;
      --Copies[Model];
      Orders.push_back(this->issueOrder(Engine.Server, OrderKind::Unload, Model,
                                        Authority.Fencing));
    }
  }
}

} // namespace turmericpass
