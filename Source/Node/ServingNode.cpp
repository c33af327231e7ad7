#include "Node/ServingNode.h"

#include "Core/Hash.h"
#include "Node/KeyTrustPolicy.h"
#include "Node/NodeTimes.h"
#include "Telemetry/Logger.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

constexpr int Ok = 200;
constexpr int Unavailable = 503;

/// The minimum number of connections that one VM may open to a server.
constexpr std::size_t MinConnections = 8;

} // namespace

ServingNode::ServingNode(ServingNodeDependencies Dependencies,
                         NodeConfig InitialConfig)
    : Dependencies(Dependencies), Config(std::move(InitialConfig)),
      Self(this->Config.Name + "@" + Dependencies.Ids.shortId()),
      PeerAddress(this->Config.Ip + ":" +
                  std::to_string(this->Config.PeerPort)),
      Servers(Dependencies.Loop.clock()), Loads(this->Self),
      Crashes(Dependencies.Loop.clock()),
      Detector(Dependencies.Loop, Dependencies.Channels, this->Servers,
               this->Crashes, Dependencies.Log,
               [this] { return this->Settings.current(); }),
      BlockedRequests(Dependencies.Loop, Dependencies.Store, this->Crashes,
                      Dependencies.Log),
      Guard(this->Crashes, this->Detector, Dependencies.Log,
            [this](std::uint64_t Suspect) {
              return this->isPickedFor(std::to_string(Suspect));
            }),
      Placement(Dependencies.Loop.clock(), this->Servers, this->Loads,
                Dependencies.Channels, this->Config.Zone, this->Self),
      Limits(Dependencies.Loop.clock(), this->PeerAddress),
      Limiter(Dependencies.Loop.clock(), this->Limits, Dependencies.Log,
              this->Stats),
      Peers(Dependencies.Loop.clock(), this->Loads, this->Crashes, this->Self,
            this->registration()),
      Settings(Dependencies.Adapter, Dependencies.Log,
               [this](const ServingSettings &Adopted) {
                 this->applySettings(Adopted);
               }),
      Front(Dependencies.Loop, *this),
      ReadinessHandler([this](CallerId Id, const RawRequest &) {
        this->replyReadiness(Id);
      }),
      ReadinessServer(Dependencies.Loop, this->ReadinessHandler),
      MetricsHandler(
          [this](CallerId Id, const RawRequest &) { this->replyMetrics(Id); }),
      MetricsServer(Dependencies.Loop, this->MetricsHandler),
      ViewHandler([this](CallerId Id, const RawRequest &Request) {
        this->replyView(Id, Request);
      }),
      ViewServer(Dependencies.Loop, this->ViewHandler),
      Views({Dependencies.Loop, Dependencies.Channels, Dependencies.Ids,
             this->Peers, this->Config,
             [this](const std::string &From, const StoreView &View) {
               this->handleStoreView(From, View);
             },
             [this](const std::string &From, const StoreView &View) {
               this->Settings.adoptIfNewer(View.Settings, From);
             }},
            hash64(this->Self)),
      Online({Dependencies.Loop, this->Front, Dependencies.Channels,
              this->Servers, this->Loads, this->Placement, this->Guard,
              Dependencies.Ids, Dependencies.Adapter.backendProtocol(),
              Dependencies.Log, this->Stats}),
      Stopping(Dependencies.Loop, this->Front, this->Online, Dependencies.Log,
               this->Config),
      KnownJobs(Dependencies.Log), Jobs(Dependencies.Loop, Dependencies.Store,
                                        Dependencies.Ids, Dependencies.Log),
      Runner({Dependencies.Loop, Dependencies.Channels, this->Jobs,
              this->KnownJobs, this->Servers, this->Loads, this->Placement,
              this->Crashes, this->Detector,
              Dependencies.Adapter.backendProtocol(), Dependencies.Log,
              this->Stats, [this] { return this->Settings.current(); },
              [this] { return this->SettingsFeed.isCurrent(); },
              [this] { return this->JobFeed.storeMillis(); },
              [this] { return this->Peers.otherVmsHaveUrgentItems(); },
              [this] { return this->Peers.waitingItems(); }, this->Self}),
      Api({Dependencies.Loop, this->Front, this->Jobs, this->KnownJobs,
           this->Runner, Dependencies.Adapter.backendProtocol(),
           Dependencies.Adapter.jobCallCodec(), Dependencies.Log, this->Stats,
           [this] { return this->JobFeed.storeMillis(); },
           [this] { return this->JobFeed.isCurrent(); }, this->Self}),
      Admission({Dependencies.Adapter.backendProtocol(),
                 Dependencies.Adapter.jobCallCodec(), this->Organisations,
                 [this] { return this->Settings.current(); },
                 [this] { return this->mayUseKeys(); },
                 [this](Duration Time) {
                   return this->Stopping.hasBegun() &&
                          this->Stopping.endsBefore(Time);
                 },
                 [this](const OrganisationSettings &Organisation) {
                   return this->Limiter.apply(Organisation,
                                              this->Dependencies.Ids.number());
                 }}),
      Takeover(Dependencies.Loop.clock(), this->Peers.ownName()),
      Cleaner(Dependencies.Store, this->KnownJobs, Dependencies.Log,
              this->Config.JobRetention + RetentionMargin),
      SettingsFeed(Dependencies.Loop, Dependencies.Store, Dependencies.Log,
                   Dependencies.Adapter.tables().SettingsTable, "",
                   MinUrgentChangeInterval,
                   {[this](const RowListing &Listing) {
                      this->handleSettingsRows(Listing.Rows);
                    },
                    [this](const std::vector<StoredRow> &Rows) {
                      this->handleSettingsRows(Rows);
                    }}),
      ServerFeed(Dependencies.Loop, Dependencies.Store, Dependencies.Log,
                 Dependencies.Adapter.tables().ServersTable, "",
                 MinUrgentChangeInterval,
                 {[this](const RowListing &Listing) {
                    this->replaceServers(Listing.Rows, Listing.AfterOutage);
                  },
                  [this](const std::vector<StoredRow> &Rows) {
                    this->handleServerRows(Rows);
                  }}),
      JobFeed(Dependencies.Loop, Dependencies.Store, Dependencies.Log,
              JobStore::JobTable, JobStore::Part, MinJobChangeInterval,
              {[this](const RowListing &Listing) {
                 this->handleJobChanges(
                     this->KnownJobs.replace(Listing.Rows, Listing.Version));
               },
               [this](const std::vector<StoredRow> &Rows) {
                 this->handleJobChanges(this->KnownJobs.update(Rows));
               }}),
      Registry(Dependencies.Loop, Dependencies.Store, Dependencies.Ids,
               Dependencies.Log, this->registration(),
               [this](std::vector<ListedNode> Nodes) {
                 this->Limits.setListedVms(addressesOf(Nodes));
                 this->Peers.setListedNodes(std::move(Nodes));
                 this->updateFeedIntervals();
                 this->updateConnectionLimits();
               }),
      Exchange({Dependencies.Loop, Dependencies.Ids, Dependencies.Log,
                this->Stats, this->Loads, this->Peers, this->Servers,
                this->Limits, [this] { return this->makeDigest(); }},
               this->Config.Zone),
      StartedAt(Dependencies.Loop.clock().now()) {
  this->Online.setHedging(this->Config.Hedging);
}

