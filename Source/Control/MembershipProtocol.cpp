#include "Control/MembershipProtocol.h"

#include "Core/Hash.h"
#include "Settings/FleetSettings.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace turmericpass {

namespace {

/// A silent node gets a digest only each so many ticks, so that a healed
/// partition is noticed without a connection attempt each second.
constexpr std::uint64_t ProbeTicks = 8;

/// The first value of a node's entry.
constexpr const char *ServingMark = "up";
constexpr const char *StoppedMark = "down";

std::string nodeKey(const std::string &Node) { return "node/" + Node; }
std::string zoneKey(const std::string &Zone) { return "zone/" + Zone; }
std::string reachKey(const std::string &Zone) { return "reach/" + Zone; }

bool isMark(const std::string &Key) {
  return Key.starts_with("leaving/") || Key.starts_with("quarantine/");
}

std::vector<std::string> words(const std::string &Text) {
  std::istringstream In(Text);
  std::vector<std::string> Found;
  for (std::string Word; In >> Word;)
    Found.push_back(Word);
  return Found;
}

std::uint64_t toNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

} // namespace

MembershipProtocol::MembershipProtocol(const Clock &Time, std::string Node,
                                       const FleetSettings &Settings,
                                       std::uint64_t Incarnation)
    : Time(Time), Node(std::move(Node)), Incarnation(Incarnation),
      Started(Time.now()), RelaySince(this->Started), UrgentChange(Incarnation),
      Known(Time, Incarnation) {
  this->setSettings(Settings);
}

void MembershipProtocol::setSettings(const FleetSettings &Settings) {
  this->SettingsVersion = Settings.Version;
  this->ZoneNodes.clear();
  this->NodeZones.clear();
  for (const auto &[Name, Each] : Settings.Zones)
    this->ZoneNodes[Name];
  for (const auto &[Name, Each] : Settings.Nodes) {
    this->ZoneNodes[Each.Zone].push_back(Name);
    this->NodeZones[Name] = Each.Zone;
    if (Name == this->Node)
      this->Zone = Each.Zone;
  }
  // The settings may drop this node and its zone while it still runs.
  this->ZoneNodes[this->Zone];
}

void MembershipProtocol::setOwnState(bool Serving, std::uint64_t InForce,
                                     const std::string &Load) {
  std::string Value = Serving ? ServingMark : StoppedMark;
  Value += " " + std::to_string(InForce);
  if (!Load.empty())
    Value += " " + Load;
  this->Known.announce(nodeKey(this->Node), Value);
}

bool MembershipProtocol::announceLeaving(const std::string &Server) {
  return this->Known.announce("leaving/" + Server, "");
}

bool MembershipProtocol::announceQuarantine(const std::string &Fingerprint) {
  return this->Known.announce("quarantine/" + Fingerprint, "");
}

/// A node that has just started takes silence for ignorance.
bool MembershipProtocol::isFresh() const {
  return this->Time.now() - this->Started < NodeSilence;
}

bool MembershipProtocol::isHeard(const std::string &Name) const {
  const auto Known = this->Peers.find(Name);
  return Known != this->Peers.end() && Known->second.EverHeard &&
         this->Time.now() - Known->second.Heard < NodeSilence;
}

bool MembershipProtocol::isServing(const std::string &Name) const {
  if (Name != this->Node && !this->isHeard(Name) && !this->isFresh())
    return false;
  const std::string *State = this->Known.find(nodeKey(Name));
  return !State || !State->starts_with(StoppedMark);
}

std::uint64_t MembershipProtocol::versionOf(const std::string &Name) const {
  const std::string *State = this->Known.find(nodeKey(Name));
  if (!State)
    return 0;
  const std::vector<std::string> Parts = words(*State);
  return Parts.size() > 1 ? toNumber(Parts[1]) : 0;
}

bool MembershipProtocol::zoneReachable(const std::string &Name) const {
  if (Name == this->Zone || this->isFresh())
    return true;
  if (this->isRelay()) {
    if (this->Time.now() - this->RelaySince < ZoneSilence)
      return true;
    const auto Heard = this->ZoneHeard.find(Name);
    return Heard != this->ZoneHeard.end() &&
           this->Time.now() - Heard->second < ZoneSilence;
  }
  const std::string *Reach = this->Known.find(reachKey(this->Zone));
  if (!Reach)
    return true;
  const std::vector<std::string> Reached = words(*Reach);
  return std::find(Reached.begin(), Reached.end(), Name) != Reached.end();
}

