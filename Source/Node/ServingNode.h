#ifndef TURMERICPASS_NODE_SERVINGNODE_H
#define TURMERICPASS_NODE_SERVINGNODE_H

#include "BatchJobs/JobApi.h"
#include "BatchJobs/JobCleaner.h"
#include "BatchJobs/JobRunner.h"
#include "BatchJobs/JobTakeover.h"
#include "Core/IdSource.h"
#include "Node/AnswerHandler.h"
#include "Node/DeploymentAdapter.h"
#include "Node/DigestPort.h"
#include "Node/NodeConfig.h"
#include "Node/NodeRegistry.h"
#include "Node/PeerBook.h"
#include "Node/PeerView.h"
#include "Node/SettingsKeeper.h"
#include "RawHttp/CallerServer.h"
#include "Rows/RowFeed.h"
#include "Serving/CrashDetector.h"
#include "Serving/OnlineService.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServerDirectory.h"
#include "Telemetry/Metrics.h"

namespace turmericpass {

/// What ServingNode is given by its program.
struct ServingNodeDependencies {
  EventLoop &Loop;
  BackendChannels &Channels;
  RowStore &Store;
  const DeploymentAdapter &Adapter;
  IdSource &Ids;
  Logger &Log;
};

/// Everything that one VM does: takes callers' requests, serves or keeps them,
/// and agrees with the other VMs through the store and their digests.
class ServingNode : private CallerHandler {
public:
  ServingNode(ServingNodeDependencies Parts, NodeConfig Config);

  /// Opens the ports and starts to follow the store. Errors: Unavailable.
  Result<void> start();

  /// Begins a graceful stop; the loop is stopped when it has ended.
  void stop();

  /// Takes over settings of the process that changed while it runs.
  void reload(const NodeConfig &Changed);

private:
  void requested(CallerId Id, RawRequest Request) override;
  void callerDisconnected(CallerId Id) override;

  /// Answers the balancer, which asks whether this VM takes callers.
  void answerReady(CallerId Id);
  void answerMetrics(CallerId Id);
  /// Tells other VMs what the store says, if this one sees it.
  void answerView(CallerId Id, const RawRequest &Request);
  bool isReady() const;
  bool seesStore() const;
  void askPeers();
  void viewReceived(const std::string &From, const StoreView &View);
  void settingsAdopted(const ServingSettings &Settings);
  void limitConnections();
  void settingsRows(const std::vector<StoredRow> &Rows);
  void serverRows(const std::vector<StoredRow> &Rows);
  void serversListed(const std::vector<StoredRow> &Rows, bool Gap);
  std::optional<ServerEntry> readServer(const StoredRow &Row);
  void jobRows(const std::vector<StoredRow> &Rows, bool Listed);
  void refreshRegistry();
  void sendDigests(bool ToAllZones);
  void digestReceived(const std::string &From, std::string_view Bytes);
  void tick();
  void takeJobs();
  void cleanJobs();
  void checkStop();

  ServingNodeDependencies Dependencies;
  NodeConfig Config;
  std::string Self;
  std::string PeerAddress;
  Metrics Stats;
  ServerDirectory Servers;
  LoadTracker Loads;
  CrashCounter Crashes;
  CrashDetector Detector;
  PlacementPolicy Placement;
  PeerBook Peers;
  SettingsKeeper Settings;
  CallerServer Front;
  AnswerHandler ReadyAnswers;
  CallerServer Ready;
  AnswerHandler MetricsAnswers;
  CallerServer MetricsServer;
  AnswerHandler ViewAnswers;
  CallerServer ViewServer;
  PeerViewClient Views;
  OnlineService Online;
  JobDirectory Book;
  JobStore Jobs;
  JobRunner Runner;
  JobApi Api;
  JobTakeover Takeover;
  JobCleaner Cleaner;
  RowFeed SettingsFeed;
  RowFeed ServerFeed;
  RowFeed JobFeed;
  NodeRegistry Registry;
  DigestPort Digests;
  std::set<std::string> Claiming;
  /// The list of servers as it was read, for VMs that cannot read it.
  std::map<std::string, StoredRow> ServerRows;
  bool ServersKnown = false;
  bool JobsKnown = false;
  Instant StartedAt;
  std::optional<Instant> StoppingSince;
  std::uint64_t DigestSequence = 0;
  std::uint64_t SentRevision = 0;
  Instant DigestSentAt;
  Instant FarDigestSentAt;
};

} // namespace turmericpass

#endif
