#include "CapacityReport.h"
#include "Control/MembershipProtocol.h"
#include "Probes.h"
#include "Support/ControlFleet.h"
#include "Wire/Codec.h"

#include <algorithm>
#include <memory>

namespace turmericpass {

namespace {

/// The longest address of a node, so that bytes are not too few.
constexpr const char *Address = "10.100.100.100:17104";

/// What one node used since the counters were cleared.
struct NodeCost {
  double Bytes = 0;
  double Received = 0;
  double Micros = 0;
};

std::string encoded(const Message &Body) {
  Result<std::string> Bytes = encode({Address, Body});
  return Bytes ? std::move(*Bytes) : std::string();
}

/// Controllers that exchange encoded digests without loss.
class DigestFleet {
public:
  explicit DigestFleet(FleetSettings Given) : Settings(std::move(Given)) {
    for (const auto &[Name, Node] : this->Settings.Nodes)
      this->start(Name);
  }

  void start(const std::string &Name) {
    this->Nodes[Name] = std::make_unique<MembershipProtocol>(
        this->Time, Name, this->Settings,
        static_cast<std::uint64_t>(this->Time.wallMillis()));
  }

  /// Lets one second pass. \p CutOff names a node that nothing reaches.
  void second(std::uint64_t Version, const std::string &CutOff = "",
              const std::string &Load = "") {
    this->Time.advance(std::chrono::seconds(1));
    std::vector<std::pair<std::string, std::string>> Sent;
    for (auto &[Name, Node] : this->Nodes) {
      NodeCost &Used = this->Costs[Name];
      const double Begun = cpuMicros();
      Node->setOwnState(true, Version, Load);
      for (OutgoingDigest &Each : Node->tick()) {
        std::string Bytes = encoded(Each.Body);
        Used.Bytes += static_cast<double>(Bytes.size());
        if (Name != CutOff && Each.Node != CutOff &&
            this->Parted.count(Name) == this->Parted.count(Each.Node))
          Sent.emplace_back(Each.Node, std::move(Bytes));
      }
      Used.Micros += cpuMicros() - Begun;
    }
    std::stable_sort(Sent.begin(), Sent.end(), [](auto &Left, auto &Right) {
      return Left.first < Right.first;
    });
    this->deliver(Sent);
  }

  void seconds(int Count, const std::string &CutOff = "") {
    for (int I = 0; I < Count; ++I)
      this->second(1, CutOff);
  }

  MembershipProtocol &at(const std::string &Name) { return *this->Nodes[Name]; }

