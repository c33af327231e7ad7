#ifndef TURMERICPASS_NODE_PEEREXCHANGE_H
#define TURMERICPASS_NODE_PEEREXCHANGE_H

#include "Core/Clock.h"
#include "Node/DigestPort.h"
#include "Node/LimitExchange.h"
#include "Node/PeerDigest.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace turmericpass {

class EventLoop;
class IdSource;
class LoadTracker;
class Logger;
class Metrics;
class PeerDirectory;
class ServerDirectory;
struct ZoneSummary;

/// The objects that PeerExchange uses but does not own.
struct PeerExchangeDependencies {
  EventLoop &Loop;
  IdSource &Ids;
  Logger &Log;
  Metrics &Stats;
  const LoadTracker &Loads;
  PeerDirectory &Peers;
  ServerDirectory &Servers;
  RateLimits &Limits;
  /// Returns the state of this VM for the others, without a sequence number.
  std::function<PeerDigest()> MakeDigest;
};

/// Exchanges digests and summaries of zones with the other VMs. Which VMs get
/// which messages is decided by PeerDirectory and AggregatorElection.
class PeerExchange {
public:
  PeerExchange(PeerExchangeDependencies Dependencies, std::string Zone);

  /// Opens the port at \p Address, "ip:port". Errors: Unavailable.
  Result<void> open(const std::string &Address);

  /// Sends what is due. It is called every few milliseconds.
  void tick();

  /// Sends a digest to all VMs that receive digests of this VM.
  void sendDigest();

private:
  void handleMessage(const std::string &From, std::string_view Bytes);
  void handleSummary(std::string_view Bytes);
  void sendTo(const std::vector<std::string> &Addresses,
              std::string_view Bytes);
  PeerDigest makeDigest(ReportScope Scope);
  void sendMeshDigest(bool ToAllZones);
  void sendAggregatedDigest();
  void tickMesh();
  void tickAggregated();
  void sendSummary();
  bool isActing();

  PeerExchangeDependencies Dependencies;
  std::string Zone;
  LimitExchange UseReports;
  DigestPort Port;
  std::uint64_t DigestSequence = 0;
  std::uint64_t SummarySequence = 0;
  std::uint64_t SentLoadRevision = 0;
  Instant DigestSentAt;
  Instant AllZonesDigestSentAt;
  Instant RecentUsesSentAt;
  Instant SummarySentAt;
  Instant SummarySentToZonesAt;
  /// The newest summary of each other zone that the own zone has not got yet.
  std::map<std::string, std::string> SummariesToForward;
  bool WasActing = false;
};

} // namespace turmericpass

#endif
