#include "Node/PeerExchange.h"

#include "Core/IdSource.h"
#include "Loop/EventLoop.h"
#include "Node/NodeTimes.h"
#include "Node/PeerDirectory.h"
#include "Serving/ServerDirectory.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

PeerExchange::PeerExchange(PeerExchangeDependencies Dependencies,
                           std::string Zone)
    : Dependencies(std::move(Dependencies)), Zone(std::move(Zone)),
      UseReports(this->Dependencies.Limits, this->Dependencies.Peers,
                 this->Zone),
      Port(this->Dependencies.Loop) {}

Result<void> PeerExchange::open(const std::string &Address) {
  return this->Port.open(
      Address, [this](const std::string &From, std::string_view Bytes) {
        this->handleMessage(From, Bytes);
      });
}

void PeerExchange::handleMessage(const std::string &From,
                                 std::string_view Bytes) {
  if (isZoneSummary(Bytes)) {
    this->handleSummary(Bytes);
    return;
  }
  Result<PeerDigest> Digest = decodeDigest(Bytes);
  if (!Digest) {
    this->Dependencies.Stats.add("digests_malformed_total");
    return;
  }
  this->Dependencies.Stats.add("digests_received_total");
  for (ServerKey Key : Digest->AvoidedServers)
    this->Dependencies.Servers.applyPeerAvoidance(Key);
  this->UseReports.handleDigest(From, *Digest);
  this->Dependencies.Peers.handleDigest(From, std::move(*Digest));
}

void PeerExchange::handleSummary(std::string_view Bytes) {
  Result<ZoneSummary> Summary = decodeSummary(Bytes);
  if (!Summary) {
    this->Dependencies.Stats.add("summaries_malformed_total");
    return;
  }
  this->Dependencies.Stats.add("summaries_received_total");
  const std::string From = Summary->Zone;
  const bool IsAdopted = this->Dependencies.Peers.handleSummary(*Summary);
  this->UseReports.handleSummary(*Summary, IsAdopted);
  if (!IsAdopted)
    return;
  for (ServerKey Key : Summary->AvoidedServers)
    this->Dependencies.Servers.applyPeerAvoidance(Key);
  // Only the first copy of each summary is the newest one, so two aggregators
  // of a zone that act at the same time do not pass it on to each other again.
  if (From != this->Zone && this->isActing())
    this->SummariesToForward[From] = Bytes;
}

void PeerExchange::sendTo(const std::vector<std::string> &Addresses,
                          std::string_view Bytes) {
  for (const std::string &Address : Addresses)
    this->Port.send(Address, Bytes);
  this->Dependencies.Stats.add("peer_messages_sent_total",
                               static_cast<double>(Addresses.size()));
  this->Dependencies.Stats.add(
      "peer_bytes_sent_total",
      static_cast<double>(Addresses.size() * Bytes.size()));
}

PeerDigest PeerExchange::makeDigest(ReportScope Scope) {
  PeerDigest Digest = this->Dependencies.MakeDigest();
  Digest.Zone = this->Zone;
  Digest.Sequence = ++this->DigestSequence;
  Digest.Uses = this->Dependencies.Limits.makeReport(Digest.Sequence, Scope);
  this->SentLoadRevision = this->Dependencies.Loads.revision();
  this->DigestSentAt = this->Dependencies.Loop.clock().now();
  return Digest;
}

void PeerExchange::sendMeshDigest(bool ToAllZones) {
  const std::string Bytes = encodeDigest(this->makeDigest(
      ToAllZones ? ReportScope::Recent : ReportScope::Changed));
  if (ToAllZones)
    this->AllZonesDigestSentAt = this->DigestSentAt;
  this->sendTo(this->Dependencies.Peers.addresses(ToAllZones ? "" : this->Zone),
               Bytes);
}

void PeerExchange::sendAggregatedDigest() {
  const Instant Now = this->Dependencies.Loop.clock().now();
  const bool IsRecentDue = Now - this->RecentUsesSentAt >= MaxDigestInterval;
  if (IsRecentDue)
    this->RecentUsesSentAt = Now;
  const PeerDigest Digest = this->makeDigest(
      IsRecentDue ? ReportScope::Recent : ReportScope::Changed);
  this->Dependencies.Peers.recordSentDigest(Digest.Sequence,
                                            Digest.ServerLoads);
  this->sendTo(this->Dependencies.Peers.election().digestReceivers(),
               encodeDigest(Digest));
}

