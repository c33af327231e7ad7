#ifndef TURMERICPASS_SERVING_SERVERDIRECTORY_H
#define TURMERICPASS_SERVING_SERVERDIRECTORY_H

#include "Core/Clock.h"
#include "Serving/BackendServer.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// The state of one backend server as this VM knows it.
struct KnownServer {
  ServerEntry Entry;
  /// The end of the time for which the server is still used after its entry
  /// vanished while the list was unreliable.
  Instant ExpiresAt = Instant::max();
  /// The end of the time for which other servers are preferred because requests
  /// to this one failed, on this VM or on others.
  Instant AvoidedUntil;
  /// The same because of failures on this VM alone. Only this is reported to
  /// other VMs: VMs that pass on each other's reports would never stop.
  Instant AvoidedForOwnFailuresUntil;
  /// The number of failures since the last success.
  int Failures = 0;
  /// The time at which the server last sent any data to this VM.
  Instant LastActivityAt;
};

/// Holds the state of the backend servers by id. It is updated from the list of
/// servers and from the outcomes of requests. This class performs no I/O.
class ServerDirectory {
public:
  explicit ServerDirectory(const Clock &Time) : Time(Time) {}

  /// Adds or replaces one entry of the list. Returns whether it shows a restart
  /// of a server with a known id.
  bool update(ServerEntry Entry);

  /// Removes the server \p Id, whose entry was removed from the list.
  void remove(const std::string &Id);

  /// Takes over the complete list, after changes may have been missed. Known
  /// servers without an entry are used until \p MissingUntil, because their
  /// entries may only have expired while the list was unavailable.
  void replaceAll(std::vector<ServerEntry> Entries, Instant MissingUntil);

  /// Records that the server said that it leaves. It is not used any more until
  /// it has restarted, whatever the list says. Returns whether that is new.
  bool recordLeaving(const std::string &Id);
  /// Records that a request to the server got no answer or an incomplete one.
  void recordFailure(const std::string &Id);
  /// Records that the server answered a request.
  void recordSuccess(const std::string &Id);
  /// Records that the server sent data.
  void recordActivity(const std::string &Id);
  /// Avoids the server with the key \p Key for a short time, because another VM
  /// avoids it, unless the server sent data to this VM recently.
  void applyPeerAvoidance(std::uint32_t Key);
  /// Returns the keys of the servers that this VM avoids because of its own
  /// failed requests.
  std::vector<std::uint32_t> avoidedServers() const;

  /// Returns the server with id \p Id, or nullptr if it is unknown.
  const KnownServer *find(const std::string &Id) const;

  /// Returns the servers of \p Service that accept new requests.
  std::vector<const KnownServer *>
  usableServers(std::string_view Service) const;

  /// Returns whether a server of \p Service accepts new requests.
  bool hasUsableServer(std::string_view Service) const;

  const std::map<std::string, KnownServer> &all() const {
    return this->Servers;
  }

private:
  bool saidLeaving(const ServerEntry &Entry) const;
  bool isUsable(const KnownServer &Server, std::string_view Service) const;

  const Clock &Time;
  std::map<std::string, KnownServer> Servers;
  /// The start times of the servers that said that they leave. An entry may
  /// vanish and come back while the server is still leaving.
  std::map<std::string, std::int64_t> LeavingStarts;
};

} // namespace turmericpass

#endif