ListedNode ServingNode::registration() const {
  constexpr double PercentPerCore = 100;
  return {this->PeerAddress, this->Config.Zone,
          static_cast<int>(this->Config.CpuShare * PercentPerCore)};
}

Result<void> ServingNode::start() {
  for (const Result<void> &Status :
       {this->Front.listen(this->Config.FrontAddress),
        this->ReadinessServer.listen(this->Config.ReadyAddress),
        this->MetricsServer.listen(this->Config.Ip + ":" +
                                   std::to_string(this->Config.MetricsPort)),
        this->Exchange.open(this->PeerAddress)})
    if (!Status)
      return Status;
  // The address is optional. Without it, other VMs cannot request the store
  // view from this VM.
  if (!this->Config.ControlAddress.empty())
    if (Result<void> Status =
            this->ViewServer.listen(this->Config.ControlAddress);
        !Status)
      return Status;
  this->Dependencies.Loop.setErrorHandler([this](std::string_view What) {
    this->Stats.add("unexpected_errors_total");
    this->Dependencies.Log.log(LogLevel::Error, "An unexpected error occurred.",
                               {{"reason", What}});
  });
  this->SettingsFeed.start();
  this->ServerFeed.start();
  this->JobFeed.start();
  this->Registry.start();
  this->BlockedRequests.start();
  EventLoop &Loop = this->Dependencies.Loop;
  this->tick();
  Loop.every(TakeoverPeriod, [this] { this->takeOverJobs(); });
  Loop.every(ProgressSavePeriod, [this] { this->Runner.saveProgress(); });
  Loop.every(CleanupPeriod, [this] { this->deleteExpiredJobs(); });
  Loop.every(ViewRequestPeriod, [this] {
    if (!this->hasStoreView())
      this->Views.requestView();
  });
  Loop.every(SettingsLagPeriod, [this] {
    this->Views.requestNewerSettings(this->Settings.version());
  });
  this->Dependencies.Log.log(LogLevel::Info, "The node starts.",
                             {{"incarnation", this->Self},
                              {"zone", this->Config.Zone},
                              {"front", this->Config.FrontAddress},
                              {"store", this->Config.StoreAddress}});
  return {};
}

