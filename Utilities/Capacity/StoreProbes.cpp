#include "CapacityReport.h"
#include "Control/DrainMarks.h"
#include "Control/SettingsFollower.h"
#include "Control/SettingsReplica.h"
#include "Control/SettingsStore.h"
#include "Control/ZoneLease.h"
#include "Core/IdSource.h"
#include "Daemon/PlatformStores.h"
#include "Loop/EventLoop.h"
#include "Platform/BudgetedObjectStore.h"
#include "Platform/BudgetedTable.h"
#include "Probes.h"
#include "Support/BatchNode.h"
#include "Support/ControlFleet.h"
#include "Telemetry/Logger.h"

#include <algorithm>
#include <memory>
#include <numeric>

namespace turmericpass {

namespace {

FleetSettings settingsOf(std::size_t Nodes) {
  FleetSettings Settings;
  for (std::size_t I = 0; I < Nodes; ++I)
    Settings.Nodes["n" + std::to_string(I)];
  return Settings;
}

StoreLimits shareAt(std::size_t Nodes, DaemonRole Role) {
  return storeShare(settingsOf(Nodes), Role);
}

StoreLimits objectShareAt(std::size_t Nodes, DaemonRole Role) {
  return objectShare(settingsOf(Nodes), Role);
}

/// What the controller of a zone's relay does with the table, within its part
/// of the budget among \p Nodes nodes. The table itself answers at once.
class RelayStores {
public:
  RelayStores(EventLoop &Loop, MemoryTable &Rows, std::size_t Nodes)
      : Nodes(Nodes), Loop(Loop), Ids(Nodes),
        Budgeted(Loop, Rows, shareAt(Nodes, DaemonRole::Controller), Nodes),
        Store(Budgeted, Ids, Loop.clock()), Replica({}, makeFolder("0")),
        Follower(
            Store, Replica, Loop.clock(), Log, [this] { this->adopted(); },
            [](const std::string &, const SettingsRequest &) {}),
        Lease(Budgeted, Ids, Loop.clock(), "z" + std::to_string(Nodes), "n"),
        Marks(Budgeted, Ids) {}

  /// Called each half second, as the controller's settings timer is.
  void tick() {
    this->Follower.tick(true);
    if (++this->Ticks % 2 != 0)
      return;
    this->Lease.tick(true);
    this->HeldTicks += this->Lease.holds() ? 1 : 0;
    if (this->MarksOpen)
      return;
    this->MarksOpen = true;
    this->Marks.list([this](const auto &) { this->MarksOpen = false; });
  }

  void applied(std::uint64_t Version) {
    this->Applied[Version] = this->Loop.clock().now();
  }

  /// Versions that were not in force when 3 s had passed.
  double late() const {
    const Instant Now = this->Loop.clock().now();
    double Count = 0;
    for (const auto &[Version, Since] : this->Applied) {
      const auto Found = this->Delays.find(Version);
      const double Millis =
          Found == this->Delays.end() ? toMillis(Now - Since) : Found->second;
      Count += Millis > 3000 ? 1 : 0;
    }
    return Count;
  }

  double longest() const {
    double Most = 0;
    for (const auto &[Version, Since] : this->Applied) {
      const auto Found = this->Delays.find(Version);
      Most = std::max(Most, Found == this->Delays.end()
                                ? toMillis(this->Loop.clock().now() - Since)
                                : Found->second);
    }
    return Most;
  }

  const StoreCounts &counts() const { return this->Budgeted.counts(); }

  /// The share of the seconds in which the zone's lease was held.
  double heldShare() const { return 2.0 * this->HeldTicks / this->Ticks; }

  std::size_t Nodes;

private:
  /// A later version brings the earlier ones into force too.
  void adopted() {
    for (const auto &[Version, Since] : this->Applied)
      if (Version <= this->Replica.version())
        this->Delays.emplace(Version,
                             toMillis(this->Loop.clock().now() - Since));
  }

