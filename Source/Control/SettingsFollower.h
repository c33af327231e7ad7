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

/// Keeps a replica at the highest version that the table or a peer has.
class SettingsFollower {
public:
  using Changed = std::function<void()>;
  using Ask = std::function<void(const std::string &Peer, SettingsRequest)>;

  /// How often the table is asked for the head: by the relay of a zone, and by
  /// its other nodes, which hear of new versions in digests.
  static constexpr Duration RelayPeriod = std::chrono::milliseconds(500);
  static constexpr Duration OtherPeriod = std::chrono::seconds(10);

  /// \p OnChange is called after each adoption; \p AskPeer sends a request.
  SettingsFollower(SettingsStore &Store, SettingsReplica &Replica,
                   const Clock &Time, Logger &Log, Changed OnChange,
                   Ask AskPeer);

  /// Called regularly. \p IsRelay makes this node the one that polls often.
  void tick(bool IsRelay);

  /// Takes the news that \p Peer has \p Version. The table is asked first; if
  /// it cannot be read, \p Peer is.
  void learn(std::uint64_t Version, const std::string &Peer);

  /// Takes a peer's settings.
  void handle(const SettingsReply &Reply);

  /// Answers a peer; Version is 0 if the peer has as much.
  SettingsReply answer(const SettingsRequest &Request) const;

private:
  void fetch();
  void report(const Result<bool> &Outcome, std::uint64_t Version,
              const char *Source);

  SettingsStore &Store;
  SettingsReplica &Replica;
  const Clock &Time;
  Logger &Log;
  Changed OnChange;
  Ask AskPeer;
  /// The highest version that a peer is known to have.
  std::uint64_t PeerVersion = 0;
  std::string PeerWithVersion;
  /// A version that this program cannot use, so that it is logged once.
  std::uint64_t RefusedVersion = 0;
  bool Fetching = false;
  bool Polled = false;
  Instant LastFetch{};
};

} // namespace turmericpass

#endif