bool ServingNode::isReady() const {
  return this->Settings.current() && this->ServersKnown &&
         !this->Stopping.hasBegun();
}

void ServingNode::replyReadiness(CallerId Id) {
  const bool IsReady = this->isReady();
  this->ReadinessServer.reply(Id, IsReady ? Ok : Unavailable, {},
                              IsReady ? "ready" : "not ready");
}

void ServingNode::replyMetrics(CallerId Id) {
  this->Stats.set("crash_counts", static_cast<double>(this->Crashes.size()));
  this->MetricsServer.reply(Id, Ok,
                            {{"Content-Type", "text/plain; version=0.0.4"}},
                            this->Stats.render());
}

void ServingNode::replyView(CallerId Id, const RawRequest &Request) {
  const bool SettingsOnly = Request.Target == StoreViewClient::SettingsPath;
  const bool IsKnown =
      SettingsOnly
          ? this->Settings.current() != nullptr
          : Request.Target == StoreViewClient::ViewPath && this->hasStoreView();
  if (!IsKnown) {
    this->ViewServer.reply(Id, Unavailable, {}, "the store is not seen");
    return;
  }
  StoreView View;
  View.Settings = this->Settings.document();
  if (!SettingsOnly)
    for (const auto &[Server, Row] : this->ServerRows)
      View.Servers.push_back(Row);
  this->ViewServer.reply(Id, Ok, {}, encodeView(View));
}

bool ServingNode::hasStoreView() const {
  return this->Settings.current() && this->SettingsFeed.isCurrent() &&
         this->ServerFeed.isCurrent();
}

bool ServingNode::mayUseKeys() const {
  return KeyTrustPolicy(this->Config.RefuseStaleKeys,
                        this->Config.StaleKeysTime)
      .mayUseKeys(
          std::max(this->SettingsFeed.lastAnswer(), this->Peers.lastHeard()),
          this->Dependencies.Loop.clock().now());
}

void ServingNode::handleStoreView(const std::string &From,
                                  const StoreView &View) {
  if (this->hasStoreView())
    return;
  this->Settings.adoptIfNewer(View.Settings, From);
  this->Dependencies.Log.log(
      LogLevel::Info, "Received the list of servers from another node.",
      {{"from", From}, {"servers", View.Servers.size()}});
  this->replaceServers(View.Servers, false);
}

void ServingNode::requestReceived(CallerId Id, RawRequest Request) {
  const BackendProtocol &Protocol =
      this->Dependencies.Adapter.backendProtocol();
  const std::string RequestId(rawHeader(Request.Headers, Protocol.RequestId));
  auto Decision = this->Admission.decide(Request);
  if (!Decision) {
    const RequestRefusal &Refusal = Decision.error();
    HttpHeaders Headers = {{Protocol.RequestId, RequestId}};
    if (!Refusal.RetryAfter.empty())
      Headers.emplace_back(Protocol.RetryAfter, Refusal.RetryAfter);
    this->Dependencies.Log.log(LogLevel::Info, "Rejected a request.",
                               {{"request", RequestId},
                                {"target", Request.Target},
                                {"status", Refusal.Status},
                                {"settings_version", this->Settings.version()},
                                {"reason", Refusal.Reason}});
    this->Front.reply(Id, Refusal.Status, Headers, Refusal.Reason);
  } else if (Decision->Call) {
    this->Api.handleCall(Id, *Decision->Call, Decision->Identity, RequestId);
  } else if (Decision->Route->Kind == RequestKind::Batch) {
    this->Api.submit(Id, Request, *Decision->Route, Decision->Identity);
  } else {
    this->Online.startCall(Id, std::move(Request), *Decision->Route,
                           std::move(Decision->Identity));
  }
}

