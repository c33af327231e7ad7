#include "Node/PeerDirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace turmericpass {

namespace {

/// A VM is removed when it has been silent for this time.
constexpr Duration PeerRetention = std::chrono::seconds(60);

/// A VM whose digest is older than this is left out of summaries. Digests are
/// sent at least every 400 ms, and some are lost.
constexpr Duration MemberAgeLimit = std::chrono::milliseconds(1000);

/// A summary of another aggregator replaces one that is older than this, which
/// covers several summaries of the own zone.
constexpr Duration SummaryAgeLimit = std::chrono::milliseconds(300);

/// The VMs of another zone are regarded as gone when no summary of the zone has
/// arrived for this time. New aggregators of this zone need about two seconds
/// until they get those of other zones.
constexpr Duration OtherZoneSilenceLimit = std::chrono::seconds(3);

constexpr std::size_t MaxSentDigests = 64;

std::string nameOf(NodeKey Key) { return std::to_string(Key); }

} // namespace

std::vector<std::string> addressesOf(const std::vector<ListedNode> &Nodes) {
  std::vector<std::string> Addresses;
  Addresses.reserve(Nodes.size());
  for (const ListedNode &Node : Nodes)
    Addresses.push_back(Node.Address);
  return Addresses;
}

PeerDirectory::PeerDirectory(const Clock &Time, LoadTracker &Loads,
                             CrashCounter &Crashes,
                             const std::string &Incarnation, ListedNode Self)
    : Time(Time), Loads(Loads), Crashes(Crashes), Incarnation(Incarnation),
      OwnKey(nodeKey(Incarnation)), OwnName(nameOf(this->OwnKey)),
      Self(std::move(Self)),
      Election(Time, this->Self.Zone, this->Self.Address) {
  this->updateCandidates(this->Self.Zone);
}

void PeerDirectory::addLoads(const Peer &Known) {
  if (!Known.Silent && !this->isSummarized(Known.Digest.Zone))
    this->Loads.setPeerLoads(Known.Digest.Incarnation,
                             Known.Digest.ServerLoads);
}

void PeerDirectory::handleDigest(const std::string &Address,
                                 PeerDigest Digest) {
  if (Digest.Incarnation == this->Incarnation)
    return;
  Peer &Known = this->Peers[Digest.Incarnation];
  if (Digest.Sequence <= Known.Digest.Sequence)
    return;
  const bool IsNew = Known.Address != Address || Known.Silent;
  Known.Address = Address;
  this->LastHeard = Known.LastHeard = this->Time.now();
  Known.Silent = false;
  Known.Key = nodeKey(Digest.Incarnation);
  for (const CrashRecord &Crash : Digest.Crashes)
    this->Crashes.mergeRecord(Crash);
  Known.Digest = std::move(Digest);
  this->addLoads(Known);
  if (!IsNew)
    return;
  this->Crashes.repeatBlocked();
  this->updateCount();
  if (Known.Digest.Zone == this->Self.Zone)
    this->updateCandidates(this->Self.Zone);
}

bool PeerDirectory::hasNewerDigests(const ZoneSummary &Summary) const {
  return Summary.Zone == this->Self.Zone &&
         !isClearlyMore(Summary.Members.size(), this->ownZoneDigests());
}

bool PeerDirectory::isAdopted(const ZoneSummary &Summary) const {
  if (this->hasNewerDigests(Summary))
    return false;
  const auto Found = this->Zones.find(Summary.Zone);
  if (Found == this->Zones.end())
    return true;
  const SummarizedZone &Known = Found->second;
  if (Known.Summary.Aggregator == Summary.Aggregator)
    return Summary.Sequence > Known.Summary.Sequence;
  return this->Time.now() - Known.HeardAt > SummaryAgeLimit ||
         isClearlyMore(Summary.Members.size(), Known.Summary.Members.size());
}

