#ifndef TURMERICPASS_NODE_SERVINGNODE_H
#define TURMERICPASS_NODE_SERVINGNODE_H

#include "BatchJobs/JobApi.h"
#include "BatchJobs/JobCleaner.h"
#include "BatchJobs/JobRunner.h"
#include "BatchJobs/JobTakeover.h"
#include "Core/IdSource.h"
#include "Node/ActiveSettings.h"
#include "Node/CrashArchive.h"
#include "Node/DeploymentAdapter.h"
#include "Node/GracefulStop.h"
#include "Node/NodeConfig.h"
#include "Node/NodeRegistry.h"
#include "Node/OrganisationLimiter.h"
#include "Node/PeerDirectory.h"
#include "Node/PeerExchange.h"
#include "Node/RequestAdmission.h"
#include "Node/SynchronousHandler.h"
#include "Node/ViewRequests.h"
#include "RawHttp/CallerServer.h"
#include "Rows/RowFeed.h"
#include "Serving/CrashDetector.h"
#include "Serving/CrashGuard.h"
#include "Serving/OnlineService.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServerDirectory.h"
#include "Telemetry/Metrics.h"

namespace turmericpass {

/// The objects that ServingNode uses but does not own.
struct ServingNodeDependencies {
  EventLoop &Loop;
  BackendChannels &Channels;
  RowStore &Store;
  const DeploymentAdapter &Adapter;
  IdSource &Ids;
  Logger &Log;
};

/// The service of one VM. It accepts requests of callers, serves online
/// requests, stores batch jobs and runs their items. It coordinates with the
/// other VMs through the store and through digests.
class ServingNode : private CallerHandler {
public:
  ServingNode(ServingNodeDependencies Dependencies, NodeConfig Config);

  /// Opens the ports and starts following the store. Errors: Unavailable.
  Result<void> start();

  /// Begins a graceful stop. When it is complete, the event loop is stopped.
  void stop();

  /// Applies the process settings that may change at run time.
  void reload(const NodeConfig &NewConfig);

private:
  void requestReceived(CallerId Id, RawRequest Request) override;
  void callerDisconnected(CallerId Id) override;
  void callerCaughtUp(CallerId Id) override;

  /// Answers a readiness check of the load balancer.
  void replyReadiness(CallerId Id);
  void replyMetrics(CallerId Id);
  /// Sends the store view to another VM if this VM has a current one.
  void replyView(CallerId Id, const RawRequest &Request);
  bool isReady() const;
  bool hasStoreView() const;
  bool mayUseKeys() const;
  void handleStoreView(const std::string &From, const StoreView &View);
  void applySettings(const ServingSettings &Settings);
  void updateConnectionLimits();
  void handleSettingsRows(const std::vector<StoredRow> &Rows);
  void handleServerRows(const std::vector<StoredRow> &Rows);
  void replaceServers(const std::vector<StoredRow> &Rows, bool AfterGap);
  std::optional<ServerEntry> readServer(const StoredRow &Row);
  void handleJobChanges(const std::vector<std::string> &JobIds);
  /// Returns this VM as the others see it.
  ListedNode registration() const;
  PeerDigest makeDigest() const;
  void updateFeedIntervals();
  void tick();
  void takeOverJobs();
  /// Returns whether \p Key falls to this VM among those that are alive.
  bool isPickedFor(const std::string &Key) const;
  void deleteExpiredJobs();

  ServingNodeDependencies Dependencies;
  NodeConfig Config;
  std::string Self;
  std::string PeerAddress;
  Metrics Stats;
  ServerDirectory Servers;
  LoadTracker Loads;
  CrashCounter Crashes;
  CrashDetector Detector;
  CrashArchive BlockedRequests;
  CrashGuard Guard;
  PlacementPolicy Placement;
  RateLimits Limits;
  OrganisationLimiter Limiter;
  PeerDirectory Peers;
  ActiveSettings Settings;
  OrganisationDirectory Organisations;
  CallerServer Front;
  SynchronousHandler ReadinessHandler;
  CallerServer ReadinessServer;
  SynchronousHandler MetricsHandler;
  CallerServer MetricsServer;
  SynchronousHandler ViewHandler;
  CallerServer ViewServer;
  ViewRequests Views;
  OnlineService Online;
  GracefulStop Stopping;
  JobDirectory KnownJobs;
  JobStore Jobs;
  JobRunner Runner;
  JobApi Api;
  RequestAdmission Admission;
  JobTakeover Takeover;
  JobCleaner Cleaner;
  RowFeed SettingsFeed;
  RowFeed ServerFeed;
  RowFeed JobFeed;
  NodeRegistry Registry;
  PeerExchange Exchange;
  /// The jobs whose takeover is being stored.
  std::set<std::string> PendingTakeovers;
  /// The rows of the servers as read from the store, for VMs that cannot read
  /// them.
  std::map<std::string, StoredRow> ServerRows;
  bool ServersKnown = false;
  Instant StartedAt;
};

} // namespace turmericpass

#endif