  EventLoop &Loop;
  IdSource Ids;
  NullLogger Log;
  BudgetedTable Budgeted;
  SettingsStore Store;
  SettingsReplica Replica;
  SettingsFollower Follower;
  ZoneLease Lease;
  DrainMarks Marks;
  int Ticks = 0;
  int HeldTicks = 0;
  bool MarksOpen = false;
  std::map<std::uint64_t, Instant> Applied;
  std::map<std::uint64_t, double> Delays;
};

/// A batcher of a fleet of \p Nodes nodes at 28 items/s within its part of the
/// budget. It starts with chunks to claim, and every item ends at once.
class BudgetedBatcher {
public:
  BudgetedBatcher(EventLoop &Loop, std::size_t Nodes)
      : Nodes(Nodes), Ids(Nodes),
        Budgeted(Loop, Rows, shareAt(Nodes, DaemonRole::Batcher), Nodes),
        BudgetedObjects(Loop, Objects,
                        objectShareAt(Nodes, DaemonRole::Batcher), Nodes),
        Service(Rows, Objects, Loop.clock(), Ids),
        Worker(Budgeted, BudgetedObjects, Loop.clock(), Ids) {
    this->Service.putFile(
        "c", "in", itemInput(20000),
        [this](const Result<FileRecord> &R) { this->File = R ? R->Id : ""; });
    this->Service.submit(
        {"c", "night", this->File, "/v1/chat/completions", "k", 3600000},
        [](const Result<JobRecord> &) {});
  }

  /// Called each 100 ms.
  void tick() {
    this->Worker.tick();
    this->Credit += 2.8;
    while (this->Credit >= 1) {
      const std::optional<WorkItem> Item = this->Worker.next();
      if (!Item)
        break;
      this->Worker.finish(Item->Id, okOutcome("\"x\""));
      this->Credit -= 1;
      ++this->Items;
    }
    this->Credit = std::min(this->Credit, 2.8);
  }

  std::size_t Nodes;
  double Items = 0;
  IdSource Ids;
  MemoryTable Rows;
  MemoryObjectStore Objects;
  BudgetedTable Budgeted;
  BudgetedObjectStore BudgetedObjects;
  TableJobService Service;
  BatchWorker Worker;

private:
  std::string File;
  double Credit = 0;
};

/// A gateway of a fleet of \p Nodes nodes that accepts one job of 20,000 items
/// within its part of the budget. Its caller resends what is refused.
class BudgetedGateway {
public:
  BudgetedGateway(EventLoop &Loop, std::size_t Nodes)
      : Nodes(Nodes), Loop(Loop), Ids(Nodes), Begun(Loop.clock().now()),
        Budgeted(Loop, Rows, shareAt(Nodes, DaemonRole::Gateway), Nodes),
        BudgetedObjects(Loop, Objects,
                        objectShareAt(Nodes, DaemonRole::Gateway), Nodes),
        Service(Budgeted, BudgetedObjects, Loop.clock(), Ids) {}

  /// Called each second.
  void tick() {
    if (this->Open || this->AcceptedMs > 0)
      return;
    this->Open = true;
    ++this->Tries;
    if (!this->File.empty())
      return this->submit();
    this->Service.putFile("c", "in", itemInput(20000),
                          [this](const Result<FileRecord> &R) {
                            this->Open = false;
                            if (R)
                              this->File = R->Id;
                          });
  }

  std::size_t Nodes;
  int Tries = 0;
  /// Milliseconds until the job was accepted, or 0.
  double AcceptedMs = 0;
  bool hasFile() const { return !this->File.empty(); }

private:
  void submit() {
    this->Service.submit(
        {"c", "night", this->File, "/v1/chat/completions", "k", 3600000},
        [this](const Result<JobRecord> &R) {
          this->Open = false;
          if (R)
            this->AcceptedMs = toMillis(this->Loop.clock().now() - this->Begun);
        });
  }