bool PeerDirectory::handleSummary(ZoneSummary Summary) {
  if (Summary.Aggregator == this->OwnKey)
    return false;
  this->LastHeard = this->Time.now();
  const bool IsOwnZone = Summary.Zone == this->Self.Zone;
  if (IsOwnZone)
    this->Election.recordOwnZoneSummary(Summary.Members.size());
  // Unlike loads, records that are not the newest ones do no harm.
  for (const CrashRecord &Crash : Summary.Crashes)
    this->Crashes.mergeRecord(Crash);
  if (!this->isAdopted(Summary))
    return false;
  // Loads of single VMs of the zone would be counted twice.
  if (!this->isSummarized(Summary.Zone))
    for (const auto &[Incarnation, Known] : this->Peers)
      if (Known.Digest.Zone == Summary.Zone)
        this->Loads.removePeer(Incarnation);
  this->Loads.setZoneLoads(Summary.Zone, this->loadsOfOthers(Summary));
  SummarizedZone &Known = this->Zones[Summary.Zone];
  const bool MembersChanged =
      Known.Summary.Members.size() != Summary.Members.size();
  Known.HeardAt = this->Time.now();
  Known.Summary = std::move(Summary);
  Known.MembersByKey.clear();
  for (std::size_t I = 0; I < Known.Summary.Members.size(); ++I)
    Known.MembersByKey[Known.Summary.Members[I].Key] = I;
  if (MembersChanged)
    this->updateCount();
  if (IsOwnZone && MembersChanged)
    this->updateCandidates(this->Self.Zone);
  return true;
}

LoadsByServer PeerDirectory::loadsOfOthers(const ZoneSummary &Summary) const {
  LoadsByServer Others = Summary.Loads;
  const auto Own =
      std::find_if(Summary.Members.begin(), Summary.Members.end(),
                   [&](const ZoneMember &M) { return M.Key == this->OwnKey; });
  if (Own == Summary.Members.end())
    return Others;
  const auto Sent = std::find_if(
      this->SentDigests.begin(), this->SentDigests.end(),
      [&](const SentDigest &Each) { return Each.Sequence == Own->Sequence; });
  if (Sent == this->SentDigests.end())
    return Others;
  for (const auto &[Key, Load] : Sent->Loads) {
    ServerLoad &Rest = Others[Key];
    Rest.Online = std::max(0, Rest.Online - Load.Online);
    Rest.Batch = std::max(0, Rest.Batch - Load.Batch);
  }
  return Others;
}

void PeerDirectory::recordSentDigest(std::uint64_t Sequence,
                                     const LoadsByServer &Loads) {
  this->SentDigests.push_back({Sequence, Loads});
  if (this->SentDigests.size() > MaxSentDigests)
    this->SentDigests.pop_front();
}

void PeerDirectory::setListedNodes(std::vector<ListedNode> Nodes) {
  this->Listed.clear();
  for (ListedNode &Node : Nodes)
    if (Node.Address != this->Self.Address)
      this->Listed.emplace(Node.Address, std::move(Node));
  this->updateCount();
  this->updateCandidates(this->Self.Zone);
}

void PeerDirectory::updateCandidates(const std::string &Zone) {
  std::map<std::string, int> Weights;
  const auto Summarized = this->Zones.find(Zone);
  // The list in the store still contains VMs that have gone, so the members of
  // another zone are preferred to it. In the own zone, an aggregator that has
  // gone is passed over.
  const bool UsesList =
      Summarized == this->Zones.end() || Zone == this->Self.Zone;
  if (UsesList)
    for (const auto &[Address, Node] : this->Listed)
      if (Node.Zone == Zone)
        Weights[Address] = Node.Weight;
  if (Summarized != this->Zones.end())
    for (const ZoneMember &Member : Summarized->second.Summary.Members)
      Weights[Member.Address] = Member.Weight;
  for (const auto &[Incarnation, Known] : this->Peers)
    if (!Known.Silent && Known.Digest.Zone == Zone)
      Weights.emplace(Known.Address, 0);
  if (Zone == this->Self.Zone)
    Weights[this->Self.Address] = this->Self.Weight;
  std::vector<AggregatorElection::Candidate> Candidates;
  Candidates.reserve(Weights.size());
  for (const auto &[Address, Weight] : Weights)
    Candidates.push_back({Address, Weight});
  this->Election.setCandidates(Zone, std::move(Candidates));
}

void PeerDirectory::dropSummary(const std::string &Zone) {
  this->Loads.removeZone(Zone);
  this->Zones.erase(Zone);
  for (const auto &[Incarnation, Known] : this->Peers)
    if (Known.Digest.Zone == Zone)
      this->addLoads(Known);
}