void ServingNode::callerDisconnected(CallerId Id) {
  this->Api.callerDisconnected(Id);
  this->Online.callerDisconnected(Id);
}

void ServingNode::callerCaughtUp(CallerId Id) {
  this->Online.callerCaughtUp(Id);
}

void ServingNode::applySettings(const ServingSettings &Adopted) {
  this->Front.setLimits(Adopted.Limits);
  this->Organisations.replace(Adopted.Organisations);
  this->Limits.setOrganisations(Adopted.Organisations);
  this->updateConnectionLimits();
}

void ServingNode::updateConnectionLimits() {
  const ServingSettings *Current = this->Settings.current();
  if (!Current)
    return;
  const std::size_t Nodes = this->Peers.aliveNames().size() + 1;
  for (const auto &[Id, Known] : this->Servers.all()) {
    const auto Service = Current->Services.find(Known.Entry.Service);
    if (Service == Current->Services.end() ||
        Service->second.MaxConnections == 0)
      continue;
    this->Dependencies.Channels.setConnectionLimit(
        Known.Entry.Address,
        std::max(MinConnections, Service->second.MaxConnections / Nodes));
  }
}

void ServingNode::handleSettingsRows(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows)
    if (Row.Key == this->Dependencies.Adapter.tables().SettingsKey &&
        !Row.Removed)
      this->Settings.adoptIfNewer(Row.Value, "store");
}

std::optional<ServerEntry> ServingNode::readServer(const StoredRow &Row) {
  Result<ServerEntry> Entry =
      this->Dependencies.Adapter.readServer(Row.Key, Row.Value);
  if (Entry)
    return std::move(*Entry);
  this->Dependencies.Log.log(LogLevel::Warning,
                             "Ignored an invalid server entry.",
                             {{"server", Row.Key},
                              {"row_version", Row.Version},
                              {"reason", Entry.error().Message}});
  return std::nullopt;
}

void ServingNode::replaceServers(const std::vector<StoredRow> &Rows,
                                 bool AfterGap) {
  std::vector<ServerEntry> Entries;
  this->ServerRows.clear();
  for (const StoredRow &Row : Rows)
    this->ServerRows[Row.Key] = Row;
  for (const StoredRow &Row : Rows)
    if (std::optional<ServerEntry> Entry = this->readServer(Row))
      Entries.push_back(std::move(*Entry));
  const Instant Now = this->Dependencies.Loop.clock().now();
  this->Dependencies.Log.log(
      LogLevel::Info, "Replaced the list of servers.",
      {{"servers", Entries.size()}, {"after_gap", AfterGap}});
  this->Servers.replaceAll(std::move(Entries),
                           AfterGap ? Now + MissingServerGracePeriod : Now);
  this->ServersKnown = true;
  this->updateConnectionLimits();
}

void ServingNode::handleServerRows(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows) {
    if (Row.Removed)
      this->ServerRows.erase(Row.Key);
    else
      this->ServerRows[Row.Key] = Row;
    std::optional<ServerEntry> Entry;
    if (!Row.Removed)
      Entry = this->readServer(Row);
    if (!Entry) {
      this->Servers.remove(Row.Key);
      this->Dependencies.Log.log(
          LogLevel::Info, "Removed a server.",
          {{"server", Row.Key}, {"row_version", Row.Version}});
      continue;
    }
    this->Dependencies.Log.log(LogLevel::Info, "Updated a server entry.",
                               {{"server", Row.Key},
                                {"service", Entry->Service},
                                {"leaving", Entry->Leaving},
                                {"row_version", Row.Version}});
    this->Servers.update(std::move(*Entry));
  }
  this->updateConnectionLimits();
}

void ServingNode::handleJobChanges(const std::vector<std::string> &JobIds) {
  this->Runner.handleJobChanges(JobIds);
  this->Api.handleJobChanges(JobIds);
}

void ServingNode::updateFeedIntervals() {
  const int OtherNodes = this->Peers.count();
  this->JobFeed.setChangePause(jobChangeInterval(OtherNodes));
  this->ServerFeed.setChangePause(urgentChangeInterval(OtherNodes));
  this->SettingsFeed.setChangePause(urgentChangeInterval(OtherNodes));
}

