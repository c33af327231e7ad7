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

/// The most loads that are ordered at once.
constexpr double LoadBurst = 2;

/// Returns the model that a server should hold, empty for none.
std::string desiredModel(const FleetSettings &Settings,
                         const ServerSettings &Server) {
  const auto Service = Settings.Services.find(Server.Service);
  return Service == Settings.Services.end() ? std::string()
                                            : Service->second.Model;
}

/// Returns the server if it takes orders of this zone now, else nullptr.
const ServerSettings *findOrderable(const FleetSettings &Settings,
                                    const std::string &Name,
                                    const std::string &Zone,
                                    const std::set<std::string> &Leaving,
                                    const OrderAuthority &Rights) {
  const auto Known = Settings.Servers.find(Name);
  if (Known == Settings.Servers.end() || Leaving.count(Name) > 0)
    return nullptr;
  const ServerSettings &Server = Known->second;
  if (Server.Zone != Zone || (!Server.Fencing && !Rights.Alone))
    return nullptr;
  return &Server;
}

} // namespace

std::string_view toName(OrderKind Kind) { return OrderKindNames.nameOf(Kind); }

FleetOrderPlanner::FleetOrderPlanner(const Clock &Time, std::string Zone)
    : Time(Time), Zone(std::move(Zone)), Refilled(Time.now()) {}

void FleetOrderPlanner::startTerm() {
  this->Pending.clear();
  this->Loads = 0;
  this->Refilled = this->Time.now();
}

void FleetOrderPlanner::failed(const FleetOrder &Order) {
  const auto Known =
      this->Pending.find({Order.Server, Order.Kind, Order.Model});
  if (Known != this->Pending.end())
    Known->second = std::min(Known->second, this->Time.now());
}

/// The zones split the weight store's rate evenly, since no message between
/// their holders is worth more than that.
void FleetOrderPlanner::refill(const FleetSettings &Settings) {
  constexpr double SecondsPerMinute = 60;
  const Instant Now = this->Time.now();
  const double Seconds =
      std::chrono::duration<double>(Now - this->Refilled).count();
  const double Zones =
      std::max<double>(1, static_cast<double>(Settings.Zones.size()));
  this->Loads =
      std::min(LoadBurst,
               this->Loads + Seconds * Settings.Platform.WeightLoadsPerMinute /
                                 SecondsPerMinute / Zones);
  this->Refilled = Now;
}

bool FleetOrderPlanner::takeLoad() {
  if (this->Loads < 1)
    return false;
  this->Loads -= 1;
  return true;
}

bool FleetOrderPlanner::isPending(const std::string &Server, OrderKind Kind,
                                  const std::string &Model) const {
  const auto Known = this->Pending.find({Server, Kind, Model});
  return Known != this->Pending.end() && this->Time.now() < Known->second;
}

FleetOrder FleetOrderPlanner::issue(const std::string &Server, OrderKind Kind,
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
    const std::set<std::string> &Leaving, const OrderAuthority &Rights) {
  this->refill(Settings);
  std::vector<FleetOrder> Orders;
  if (Rights.Fencing == 0)
    return Orders;
  std::vector<std::pair<Instant, FleetOrder>> Wanted;
  for (const EngineState &Engine : Observed) {
    const ServerSettings *Server =
        findOrderable(Settings, Engine.Server, this->Zone, Leaving, Rights);
    if (!Server)
      continue;
    const std::string Model = desiredModel(Settings, *Server);
    if (Model.empty() || Engine.Models.count(Model) > 0 ||
        this->isPending(Engine.Server, OrderKind::Load, Model))
      continue;
    const auto Last =
        this->Pending.find({Engine.Server, OrderKind::Load, Model});
    Wanted.emplace_back(
        Last == this->Pending.end() ? Instant{} : Last->second,
        FleetOrder{Engine.Server, OrderKind::Load, Model, Rights.Fencing, 0});
  }
  // The server whose last order is the oldest comes first, so that one that
  // always fails does not use up the loads of the others.
  std::stable_sort(Wanted.begin(), Wanted.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  for (const auto &[Last, Order] : Wanted)
    if (this->takeLoad())
      Orders.push_back(this->issue(Order.Server, OrderKind::Load, Order.Model,
                                   Rights.Fencing));
  this->unload(Settings, Observed, Leaving, Rights, Orders);
  return Orders;
}

/// Unloads what the settings do not ask for. A copy counts as kept only if it
/// was observed on a server that stays and no unload of it is pending, so the
/// last copy of a model in the zone is never unloaded.
void FleetOrderPlanner::unload(const FleetSettings &Settings,
                               const std::vector<EngineState> &Observed,
                               const std::set<std::string> &Leaving,
                               const OrderAuthority &Rights,
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
        findOrderable(Settings, Engine.Server, this->Zone, Leaving, Rights);
    if (!Server)
      continue;
    const std::string Desired = desiredModel(Settings, *Server);
    // A model is dropped only beside the one that replaces it.
    if (Engine.Models.count(Desired) == 0)
      continue;
    for (const std::string &Model : Engine.Models) {
      if (Model == Desired || Copies[Model] < 2 ||
          this->isPending(Engine.Server, OrderKind::Unload, Model))
        continue;
      --Copies[Model];
      Orders.push_back(
          this->issue(Engine.Server, OrderKind::Unload, Model, Rights.Fencing));
    }
  }
}

} // namespace turmericpass