  /// Nodes that exchange messages only among themselves.
  std::set<std::string> Parted;
  ManualClock Time;
  FleetSettings Settings;
  std::map<std::string, std::unique_ptr<MembershipProtocol>> Nodes;
  std::map<std::string, NodeCost> Costs;

private:
  void deliver(const std::vector<std::pair<std::string, std::string>> &Sent) {
    for (auto From = Sent.begin(); From != Sent.end();) {
      const double Begun = cpuMicros();
      const std::string &To = From->first;
      NodeCost &Used = this->Costs[To];
      for (; From != Sent.end() && From->first == To; ++From) {
        const Result<Envelope> Read = decode(From->second);
        if (const auto Node = this->Nodes.find(To); Node != this->Nodes.end())
          Node->second->receive(std::get<Digest>(Read->Body));
        Used.Received += static_cast<double>(From->second.size());
      }
      Used.Micros += cpuMicros() - Begun;
    }
  }
};

struct Spread {
  double Mean = 0;
  double Most = 0;
};

Spread spread(const std::map<std::string, NodeCost> &Costs,
              double NodeCost::*Field, double Seconds) {
  Spread Found;
  for (const auto &[Name, Used] : Costs) {
    Found.Mean += Used.*Field / Seconds / static_cast<double>(Costs.size());
    Found.Most = std::max(Found.Most, Used.*Field / Seconds);
  }
  return Found;
}

std::string loadText(std::uint64_t Second) {
  std::string Text;
  for (int I = 0; I < 8; ++I)
    Text += (I == 0 ? "" : " ") + std::string("model") + std::to_string(I) +
            "=12" + std::to_string(Second) + "/3";
  return Text;
}

void recordExchange(CapacityReport &Out, const std::string &Name,
                    const std::string &Axis, double Size, std::size_t Zones,
                    std::size_t PerZone) {
  constexpr int Seconds = 8;
  const double Before = heapBytes();
  DigestFleet Fleet(makeFleet(Zones, PerZone));
  Fleet.seconds(12);
  const double Memory = heapBytes() - Before;
  Fleet.Costs.clear();
  Fleet.seconds(Seconds);
  const Spread Bytes = spread(Fleet.Costs, &NodeCost::Bytes, Seconds);
  const Spread Micros = spread(Fleet.Costs, &NodeCost::Micros, Seconds);
  Out.add(Name + ".bytes_s_busiest", Axis, Size, Bytes.Most);
  Out.add(Name + ".bytes_s_mean", Axis, Size, Bytes.Mean);
  Out.add(Name + ".cpu_us_s_busiest", Axis, Size, Micros.Most);
  Out.add(Name + ".cpu_us_s_mean", Axis, Size, Micros.Mean);
  Out.add(Name + ".memory_per_node", Axis, Size,
          Memory / static_cast<double>(Fleet.Nodes.size()));
  // With a settings version each second, which is more than 0.64 a
  // second.
  Fleet.Costs.clear();
  for (std::uint64_t I = 0; I < Seconds; ++I)
    Fleet.second(2 + I);
  Out.add(Name + ".changing.bytes_s_busiest", Axis, Size,
          spread(Fleet.Costs, &NodeCost::Bytes, Seconds).Most);
  Out.add(Name + ".changing.cpu_us_s_busiest", Axis, Size,
          spread(Fleet.Costs, &NodeCost::Micros, Seconds).Most);
  // With the load of 8 models, which no daemon states yet.
  Fleet.Costs.clear();
  for (std::uint64_t I = 0; I < Seconds; ++I)
    Fleet.second(20, "", loadText(I));
  Out.add(Name + ".loaded.bytes_s_busiest", Axis, Size,
          spread(Fleet.Costs, &NodeCost::Bytes, Seconds).Most);
  Out.add(Name + ".loaded.cpu_us_s_busiest", Axis, Size,
          spread(Fleet.Costs, &NodeCost::Micros, Seconds).Most);
}

FleetView viewOf(const MembershipProtocol &Members) {
  FleetView View;
  for (const std::string &Name : Members.liveNodes())
    View.LiveNodes.push_back(Name);
  for (const std::string &Name : Members.leavingServers())
    View.LeavingServers.push_back(Name);
  for (const std::string &Name : Members.quarantinedFingerprints())
    View.QuarantinedFingerprints.push_back(Name);
  return View;
}

void recordView(CapacityReport &Out, const std::string &Name,
                const std::string &Axis, double Size,
                const MembershipProtocol &Members) {
  constexpr int Times = 20;
  const double Begun = cpuMicros();
  std::size_t Bytes = 0;
  for (int I = 0; I < Times; ++I)
    Bytes = encoded(viewOf(Members)).size();
  Out.add(Name + ".cpu_us", Axis, Size, (cpuMicros() - Begun) / Times);
  Out.add(Name + ".bytes", Axis, Size, static_cast<double>(Bytes));
}

std::string fingerprint(std::size_t Number) {
  std::string Text = std::to_string(Number);
  return std::string(64 - Text.size(), 'f') + Text;
}

void probeViews(CapacityReport &Out) {
  for (const std::size_t Zones : {2, 5, 10, 19}) {
    DigestFleet Fleet(makeFleet(Zones, 22));
    Fleet.seconds(12);
    recordView(Out, "view", "nodes", static_cast<double>(22 * Zones),
               Fleet.at("z0n0"));
  }
}

/// Marks reach every node, and each announcement is repeated to all.
void probeMarks(CapacityReport &Out) {
  for (const std::size_t Count : {10, 100, 1000, 5000}) {
    DigestFleet Fleet(makeFleet(3, 4));
    Fleet.seconds(12);
    Fleet.Costs.clear();
    const double Before = heapBytes();
    for (std::size_t I = 0; I < Count; ++I)
      Fleet.at("z0n0").announceQuarantine(fingerprint(I));
    Fleet.seconds(8);
    const auto Size = static_cast<double>(Count);
    Out.add("marks.bytes_busiest", "fingerprints", Size,
            spread(Fleet.Costs, &NodeCost::Bytes, 1).Most);
    Out.add("marks.memory_per_node", "fingerprints", Size,
            (heapBytes() - Before) / 12);
    Fleet.Costs.clear();
    Fleet.seconds(4);
    Out.add("marks.settled.bytes_s_busiest", "fingerprints", Size,
            spread(Fleet.Costs, &NodeCost::Bytes, 4).Most);
    Out.add("marks.settled.cpu_us_s_busiest", "fingerprints", Size,
            spread(Fleet.Costs, &NodeCost::Micros, 4).Most);
    recordView(Out, "marks.view", "fingerprints", Size, Fleet.at("z0n0"));
  }
}

/// Bytes that a controller gets when it comes back: cut off for half a minute
/// (it keeps its entries and versions) and started again (it has none).
void recordReturn(CapacityReport &Out, std::size_t Entries,
                  std::size_t ChangedPercent) {
  const std::string Lost = "z0n1";
  const std::string Series =
      "return.changed" + std::to_string(ChangedPercent) + "pc";
  DigestFleet Fleet(makeFleet(3, 4));
  Fleet.seconds(8);
  for (std::size_t I = 0; I < Entries; ++I)
    Fleet.at("z0n0").announceQuarantine(fingerprint(I));
  Fleet.seconds(6);
  Fleet.second(1, Lost);
  const std::size_t Changed = Entries * ChangedPercent / 100;
  for (std::size_t I = 0; I < Changed; ++I)
    Fleet.at("z0n0").announceQuarantine(fingerprint(Entries + I));
  Fleet.seconds(8, Lost);
  Fleet.Costs.clear();
  Fleet.seconds(12);
  const auto Size = static_cast<double>(Entries);
  Out.add(Series + ".cut_off_bytes", "entries", Size,
          Fleet.Costs[Lost].Received);
  Fleet.start(Lost);
  Fleet.Costs.clear();
  Fleet.seconds(12);
  Out.add(Series + ".restarted_bytes", "entries", Size,
          Fleet.Costs[Lost].Received);
  Fleet.Costs.clear();
  Fleet.seconds(12);
  Out.add(Series + ".quiet_bytes", "entries", Size, Fleet.Costs[Lost].Received);
  Digest Full;
  for (std::size_t I = 0; I < Entries + Changed; ++I)
    Full.Entries.push_back({"quarantine/" + fingerprint(I), 1764831490000, ""});
  Out.add(Series + ".one_full_copy_bytes", "entries", Size,
          static_cast<double>(encoded(Full).size()));
}

/// Returns whether all running nodes hold exactly \p Live to be live.
bool agree(const DigestFleet &Fleet, const std::set<std::string> &Live) {
  return std::all_of(
      Fleet.Nodes.begin(), Fleet.Nodes.end(),
      [&](const auto &Each) { return Each.second->liveNodes() == Live; });
}

/// Seconds until all others know that the nodes with names in \p Lost are
/// gone, and the bytes of the busiest node in that time.
void recordLoss(CapacityReport &Out, DigestFleet &Fleet,
                const std::vector<std::string> &Lost) {
  constexpr int Limit = 20;
  for (const std::string &Name : Lost)
    Fleet.Nodes.erase(Name);
  std::set<std::string> Live;
  for (const auto &[Name, Node] : Fleet.Nodes)
    Live.insert(Name);
  Fleet.Costs.clear();
  int Seconds = 0;
  while (Seconds < Limit && !agree(Fleet, Live)) {
    Fleet.second(1);
    ++Seconds;
  }
  const auto Size = static_cast<double>(Lost.size());
  Out.add("loss.seconds_until_known", "nodes_lost", Size, Seconds);
  Out.add("loss.bytes_s_busiest", "nodes_lost", Size,
          spread(Fleet.Costs, &NodeCost::Bytes, Seconds).Most);
}

/// A VM, a rack of 8 VMs of one zone, four VMs of another, and a whole zone.
void probeLoss(CapacityReport &Out) {
  DigestFleet Fleet(makeFleet(19, 22));
  Fleet.seconds(12);
  constexpr std::size_t RackNodes = 8;
  constexpr std::size_t ZoneNodes = 22;
  std::vector<std::string> Rack(RackNodes);
  std::vector<std::string> Zone(ZoneNodes);
  for (std::size_t I = 0; I < RackNodes; ++I)
    Rack[I] = "z3n" + std::to_string(I);
  for (std::size_t I = 0; I < ZoneNodes; ++I)
    Zone[I] = "z7n" + std::to_string(I);
  recordLoss(Out, Fleet, {"z1n5"});
  recordLoss(Out, Fleet, Rack);
  recordLoss(Out, Fleet, {"z5n1", "z5n2", "z5n3", "z5n4"});
  recordLoss(Out, Fleet, Zone);
}

/// Three of 19 zones are cut off for \p Seconds, with a settings version each
/// second on both sides, and then come back.
void recordCut(CapacityReport &Out, int Seconds) {
  constexpr int After = 15;
  DigestFleet Fleet(makeFleet(19, 4));
  Fleet.seconds(12);
  std::set<std::string> Live;
  for (const auto &[Name, Node] : Fleet.Nodes) {
    Live.insert(Name);
    const std::string Zone = Fleet.at(Name).zone();
    if (Zone == "z0" || Zone == "z1" || Zone == "z2")
      Fleet.Parted.insert(Name);
  }
  std::uint64_t Version = 1;
  for (int I = 0; I < Seconds; ++I)
    Fleet.second(++Version);
  Fleet.Parted.clear();
  Fleet.Costs.clear();
  int Healed = 0;
  while (Healed < After && !agree(Fleet, Live)) {
    Fleet.second(Version + 1);
    ++Healed;
  }
  Out.add("cut.seconds_until_healed", "seconds_cut", Seconds, Healed);
  Out.add("cut.bytes_s_busiest_while_healing", "seconds_cut", Seconds,
          spread(Fleet.Costs, &NodeCost::Bytes, std::max(Healed, 1)).Most);
}

} // namespace

void probeControl(CapacityReport &Out) {
  for (const std::size_t Zones : {2, 5, 10, 19})
    recordExchange(Out, "digest.zones", "zones", static_cast<double>(Zones),
                   Zones, 22);
  for (const std::size_t PerZone : {6, 11, 16, 22})
    recordExchange(Out, "digest.peers", "nodes",
                   static_cast<double>(19 * PerZone), 19, PerZone);
  probeViews(Out);
  probeMarks(Out);
  probeLoss(Out);
  for (const int Seconds : {15, 30, 60, 120})
    recordCut(Out, Seconds);
  for (const std::size_t Percent : {1, 10, 100})
    for (const std::size_t Entries : {100, 400, 1000, 2000})
      recordReturn(Out, Entries, Percent);
}

} // namespace turmericpass
