#include "Control/SettingsFollower.h"

#include "Control/SettingsReplica.h"
#include "Control/SettingsStore.h"
#include "Telemetry/Logger.h"

#include <utility>

namespace turmericpass {

namespace {

/// A version that a peer announced is fetched again after this if the first
/// attempt failed.
constexpr Duration RetryPeriod = std::chrono::milliseconds(500);

} // namespace

SettingsFollower::SettingsFollower(SettingsStore &Store,
                                   SettingsReplica &Replica, const Clock &Time,
                                   Logger &Log, Changed OnChange, Ask AskPeer)
    : Store(Store), Replica(Replica), Time(Time), Log(Log),
      OnChange(std::move(OnChange)), AskPeer(std::move(AskPeer)) {}

void SettingsFollower::tick(bool IsRelay) {
  const bool Behind = this->PeerVersion > this->Replica.version() &&
                      this->PeerVersion != this->RefusedVersion;
  Duration Period = IsRelay ? RelayPeriod : OtherPeriod;
  if (Behind)
    Period = RetryPeriod;
  if (this->Polled && this->Time.now() - this->LastFetch < Period)
    return;
  this->fetch();
}

void SettingsFollower::learn(std::uint64_t Version, const std::string &Peer) {
  if (Version <= this->Replica.version() || Version < this->PeerVersion)
    return;
  // The latest peer is asked, because an earlier one may be gone.
  this->PeerWithVersion = Peer;
  if (Version == this->PeerVersion)
    return;
  this->PeerVersion = Version;
  this->fetch();
}

void SettingsFollower::fetch() {
  if (this->Fetching)
    return;
  this->Fetching = true;
  this->Polled = true;
  this->LastFetch = this->Time.now();
  this->Store.fetch(this->Replica.files(), [this](Result<StoredSettings> Read) {
    this->Fetching = false;
    if (Read) {
      const std::uint64_t Version = Read->Manifest.Version;
      this->report(this->Replica.adoptIfNewer(Version, std::move(Read->Files)),
                   Version, "table");
    } else {
      this->Log.log(LogLevel::Debug, "The settings were not read.",
                    {{"reason", Read.error().Message}});
    }
    // A table that is down, or lags behind a peer, is no reason to wait.
    if (this->PeerVersion > this->Replica.version())
      this->AskPeer(this->PeerWithVersion,
                    SettingsRequest{this->Replica.version()});
  });
}

void SettingsFollower::handle(const SettingsReply &Reply) {
  if (Reply.Version == 0)
    return;
  this->report(this->Replica.adoptIfNewer(Reply.Version, Reply.Document),
               Reply.Version, "peer");
}

SettingsReply SettingsFollower::answer(const SettingsRequest &Request) const {
  if (Request.KnownVersion >= this->Replica.version())
    return {};
  return {this->Replica.version(), this->Replica.document()};
}

void SettingsFollower::report(const Result<bool> &Outcome,
                              std::uint64_t Version, const char *Source) {
  if (!Outcome) {
    if (this->RefusedVersion != Version)
      this->Log.log(
          LogLevel::Error, "Settings were refused.",
          {{"version", Version}, {"reason", Outcome.error().Message}});
    this->RefusedVersion = Version;
    return;
  }
  if (!*Outcome)
    return;
  this->Log.log(LogLevel::Info, "New settings are in force.",
                {{"version", Version}, {"source", Source}});
  this->OnChange();
}

} // namespace turmericpass