PeerDigest ServingNode::makeDigest() const {
  PeerDigest Digest;
  Digest.Incarnation = this->Self;
  Digest.SettingsVersion = this->Settings.version();
  Digest.Stopping = this->Stopping.hasBegun();
  Digest.HasStoreView = this->hasStoreView();
  Digest.ServerLoads = this->Loads.localLoads();
  Digest.Crashes = this->Crashes.recordsToShare(CrashCounter::MaxSharedRecords);
  Digest.HasUrgentItems = this->Runner.hasUrgentItems();
  Digest.AvoidedServers = this->Servers.avoidedServers();
  Digest.WaitingItems = this->Runner.waitingItemCount();
  return Digest;
}

void ServingNode::tick() {
  const bool IsIdle =
      this->Runner.ownedJobCount() == 0 && this->Peers.usesAggregation();
  // The next tick is set first, so that it also comes after an error.
  this->Dependencies.Loop.after(IsIdle ? IdleTickPeriod : SchedulePeriod,
                                [this] { this->tick(); });
  this->Placement.setLoadsDelayed(this->Peers.usesAggregation());
  this->Runner.schedule();
  this->Exchange.tick();
}

void ServingNode::takeOverJobs() {
  if (this->Stopping.hasBegun() || !this->JobFeed.isCurrent() ||
      !this->Registry.isListed() || !this->Peers.hasOverview() ||
      this->Dependencies.Loop.clock().now() - this->StartedAt < TakeoverDelay)
    return;
  const auto IsAlive = [this](const std::string &Incarnation) {
    return this->Peers.isAlive(Incarnation);
  };
  for (const std::string &JobId : this->Takeover.chooseJobs(
           this->KnownJobs.all(), this->Peers.aliveNames(), IsAlive)) {
    if (!this->PendingTakeovers.insert(JobId).second)
      continue;
    const KnownJob Known = *this->KnownJobs.find(JobId);
    JobMetadata Metadata = Known.Metadata;
    this->Dependencies.Log.log(
        LogLevel::Info, "Taking over a job whose owner is not alive.",
        {{"job", JobId}, {"owner", Metadata.Owner}, {"epoch", Metadata.Epoch}});
    Metadata.Owner = this->Self;
    ++Metadata.Epoch;
    this->Jobs.updateJob(
        JobId, Metadata, {}, 0,
        this->Dependencies.Loop.clock().now() + TakeoverTimeout,
        this->KnownJobs, [this, JobId](JobStore::ChangeOutcome Outcome) {
          this->PendingTakeovers.erase(JobId);
          if (Outcome == JobStore::ChangeOutcome::Done)
            this->Runner.runJob(JobId);
        });
  }
}

bool ServingNode::isPickedFor(const std::string &Key) const {
  std::vector<std::string> Nodes = this->Peers.aliveNames();
  Nodes.push_back(this->Peers.ownName());
  return rendezvousPick(Key, Nodes) == static_cast<int>(Nodes.size()) - 1;
}

void ServingNode::deleteExpiredJobs() {
  if (this->Stopping.hasBegun() || !this->JobFeed.isCurrent())
    return;
  this->Cleaner.clean(
      this->JobFeed.storeMillis(),
      [this](const std::string &JobId) { return this->isPickedFor(JobId); });
}

void ServingNode::reload(const NodeConfig &NewConfig) {
  const ChangedKeys Changed = changedKeys(this->Config, NewConfig);
  this->Config.Seeds = NewConfig.Seeds;
  this->Config.StopTimeout = NewConfig.StopTimeout;
  this->Config.RefuseStaleKeys = NewConfig.RefuseStaleKeys;
  this->Config.StaleKeysTime = NewConfig.StaleKeysTime;
  this->Config.Hedging = NewConfig.Hedging;
  this->Online.setHedging(this->Config.Hedging);
  this->Dependencies.Log.log(
      LogLevel::Info, "Reloaded the settings file.",
      {{"changed", Changed.InEffect},
       {"in_effect_after_restart", Changed.AfterRestart}});
}

void ServingNode::stop() {
  if (this->Stopping.hasBegun())
    return;
  this->Dependencies.Log.log(LogLevel::Info, "The node stops.",
                             {{"open_requests", this->Front.openRequests()},
                              {"jobs", this->Runner.ownedJobCount()}});
  this->Stopping.begin();
  this->Runner.releaseJobs();
  this->Registry.stop();
  this->Exchange.sendDigest();
}

} // namespace turmericpass
