#include "Control/MembershipProtocol.h"

#include "Core/Hash.h"
#include "Settings/FleetSettings.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace turmericpass {

namespace {

/// The interval, in ticks, between digests to a silent node. It detects a
/// healed partition without a connection attempt each second.
constexpr std::uint64_t ProbeTicks = 8;

/// The first word of the value of a node's entry.
constexpr const char *ServingState = "up";
constexpr const char *StoppedState = "down";

std::string nodeKey(const std::string &Node) { return "node/" + Node; }
std::string zoneKey(const std::string &Zone) { return "zone/" + Zone; }
std::string reachKey(const std::string &Zone) { return "reach/" + Zone; }

bool isMark(const std::string &Key) {
  return Key.starts_with("leaving/") || Key.starts_with("quarantine/");
}

std::vector<std::string> splitWords(const std::string &Text) {
  std::istringstream In(Text);
  std::vector<std::string> Found;
  for (std::string Word; In >> Word;)
    Found.push_back(Word);
  return Found;
}

std::uint64_t parseNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

} // namespace

MembershipProtocol::MembershipProtocol(const Clock &Time, std::string Node,
                                       const FleetSettings &Settings,
                                       std::uint64_t Incarnation)
    : Time(Time), Node(std::move(Node)), Incarnation(Incarnation),
      StartedAt(Time.now()), RelaySince(this->StartedAt),
      LastUrgentChange(Incarnation), Entries(Time, Incarnation) {
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

void MembershipProtocol::setOwnState(bool Serving, std::uint64_t LowestVersion,
                                     const std::string &Load) {
  std::string Value = Serving ? ServingState : StoppedState;
  Value += " " + std::to_string(LowestVersion);
  if (!Load.empty())
    Value += " " + Load;
  this->Entries.announce(nodeKey(this->Node), Value);
}

bool MembershipProtocol::announceLeaving(const std::string &Server) {
  return this->Entries.announce("leaving/" + Server, "");
}

bool MembershipProtocol::announceQuarantine(const std::string &Fingerprint) {
  return this->Entries.announce("quarantine/" + Fingerprint, "");
}

/// Returns whether this node started so recently that a silent peer may still
/// be live.
bool MembershipProtocol::hasJustStarted() const {
  return this->Time.now() - this->StartedAt < NodeSilenceLimit;
}

bool MembershipProtocol::wasHeardRecently(const std::string &Name) const {
  const auto Known = this->Peers.find(Name);
  return Known != this->Peers.end() && Known->second.EverHeard &&
         this->Time.now() - Known->second.LastHeard < NodeSilenceLimit;
}

bool MembershipProtocol::isServing(const std::string &Name) const {
  if (Name != this->Node && !this->wasHeardRecently(Name) &&
      !this->hasJustStarted())
    return false;
  const std::string *State = this->Entries.find(nodeKey(Name));
  return !State || !State->starts_with(StoppedState);
}

std::uint64_t
MembershipProtocol::settingsVersionOf(const std::string &Name) const {
  const std::string *State = this->Entries.find(nodeKey(Name));
  if (!State)
    return 0;
  const std::vector<std::string> Parts = splitWords(*State);
  return Parts.size() > 1 ? parseNumber(Parts[1]) : 0;
}

bool MembershipProtocol::isZoneReachable(const std::string &Name) const {
  if (Name == this->Zone || this->hasJustStarted())
    return true;
  if (this->isRelay()) {
    if (this->Time.now() - this->RelaySince < ZoneSilenceLimit)
      return true;
    const auto Heard = this->ZoneLastHeard.find(Name);
    return Heard != this->ZoneLastHeard.end() &&
           this->Time.now() - Heard->second < ZoneSilenceLimit;
  }
  const std::string *Reach = this->Entries.find(reachKey(this->Zone));
  if (!Reach)
    return true;
  const std::vector<std::string> Reached = splitWords(*Reach);
  return std::find(Reached.begin(), Reached.end(), Name) != Reached.end();
}

std::set<std::string>
MembershipProtocol::liveNodesIn(const std::string &Name) const {
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
  const std::string *Listed = this->Entries.find(zoneKey(Name));
  if (!Listed)
    return {Nodes->second.begin(), Nodes->second.end()};
  for (std::string &Each : splitWords(*Listed))
    Live.insert(std::move(Each));
  return Live;
}

ZoneStatus MembershipProtocol::statusOf(const std::string &Name) const {
  ZoneStatus Status;
  Status.Zone = Name;
  Status.Reachable = this->isZoneReachable(Name);
  Status.LiveNodes = this->liveNodesIn(Name);
  if (Name != this->Zone)
    return Status;
  bool First = true;
  for (const std::string &Each : Status.LiveNodes) {
    const std::uint64_t Version = this->settingsVersionOf(Each);
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
    if (this->isZoneReachable(Name))
      Live.merge(this->liveNodesIn(Name));
  return Live;
}

std::set<std::string> MembershipProtocol::leavingServers() const {
  return this->Entries.names("leaving/");
}

std::set<std::string> MembershipProtocol::quarantinedFingerprints() const {
  return this->Entries.names("quarantine/");
}

std::string MembershipProtocol::relayOf(const std::string &Name) const {
  std::vector<std::string> Candidates;
  if (Name == this->Zone) {
    // Only silence excludes a node, because a node without a dispatcher can
    // still relay digests.
    for (const std::string &Each : this->ZoneNodes.at(Name))
      if (Each == this->Node || this->wasHeardRecently(Each))
        Candidates.push_back(Each);
  } else {
    const std::set<std::string> Live = this->liveNodesIn(Name);
    Candidates.assign(Live.begin(), Live.end());
  }
  const int Index = rendezvousPick("relay/" + Name, Candidates);
  return Index < 0 ? std::string() : Candidates[Index];
}

/// Returns the node of another zone that receives digests. While the zone is
/// silent, the list of its live nodes may be out of date, so every second tick
/// goes to the nodes of the settings in turn.
std::string MembershipProtocol::receiverIn(const std::string &Name) const {
  const auto Heard = this->ZoneLastHeard.find(Name);
  const std::vector<std::string> &Nodes = this->ZoneNodes.at(Name);
  if (Nodes.empty())
    return {};
  const bool Silent = Heard == this->ZoneLastHeard.end() ||
                      this->Time.now() - Heard->second >= NodeSilenceLimit;
  std::string Receiver = this->relayOf(Name);
  if (Receiver.empty() || (Silent && this->Ticks % 2 == 0))
    Receiver = Nodes[this->Ticks / 2 % Nodes.size()];
  return Receiver;
}

std::vector<std::string> MembershipProtocol::receivers() const {
  std::vector<std::string> Names;
  const auto Own = this->ZoneNodes.find(this->Zone);
  if (Own == this->ZoneNodes.end())
    return Names;
  const bool Probe = this->Ticks % ProbeTicks == 0 || this->hasJustStarted();
  for (const std::string &Each : Own->second)
    if (Each != this->Node && (Probe || this->wasHeardRecently(Each)))
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

OutgoingDigest
MembershipProtocol::makeDigestFor(const std::string &Name) const {
  Digest Body;
  Body.Node = this->Node;
  Body.Zone = this->Zone;
  Body.Incarnation = this->Incarnation;
  Body.Sequence = this->Entries.lastChange();
  Body.SettingsVersion = this->SettingsVersion;
  std::uint64_t AcknowledgedChange = 0;
  if (const auto Peer = this->Peers.find(Name); Peer != this->Peers.end()) {
    Body.Acknowledged = Peer->second.ReceivedSequence;
    AcknowledgedChange = Peer->second.AcknowledgedChange;
  }
  Body.Base = AcknowledgedChange;
  const bool IsRelay = this->isRelay();
  const std::string OtherZone = this->zoneOf(Name);
  const bool SameZone = OtherZone == this->Zone;
  Body.Entries = this->Entries.changedSince(
      AcknowledgedChange, [&](const std::string &Key, bool FromOwnZone) {
        // Every node sends marks to every other node, because the node that set
        // a mark may be lost.
        if (isMark(Key))
          return true;
        // Another zone receives the aggregate of this zone instead of the
        // entries of its nodes. It also receives its own aggregate back,
        // because a new relay must exceed the version that a lost relay of its
        // zone sent last.
        if (!SameZone)
          return Key == zoneKey(this->Zone) || Key == zoneKey(OtherZone);
        // A peer that has just started receives all entries. After that, only
        // the node that brought an entry into the zone sends it, because
        // forwarding by all nodes of the mesh would multiply the traffic.
        // Entries about zones change rarely and are sent more often, for the
        // same reason as above.
        return AcknowledgedChange == 0 || !FromOwnZone ||
               Key == zoneKey(this->Zone) || Key == reachKey(this->Zone) ||
               (IsRelay && Key.starts_with("zone/"));
      });
  return {Name, std::move(Body)};
}

/// If this node is the relay, publishes the live nodes of this zone to the
/// other zones, and the reachable zones to the nodes of this zone.
void MembershipProtocol::publishZoneState() {
  const bool IsRelay = this->isRelay();
  if (IsRelay && !this->WasRelay) {
    this->RelaySince = this->Time.now();
    // The previous relay may have been lost before all nodes received these
    // entries from it.
    this->Entries.markChanged("zone/");
  }
  this->WasRelay = IsRelay;
  if (!IsRelay || this->hasJustStarted())
    return;
  const ZoneStatus Own = this->statusOf(this->Zone);
  std::string Value;
  for (const std::string &Each : Own.LiveNodes)
    Value += (Value.empty() ? "" : " ") + Each;
  this->Entries.announce(zoneKey(this->Zone), Value);
  std::string Reach;
  for (const auto &[Name, Nodes] : this->ZoneNodes)
    if (Name != this->Zone && this->isZoneReachable(Name))
      Reach += (Reach.empty() ? "" : " ") + Name;
  this->Entries.announce(reachKey(this->Zone), Reach);
}

std::vector<OutgoingDigest> MembershipProtocol::tick() {
  ++this->Ticks;
  this->Entries.expire();
  this->publishZoneState();
  this->LastUrgentChange = this->Entries.lastChange();
  return this->digests();
}

std::vector<OutgoingDigest> MembershipProtocol::digests() const {
  std::vector<OutgoingDigest> Out;
  for (const std::string &Name : this->receivers())
    Out.push_back(this->makeDigestFor(Name));
  return Out;
}

std::vector<OutgoingDigest> MembershipProtocol::urgentDigests() {
  const auto Changed = this->Entries.changedSince(
      this->LastUrgentChange,
      [](const std::string &Key, bool) { return isMark(Key); });
  this->LastUrgentChange = this->Entries.lastChange();
  if (Changed.empty())
    return {};
  return this->digests();
}

bool MembershipProtocol::receive(const Digest &Body) {
  if (Body.Node == this->Node)
    return false;
  const Instant Now = this->Time.now();
  Peer &From = this->Peers[Body.Node];
  const bool Silent =
      !From.EverHeard || Now - From.LastHeard >= NodeSilenceLimit;
  // A late digest of an earlier run must not overwrite the state of the current
  // run. After a silence, a lower incarnation is a restart with a clock that
  // was set back.
  if (Body.Incarnation < From.Incarnation && !Silent)
    return false;
  if (Body.Incarnation != From.Incarnation) {
    From.ReceivedSequence = 0;
    From.AcknowledgedChange = 0;
  }
  From.Incarnation = Body.Incarnation;
  From.Zone = Body.Zone;
  From.LastHeard = Now;
  From.EverHeard = true;
  if (Body.Zone != this->Zone)
    this->ZoneLastHeard[Body.Zone] = Now;
  bool Changed = Silent;
  for (const DigestEntry &Entry : Body.Entries)
    Changed |= this->Entries.merge(Entry, Body.Zone == this->Zone);
  // A digest for an earlier run of this node omits the entries that the earlier
  // run had acknowledged, so it must not be acknowledged.
  if (Body.Base <= From.ReceivedSequence)
    From.ReceivedSequence = std::max(From.ReceivedSequence, Body.Sequence);
  // An acknowledgement above the latest change number belongs to an earlier
  // run.
  if (Body.Acknowledged <= this->Entries.lastChange())
    From.AcknowledgedChange =
        std::max(From.AcknowledgedChange, Body.Acknowledged);
  return Changed;
}

} // namespace turmericpass