std::vector<std::string> PeerDirectory::detectSilentPeers() {
  const Instant Now = this->Time.now();
  std::vector<std::string> NewlySilent;
  for (auto &[Incarnation, Known] : this->Peers) {
    if (Known.Silent || Now - Known.LastHeard < SilenceLimit)
      continue;
    Known.Silent = true;
    this->Loads.removePeer(Incarnation);
    // A VM that has changed to another aggregator is still a member.
    if (!this->findMember(Known.Key))
      NewlySilent.push_back(Incarnation);
  }
  if (std::erase_if(this->Peers, [&](const auto &Each) {
        return Now - Each.second.LastHeard > PeerRetention;
      }) > 0)
    this->updateCount();
  std::vector<std::string> OldZones;
  for (const auto &[Zone, Known] : this->Zones)
    if (Now - Known.HeardAt >=
            (Zone == this->Self.Zone ? SilenceLimit : OtherZoneSilenceLimit) ||
        this->hasNewerDigests(Known.Summary))
      OldZones.push_back(Zone);
  for (const std::string &Zone : OldZones)
    this->dropSummary(Zone);
  return NewlySilent;
}

bool PeerDirectory::usesAggregation() const {
  return this->KnownNodes > MaxMeshNodes;
}

std::vector<std::string>
PeerDirectory::addresses(const std::string &Zone) const {
  std::set<std::string> All;
  for (const auto &[Address, Node] : this->Listed)
    if (Zone.empty() || Node.Zone == Zone)
      All.insert(Address);
  for (const auto &[Incarnation, Known] : this->Peers)
    if (!Zone.empty() && Known.Digest.Zone != Zone)
      All.erase(Known.Address);
    else if (!Known.Silent)
      All.insert(Known.Address);
  return {All.begin(), All.end()};
}

ZoneSummary PeerDirectory::summarizeOwnZone(const PeerDigest &Digest) const {
  ZoneSummary Summary;
  Summary.Zone = this->Self.Zone;
  Summary.Aggregator = this->OwnKey;
  std::set<ServerKey> Avoided;
  std::vector<std::uint64_t> SettingsVersions;
  const auto Add = [&](const PeerDigest &Each, NodeKey Key,
                       const std::string &Address, int Weight) {
    for (const auto &[Server, Load] : Each.ServerLoads) {
      ServerLoad &Sum = Summary.Loads[Server];
      Sum.Online += Load.Online;
      Sum.Batch += Load.Batch;
    }
    Summary.Members.push_back({Key, Address, Each.Sequence, Weight,
                               Each.Stopping, Each.HasStoreView});
    SettingsVersions.push_back(Each.SettingsVersion);
    Summary.HasUrgentItems = Summary.HasUrgentItems || Each.HasUrgentItems;
    Summary.WaitingItems += Each.WaitingItems;
    Avoided.insert(Each.AvoidedServers.begin(), Each.AvoidedServers.end());
  };
  Add(Digest, Summary.Aggregator, this->Self.Address, this->Self.Weight);
  const Instant Now = this->Time.now();
  for (const auto &[Incarnation, Known] : this->Peers) {
    if (Known.Digest.Zone != this->Self.Zone ||
        Now - Known.LastHeard > MemberAgeLimit)
      continue;
    const auto Node = this->Listed.find(Known.Address);
    Add(Known.Digest, Known.Key, Known.Address,
        Node == this->Listed.end() ? 0 : Node->second.Weight);
  }
  Summary.SettingsVersion =
      *std::max_element(SettingsVersions.begin(), SettingsVersions.end());
  for (std::size_t I = 0; I < SettingsVersions.size(); ++I)
    Summary.Members[I].HasNewestSettings =
        SettingsVersions[I] == Summary.SettingsVersion;
  Summary.AvoidedServers.assign(Avoided.begin(), Avoided.end());
  Summary.Crashes =
      this->Crashes.recordsToShare(CrashCounter::MaxSharedRecords);
  return Summary;
}

std::size_t PeerDirectory::ownZoneDigests() const {
  return static_cast<std::size_t>(std::count_if(
      this->Peers.begin(), this->Peers.end(), [&](const auto &Each) {
        return !Each.second.Silent &&
               Each.second.Digest.Zone == this->Self.Zone;
      }));
}

std::vector<std::string> PeerDirectory::otherZones() const {
  std::set<std::string> Found;
  for (const auto &[Address, Node] : this->Listed)
    Found.insert(Node.Zone);
  for (const auto &[Zone, Known] : this->Zones)
    Found.insert(Zone);
  for (const auto &[Incarnation, Known] : this->Peers)
    Found.insert(Known.Digest.Zone);
  Found.erase(this->Self.Zone);
  return {Found.begin(), Found.end()};
}

bool PeerDirectory::isSummarized(const std::string &Zone) const {
  return this->Zones.contains(Zone);
}

bool PeerDirectory::hasOverview() const {
  return !this->usesAggregation() || this->isSummarized(this->Self.Zone) ||
         this->ownZoneDigests() > 0;
}

