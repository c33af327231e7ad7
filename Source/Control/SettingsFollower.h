#ifndef TURMERICPASS_CONTROL_SETTINGSFOLLOWER_H
#define TURMERICPASS_CONTROL_SETTINGSFOLLOWER_H

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Wire/Messages.h"

#include <cstdint>
#include <functional>
#include <string>

namespace turmericpass {

class Logger;
class SettingsReplica;
class SettingsStore;

/// Keeps a replica at the highest settings version of the table and the peers.
class SettingsFollower {
public:
  using ChangeCallback = std::function<void()>;
  using RequestCallback =
      std::function<void(const std::string &Peer, SettingsRequest)>;

  /// The intervals at which the relay of a zone and its other nodes poll the
  /// table. The other nodes learn of new versions from digests.
  static constexpr Duration RelayPollPeriod = std::chrono::milliseconds(500);
  static constexpr Duration NodePollPeriod = std::chrono::seconds(10);

  /// \p OnChange is called after each change of the replica. \p RequestFromPeer
  /// sends a request to a peer.
  SettingsFollower(SettingsStore &Store, SettingsReplica &Replica,
                   const Clock &Time, Logger &Log, ChangeCallback OnChange,
                   RequestCallback RequestFromPeer);

  /// Called periodically. Polls the table at the interval that \p IsRelay
  /// selects.
  void tick(bool IsRelay);

  /// Records that \p Peer has \p Version. A newer version is read from the
  /// table, or from \p Peer if the table does not provide it.
  void recordPeerVersion(std::uint64_t Version, const std::string &Peer);

  /// Processes the settings that a peer sent.
  void handle(const SettingsReply &Reply);

  /// Returns the answer to a peer. Its version is 0 if the peer is up to date.
  SettingsReply answerRequest(const SettingsRequest &Request) const;

private:
  void fetch();
  void handleOutcome(const Result<bool> &Outcome, std::uint64_t Version,
                     const char *Source);

  SettingsStore &Store;
  SettingsReplica &Replica;
  const Clock &Time;
  Logger &Log;
  ChangeCallback OnChange;
  RequestCallback RequestFromPeer;
  /// The highest version that a peer is known to have.
  std::uint64_t PeerVersion = 0;
  std::string PeerWithVersion;
  /// The last rejected version. Each rejected version is logged once.
  std::uint64_t RejectedVersion = 0;
  bool IsFetching = false;
  bool HasPolled = false;
  Instant LastFetch{};
};

} // namespace turmericpass

#endif