  EventLoop &Loop;
  IdSource Ids;
  Instant Begun;
  MemoryTable Rows;
  MemoryObjectStore Objects;
  BudgetedTable Budgeted;
  BudgetedObjectStore BudgetedObjects;
  TableJobService Service;
  std::string File;
  bool Open = false;
};

void record(CapacityReport &Out, const BudgetedGateway &Each) {
  const auto Size = static_cast<double>(Each.Nodes);
  Out.add("budgeted_gateway.accepted_ms", "nodes", Size, Each.AcceptedMs);
  Out.add("budgeted_gateway.file_stored", "nodes", Size,
          Each.hasFile() ? 1 : 0);
  Out.add("budgeted_gateway.tries", "nodes", Size, Each.Tries);
}

void record(CapacityReport &Out, const BudgetedBatcher &Each, double Seconds) {
  const auto Size = static_cast<double>(Each.Nodes);
  Out.add("budgeted_batcher.items_s", "nodes", Size, Each.Items / Seconds);
  Out.add("budgeted_batcher.commits", "nodes", Size,
          static_cast<double>(Each.Worker.commits()));
  const StoreCounts &Counts = Each.Budgeted.counts();
  Out.add("budgeted_batcher.table_calls_s", "nodes", Size,
          static_cast<double>(Counts.Reads + Counts.Writes) / Seconds);
  Out.add("budgeted_batcher.table_refused_s", "nodes", Size,
          static_cast<double>(Counts.Refused) / Seconds);
}

/// Applies a version each 1.56 s, which is 55,000 a day, for 20 s.
void probeAdoption(CapacityReport &Out) {
  constexpr auto Length = std::chrono::seconds(20);
  const BootClock Time;
  EventLoop Loop(Time);
  MemoryTable Rows;
  IdSource Ids(99);
  SettingsStore Operator(Rows, Ids, Time);
  std::vector<std::unique_ptr<RelayStores>> Relays;
  for (const std::size_t Nodes : {12, 50, 150, 410})
    Relays.push_back(std::make_unique<RelayStores>(Loop, Rows, Nodes));
  std::vector<std::unique_ptr<BudgetedBatcher>> Batchers;
  for (const std::size_t Nodes : {12, 50, 150, 410})
    Batchers.push_back(std::make_unique<BudgetedBatcher>(Loop, Nodes));
  std::vector<std::unique_ptr<BudgetedGateway>> Gateways;
  for (const std::size_t Nodes : {12, 50, 150, 410})
    Gateways.push_back(std::make_unique<BudgetedGateway>(Loop, Nodes));
  Loop.every(std::chrono::seconds(1), [&] {
    for (auto &Each : Gateways)
      Each->tick();
  });
  Loop.every(std::chrono::milliseconds(100), [&] {
    for (auto &Each : Batchers)
      Each->tick();
  });
  std::uint64_t Version = 0;
  Loop.every(std::chrono::milliseconds(1560), [&] {
    Operator.apply(Version, "probe", makeFolder(std::to_string(Version + 1)),
                   [&](const Result<SettingsManifest> &Done) {
                     if (!Done)
                       return;
                     ++Version;
                     for (auto &Each : Relays)
                       Each->applied(Version);
                   });
  });
  Loop.every(std::chrono::milliseconds(500), [&] {
    for (auto &Each : Relays)
      Each->tick();
  });
  const Instant End = Time.now() + Length;
  while (Time.now() < End)
    Loop.runOnce(std::chrono::milliseconds(20));
  const double Seconds = 20;
  for (const auto &Each : Gateways)
    record(Out, *Each);
  for (const auto &Each : Batchers)
    record(Out, *Each, Seconds);
  for (const auto &Each : Relays) {
    const auto Size = static_cast<double>(Each->Nodes);
    const StoreCounts &Counts = Each->counts();
    Out.add("adoption.longest_ms", "nodes", Size, Each->longest());
    Out.add("adoption.later_than_3s", "nodes", Size, Each->late());
    Out.add("adoption.lease_held_share", "nodes", Size, Each->heldShare());
    Out.add("adoption.versions", "nodes", Size, static_cast<double>(Version));
    Out.add("adoption.reads_s", "nodes", Size,
            static_cast<double>(Counts.Reads) / Seconds);
    Out.add("adoption.writes_s", "nodes", Size,
            static_cast<double>(Counts.Writes) / Seconds);
    Out.add("adoption.refused_s", "nodes", Size,
            static_cast<double>(Counts.Refused) / Seconds);
  }
}

void probeShares(CapacityReport &Out, std::size_t Nodes) {
  const auto Size = static_cast<double>(Nodes);
  const auto Add = [&](const std::string &Name, DaemonRole Role) {
    const StoreLimits Limits = shareAt(Nodes, Role);
    Out.add("share." + Name + ".reads_s", "nodes", Size, Limits.ReadsPerSecond);
    Out.add("share." + Name + ".writes_s", "nodes", Size,
            Limits.WritesPerSecond);
  };
  Add("gateway", DaemonRole::Gateway);
  Add("batcher", DaemonRole::Batcher);
  Add("controller", DaemonRole::Controller);
}

} // namespace

void probeStores(CapacityReport &Out) {
  for (const std::size_t Nodes : {12, 50, 150, 410})
    probeShares(Out, Nodes);
  probeAdoption(Out);
}

} // namespace turmericpass