const ZoneMember *PeerDirectory::findMember(NodeKey Key) const {
  for (const auto &[Zone, Known] : this->Zones)
    if (const auto Found = Known.MembersByKey.find(Key);
        Found != Known.MembersByKey.end())
      return &Known.Summary.Members[Found->second];
  return nullptr;
}

std::vector<std::string> PeerDirectory::aliveNames() const {
  std::set<NodeKey> Alive;
  for (const auto &[Zone, Known] : this->Zones)
    for (const ZoneMember &Member : Known.Summary.Members)
      if (!Member.Stopping)
        Alive.insert(Member.Key);
  for (const auto &[Incarnation, Known] : this->Peers)
    if (!Known.Silent && !Known.Digest.Stopping)
      Alive.insert(Known.Key);
  Alive.erase(this->OwnKey);
  std::vector<std::string> Names;
  Names.reserve(Alive.size());
  for (const NodeKey Key : Alive)
    Names.push_back(nameOf(Key));
  return Names;
}

bool PeerDirectory::isAlive(const std::string &Incarnation) const {
  if (Incarnation == this->Incarnation)
    return true;
  const auto Found = this->Peers.find(Incarnation);
  return (Found != this->Peers.end() && !Found->second.Silent) ||
         this->findMember(nodeKey(Incarnation)) != nullptr;
}

bool PeerDirectory::otherVmsHaveUrgentItems() const {
  return std::any_of(this->Peers.begin(), this->Peers.end(),
                     [](const auto &Each) {
                       return !Each.second.Silent &&
                              Each.second.Digest.HasUrgentItems;
                     }) ||
         std::any_of(this->Zones.begin(), this->Zones.end(),
                     [](const auto &Each) {
                       return Each.second.Summary.HasUrgentItems;
                     });
}

void PeerDirectory::updateCount() {
  std::set<std::string> Addresses;
  for (const auto &[Address, Node] : this->Listed)
    Addresses.insert(Address);
  for (const auto &[Incarnation, Known] : this->Peers)
    Addresses.insert(Known.Address);
  for (const auto &[Zone, Known] : this->Zones)
    for (const ZoneMember &Member : Known.Summary.Members)
      Addresses.insert(Member.Address);
  Addresses.erase(this->Self.Address);
  this->KnownNodes = Addresses.size();
}

int PeerDirectory::waitingItems() const {
  int Waiting = 0;
  for (const auto &[Zone, Known] : this->Zones)
    Waiting += Known.Summary.WaitingItems;
  for (const auto &[Incarnation, Known] : this->Peers)
    if (!Known.Silent && !this->isSummarized(Known.Digest.Zone))
      Waiting += Known.Digest.WaitingItems;
  return Waiting;
}

void PeerDirectory::visitSettings(
    const std::function<void(const std::string &, bool, std::uint64_t)> &Visit)
    const {
  for (const auto &[Incarnation, Known] : this->Peers)
    if (!Known.Silent)
      Visit(Known.Address, Known.Digest.HasStoreView,
            Known.Digest.SettingsVersion);
  for (const auto &[Zone, Known] : this->Zones)
    for (const ZoneMember &Member : Known.Summary.Members)
      if (Member.Key != this->OwnKey)
        Visit(Member.Address, Member.HasStoreView,
              Member.HasNewestSettings ? Known.Summary.SettingsVersion : 0);
}

std::vector<std::string> PeerDirectory::storeViewAddresses() const {
  std::set<std::string> Found;
  std::uint64_t Newest = 0;
  this->visitSettings([&](const std::string &Address, bool HasStoreView,
                          std::uint64_t Version) {
    if (!HasStoreView || Version < Newest || Address == this->Self.Address)
      return;
    if (Version > Newest)
      Found.clear();
    Newest = Version;
    Found.insert(Address);
  });
  return {Found.begin(), Found.end()};
}

std::uint64_t PeerDirectory::newestSettings() const {
  std::uint64_t Newest = 0;
  this->visitSettings([&](const std::string &, bool, std::uint64_t Version) {
    Newest = std::max(Newest, Version);
  });
  return Newest;
}

std::vector<std::string>
PeerDirectory::addressesWithSettingsAfter(std::uint64_t Version) const {
  std::set<std::string> Found;
  this->visitSettings(
      [&](const std::string &Address, bool, std::uint64_t Each) {
        if (Each > Version && Address != this->Self.Address)
          Found.insert(Address);
      });
  return {Found.begin(), Found.end()};
}

} // namespace turmericpass