std::set<std::string>
MembershipProtocol::liveInZone(const std::string &Name) const {
  std::set<std::string> Live;
  const auto Nodes = this->ZoneNodes.find(Name);
  if (Nodes == this->ZoneNodes.end())
    return Live;
  if (Name == this->Zone) {
    for (const std::string &Each : Nodes->second)
      if (this->isServing(Each))
        Live.insert(Each);
    return Live;
  }
  const std::string *Listed = this->Known.find(zoneKey(Name));
  if (!Listed)
    return {Nodes->second.begin(), Nodes->second.end()};
  for (std::string &Each : words(*Listed))
    Live.insert(std::move(Each));
  return Live;
}

ZoneStatus MembershipProtocol::statusOf(const std::string &Name) const {
  ZoneStatus Status;
  Status.Zone = Name;
  Status.Reachable = this->zoneReachable(Name);
  Status.LiveNodes = this->liveInZone(Name);
  if (Name != this->Zone)
    return Status;
  bool First = true;
  for (const std::string &Each : Status.LiveNodes) {
    const std::uint64_t Version = this->versionOf(Each);
    Status.SettingsVersion =
        First ? Version : std::min(Status.SettingsVersion, Version);
    First = false;
  }
  return Status;
}

std::vector<ZoneStatus> MembershipProtocol::zones() const {
  std::vector<ZoneStatus> All;
  for (const auto &[Name, Nodes] : this->ZoneNodes)
    All.push_back(this->statusOf(Name));
  return All;
}

std::set<std::string> MembershipProtocol::liveNodes() const {
  std::set<std::string> Live;
  for (const auto &[Name, Nodes] : this->ZoneNodes)
    if (this->zoneReachable(Name))
      Live.merge(this->liveInZone(Name));
  return Live;
}

std::set<std::string> MembershipProtocol::leavingServers() const {
  return this->Known.names("leaving/");
}

std::set<std::string> MembershipProtocol::quarantinedFingerprints() const {
  return this->Known.names("quarantine/");
}

std::string MembershipProtocol::relayOf(const std::string &Name) const {
  std::vector<std::string> Candidates;
  if (Name == this->Zone) {
    // A node without a dispatcher can still relay, so silence alone counts.
    for (const std::string &Each : this->ZoneNodes.at(Name))
      if (Each == this->Node || this->isHeard(Each))
        Candidates.push_back(Each);
  } else {
    const std::set<std::string> Live = this->liveInZone(Name);
    Candidates.assign(Live.begin(), Live.end());
  }
  const int Picked = rendezvousPick("relay/" + Name, Candidates);
  return Picked < 0 ? std::string() : Candidates[Picked];
}

/// Returns who gets digests in another zone. While nothing comes from there,
/// the list of its nodes may be out of date, so each is tried in turn.
std::string MembershipProtocol::receiverIn(const std::string &Name) const {
  const auto Heard = this->ZoneHeard.find(Name);
  const std::vector<std::string> &Nodes = this->ZoneNodes.at(Name);
  if (Nodes.empty())
    return {};
  const bool Silent = Heard == this->ZoneHeard.end() ||
                      this->Time.now() - Heard->second >= NodeSilence;
  std::string Relay = this->relayOf(Name);
  if (Relay.empty() || (Silent && this->Ticks % 2 == 0))
    Relay = Nodes[this->Ticks / 2 % Nodes.size()];
  return Relay;
}

std::vector<std::string> MembershipProtocol::receivers() const {
  std::vector<std::string> Names;
  const auto Own = this->ZoneNodes.find(this->Zone);
  if (Own == this->ZoneNodes.end())
    return Names;
  const bool Probe = this->Ticks % ProbeTicks == 0 || this->isFresh();
  for (const std::string &Each : Own->second)
    if (Each != this->Node && (Probe || this->isHeard(Each)))
      Names.push_back(Each);
  if (!this->isRelay())
    return Names;
  for (const auto &[Name, Nodes] : this->ZoneNodes)
    if (Name != this->Zone)
      if (std::string Receiver = this->receiverIn(Name); !Receiver.empty())
        Names.push_back(std::move(Receiver));
  return Names;
}

std::string MembershipProtocol::zoneOf(const std::string &Name) const {
  const auto Known = this->NodeZones.find(Name);
  return Known == this->NodeZones.end() ? std::string() : Known->second;
}

