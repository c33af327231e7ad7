#include "Control/SettingsFollower.h"

#include "Control/SettingsReplica.h"
#include "Control/SettingsStore.h"
#include "Telemetry/Logger.h"

#include <utility>

namespace turmericpass {

namespace {

/// The interval between attempts to fetch a version that a peer has announced.
constexpr Duration RetryPeriod = std::chrono::milliseconds(500);

} // namespace

SettingsFollower::SettingsFollower(SettingsStore &Store,
                                   SettingsReplica &Replica, const Clock &Time,
                                   Logger &Log, ChangeCallback OnChange,
                                   RequestCallback RequestFromPeer)
    : Store(Store), Replica(Replica), Time(Time), Log(Log),
      OnChange(std::move(OnChange)),
      RequestFromPeer(std::move(RequestFromPeer)) {}

void SettingsFollower::tick(bool IsRelay) {
  const bool Behind = this->PeerVersion > this->Replica.version() &&
                      this->PeerVersion != this->RejectedVersion;
  Duration Period = IsRelay ? RelayPollPeriod : NodePollPeriod;
  if (Behind)
    Period = RetryPeriod;
  if (this->HasPolled && this->Time.now() - this->LastFetch < Period)
    return;
  this->fetch();
}

void SettingsFollower::recordPeerVersion(std::uint64_t Version,
                                         const std::string &Peer) {
  if (Version <= this->Replica.version() || Version < this->PeerVersion)
    return;
  // The peer that announced the version last is asked, because an earlier one
  // may be gone.
  this->PeerWithVersion = Peer;
  if (Version == this->PeerVersion)
    return;
  this->PeerVersion = Version;
  this->fetch();
}

void SettingsFollower::fetch() {
  if (this->IsFetching)
    return;
  this->IsFetching = true;
  this->HasPolled = true;
  this->LastFetch = this->Time.now();
  this->Store.fetch(this->Replica.files(), [this](Result<StoredSettings> Read) {
    this->IsFetching = false;
    if (Read) {
      const std::uint64_t Version = Read->Manifest.Version;
      this->handleOutcome(
          this->Replica.adoptIfNewer(Version, std::move(Read->Files)), Version,
          "table");
    } else {
      this->Log.log(LogLevel::Debug,
                    "Failed to read the settings from the table.",
                    {{"reason", Read.error().Message}});
    }
    // If the table is unavailable or lags behind a peer, the peer is asked.
    if (this->PeerVersion > this->Replica.version())
      this->RequestFromPeer(this->PeerWithVersion,
                            SettingsRequest{this->Replica.version()});
  });
}

void SettingsFollower::handle(const SettingsReply &Reply) {
  if (Reply.Version == 0)
    return;
  this->handleOutcome(this->Replica.adoptIfNewer(Reply.Version, Reply.Document),
                      Reply.Version, "peer");
}

SettingsReply
SettingsFollower::answerRequest(const SettingsRequest &Request) const {
  if (Request.KnownVersion >= this->Replica.version())
    return {};
  return {this->Replica.version(), this->Replica.document()};
}

void SettingsFollower::handleOutcome(const Result<bool> &Outcome,
                                     std::uint64_t Version,
                                     const char *Source) {
  if (!Outcome) {
    if (this->RejectedVersion != Version)
      this->Log.log(
          LogLevel::Error, "Rejected invalid settings.",
          {{"version", Version}, {"reason", Outcome.error().Message}});
    this->RejectedVersion = Version;
    return;
  }
  if (!*Outcome)
    return;
  this->Log.log(LogLevel::Info, "New settings are in force.",
                {{"version", Version}, {"source", Source}});
  this->OnChange();
}

} // namespace turmericpass