void PeerExchange::sendDigest() {
  if (this->Dependencies.Peers.usesAggregation())
    this->sendAggregatedDigest();
  else
    this->sendMeshDigest(true);
}

void PeerExchange::sendSummary() {
  PeerDirectory &Peers = this->Dependencies.Peers;
  PeerDigest Digest = this->Dependencies.MakeDigest();
  Digest.Sequence = this->DigestSequence;
  ZoneSummary Summary = Peers.summarizeOwnZone(Digest);
  Summary.Sequence = ++this->SummarySequence;
  const Instant Now = this->Dependencies.Loop.clock().now();
  const bool ToOtherZones =
      Now - this->SummarySentToZonesAt >= OtherZonesSummaryInterval;
  Summary.Uses = this->Dependencies.Limits.makeZoneReport(
      ToOtherZones ? ReportScope::Recent : ReportScope::Changed);
  const std::string Bytes = encodeSummary(Summary);
  this->SummarySentAt = Now;
  const std::vector<std::string> Receivers = Peers.addresses(this->Zone);
  this->sendTo(Receivers, Bytes);
  // They are sent together, so that each receiver wakes up once.
  for (const auto &[Other, Forwarded] : this->SummariesToForward)
    this->sendTo(Receivers, Forwarded);
  this->SummariesToForward.clear();
  if (!ToOtherZones)
    return;
  this->SummarySentToZonesAt = Now;
  for (const std::string &Other : Peers.otherZones()) {
    Peers.updateCandidates(Other);
    this->sendTo(
        Peers.election().aggregatorsOf(Other, Peers.isSummarized(Other),
                                       this->Dependencies.Ids.number()),
        Bytes);
  }
}

bool PeerExchange::isActing() {
  PeerDirectory &Peers = this->Dependencies.Peers;
  return Peers.usesAggregation() &&
         Peers.election().isActing(Peers.ownZoneDigests() + 1);
}

void PeerExchange::tickMesh() {
  const Instant Now = this->Dependencies.Loop.clock().now();
  const bool LoadChanged =
      this->SentLoadRevision != this->Dependencies.Loads.revision();
  const Duration Interval =
      std::min(MaxDigestInterval,
               DigestIntervalPerNode * this->Dependencies.Peers.count());
  if (Now - this->AllZonesDigestSentAt >= Interval)
    this->sendMeshDigest(true);
  else if (LoadChanged && Now - this->DigestSentAt >= ZoneDigestInterval)
    this->sendMeshDigest(false);
}

void PeerExchange::tickAggregated() {
  PeerDirectory &Peers = this->Dependencies.Peers;
  const Instant Now = this->Dependencies.Loop.clock().now();
  for (const std::string &Address : Peers.election().checkForSilence())
    this->Dependencies.Log.log(
        LogLevel::Warning, "Passing over an aggregator that sends no summary.",
        {{"zone", this->Zone}, {"address", Address}});
  const bool LoadChanged =
      this->SentLoadRevision != this->Dependencies.Loads.revision();
  const Duration Age = Now - this->DigestSentAt;
  if (Age >= MaxDigestInterval ||
      (LoadChanged && Age >= AggregatedDigestInterval))
    this->sendAggregatedDigest();
  const bool Acting = this->isActing();
  if (std::exchange(this->WasActing, Acting) != Acting)
    this->Dependencies.Log.log(
        LogLevel::Info,
        Acting ? "This node sums up the loads of its zone."
               : "Another node sums up the loads of this zone.",
        {{"zone", this->Zone}, {"members", Peers.ownZoneDigests() + 1}});
  const Duration Interval =
      std::max<Duration>(MinSummaryInterval,
                         SummaryIntervalPerNode *
                             static_cast<std::int64_t>(Peers.ownZoneDigests()));
  if (Acting && Now - this->SummarySentAt >= Interval)
    this->sendSummary();
}

void PeerExchange::tick() {
  for (const std::string &Silent : this->Dependencies.Peers.detectSilentPeers())
    this->Dependencies.Log.log(LogLevel::Warning, "A node has become silent.",
                               {{"incarnation", Silent}});
  if (this->Dependencies.Peers.usesAggregation())
    this->tickAggregated();
  else
    this->tickMesh();
}

} // namespace turmericpass