OutgoingDigest MembershipProtocol::digestFor(const std::string &Name) const {
  Digest Body;
  Body.Node = this->Node;
  Body.Zone = this->Zone;
  Body.Incarnation = this->Incarnation;
  Body.Sequence = this->Known.lastChange();
  Body.SettingsVersion = this->SettingsVersion;
  std::uint64_t Has = 0;
  if (const auto Peer = this->Peers.find(Name); Peer != this->Peers.end()) {
    Body.Acknowledged = Peer->second.Received;
    Has = Peer->second.Acknowledged;
  }
  Body.Base = Has;
  const bool Relay = this->isRelay();
  const std::string OtherZone = this->zoneOf(Name);
  const bool SameZone = OtherZone == this->Zone;
  Body.Entries =
      this->Known.changedSince(Has, [&](const std::string &Key, bool Shared) {
        // Marks go to everyone from everyone, because their author may be lost.
        if (isMark(Key))
          return true;
        // Other zones get the aggregate of this zone, not its parts, and theirs
        // back: a relay must exceed what a lost relay of its zone said last.
        if (!SameZone)
          return Key == zoneKey(this->Zone) || Key == zoneKey(OtherZone);
        // A peer that has just started gets all. Later an entry comes from
        // whoever brought it into the zone: a mesh in which all repeat all
        // would multiply the traffic. Rare news of zones are sent more often,
        // for the same reason as above.
        return Has == 0 || !Shared || Key == zoneKey(this->Zone) ||
               Key == reachKey(this->Zone) ||
               (Relay && Key.starts_with("zone/"));
      });
  return {Name, std::move(Body)};
}

/// As the relay, sums this zone up for the others and tells this zone which
/// others can be reached.
void MembershipProtocol::publishZone() {
  const bool Relay = this->isRelay();
  if (Relay && !this->WasRelay) {
    this->RelaySince = this->Time.now();
    // The earlier relay may have been lost before all had these from it.
    this->Known.touch("zone/");
  }
  this->WasRelay = Relay;
  if (!Relay || this->isFresh())
    return;
  const ZoneStatus Own = this->statusOf(this->Zone);
  std::string Value;
  for (const std::string &Each : Own.LiveNodes)
    Value += (Value.empty() ? "" : " ") + Each;
  this->Known.announce(zoneKey(this->Zone), Value);
  std::string Reach;
  for (const auto &[Name, Nodes] : this->ZoneNodes)
    if (Name != this->Zone && this->zoneReachable(Name))
      Reach += (Reach.empty() ? "" : " ") + Name;
  this->Known.announce(reachKey(this->Zone), Reach);
}

std::vector<OutgoingDigest> MembershipProtocol::tick() {
  ++this->Ticks;
  this->Known.expire();
  this->publishZone();
  this->UrgentChange = this->Known.lastChange();
  return this->digests();
}

std::vector<OutgoingDigest> MembershipProtocol::digests() const {
  std::vector<OutgoingDigest> Out;
  for (const std::string &Name : this->receivers())
    Out.push_back(this->digestFor(Name));
  return Out;
}

std::vector<OutgoingDigest> MembershipProtocol::urgent() {
  const auto News = this->Known.changedSince(
      this->UrgentChange,
      [](const std::string &Key, bool) { return isMark(Key); });
  this->UrgentChange = this->Known.lastChange();
  if (News.empty())
    return {};
  return this->digests();
}

bool MembershipProtocol::receive(const Digest &Body) {
  if (Body.Node == this->Node)
    return false;
  const Instant Now = this->Time.now();
  Peer &From = this->Peers[Body.Node];
  const bool Silent = !From.EverHeard || Now - From.Heard >= NodeSilence;
  // A late digest of an earlier run must not undo the present run's state.
  // After a silence a lower number is a restart whose clock went back.
  if (Body.Incarnation < From.Incarnation && !Silent)
    return false;
  if (Body.Incarnation != From.Incarnation) {
    From.Received = 0;
    From.Acknowledged = 0;
  }
  From.Incarnation = Body.Incarnation;
  From.Zone = Body.Zone;
  From.Heard = Now;
  From.EverHeard = true;
  if (Body.Zone != this->Zone)
    this->ZoneHeard[Body.Zone] = Now;
  bool News = Silent;
  for (const DigestEntry &Entry : Body.Entries)
    News |= this->Known.merge(Entry, Body.Zone == this->Zone);
  // A digest for an earlier run of this node leaves out what that run had.
  if (Body.Base <= From.Received)
    From.Received = std::max(From.Received, Body.Sequence);
  // An acknowledgement beyond the latest change belongs to an earlier run.
  if (Body.Acknowledged <= this->Known.lastChange())
    From.Acknowledged = std::max(From.Acknowledged, Body.Acknowledged);
  return News;
}

} // namespace turmericpass
