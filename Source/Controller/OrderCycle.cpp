#include "Controller/OrderCycle.h"

#include "Control/DecisionLog.h"
#include "Controller/OrderPort.h"
#include "Settings/FleetSettings.h"

namespace turmericpass {

namespace {

std::string describe(const FleetOrder &Order) {
  return std::string(toName(Order.Kind)) + " " + Order.Model +
         " with fencing number " + std::to_string(Order.Fencing);
}

} // namespace

OrderCycle::OrderCycle(OrderPort &Port, ZoneLease &Lease,
                       DecisionLog &Decisions, const Clock &Time,
                       const std::string &Zone)
    : Port(Port), Lease(Lease), Decisions(Decisions), Zone(Zone),
      Orders(Time, Zone) {}

void OrderCycle::tick(const FleetSettings &Current,
                      const std::set<std::string> &LeavingServers) {
  if (this->Awaited > 0 || !this->Lease.holds())
    return;
  if (this->TermFencing != this->Lease.fencing()) {
    this->TermFencing = this->Lease.fencing();
    this->Orders.startTerm();
    this->Decisions.record(this->Zone, "lease",
                           "This node orders the zone's engines with fencing "
                           "number " +
                               std::to_string(this->TermFencing) + ".");
  }
  this->Settings = &Current;
  this->Leaving = LeavingServers;
  this->Seen.clear();
  std::vector<const ServerSettings *> Engines;
  for (const auto &[Name, Server] : Current.Servers) {
    const auto Service = Current.Services.find(Server.Service);
    if (Server.Zone == this->Zone && Service != Current.Services.end() &&
        Service->second.Kind == ServiceKind::Model)
      Engines.push_back(&Server);
  }
  this->Awaited = Engines.size();
  for (const ServerSettings *Server : Engines)
    this->Port.observe(Server->Address,
                       [this, Name = Server->Name](
                           const Result<std::set<std::string>> &Models) {
                         this->observed(Name, Models);
                       });
}

void OrderCycle::observed(const std::string &Server,
                          const Result<std::set<std::string>> &Models) {
  if (Models)
    this->Seen.push_back({Server, *Models});
  if (--this->Awaited == 0)
    this->decide();
}

void OrderCycle::decide() {
  const OrderAuthority Rights{this->Lease.fencing(),
                              this->Lease.holdsExclusively()};
  for (const FleetOrder &Order : this->Orders.decide(
           *this->Settings, this->Seen, this->Leaving, Rights)) {
    // The term may have ended since the decision.
    if (!this->Lease.holds())
      return;
    this->send(Order, this->Settings->Servers.at(Order.Server).Address);
  }
}

void OrderCycle::send(const FleetOrder &Order, const std::string &Address) {
  this->Decisions.record(Order.Server, "order",
                         "Ordered to " + describe(Order) + ".");
  this->Port.send(Address, Order, [this, Order](const Result<void> &Done) {
    if (Done)
      return;
    this->Orders.markFailed(Order);
    this->Decisions.record(Order.Server, "order",
                           "The order to " + describe(Order) +
                               " failed: " + Done.error().Message);
    if (Done.error().Code == ErrorCode::Conflict)
      this->Lease.relinquish();
  });
}

} // namespace turmericpass
