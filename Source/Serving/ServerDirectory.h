#ifndef TURMERICPASS_SERVING_SERVERDIRECTORY_H
#define TURMERICPASS_SERVING_SERVERDIRECTORY_H

#include "Core/Clock.h"
#include "Serving/BackendServer.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// What is known of one backend server.
struct KnownServer {
  ServerEntry Entry;
  /// The entry vanished while the list could not be trusted; the server is
  /// used until then.
  Instant ForgottenAt = Instant::max();
  /// Until then other servers are preferred, because requests failed here.
  Instant AvoidedUntil;
  /// Failures since the last success.
  int Failures = 0;
  /// When the server last sent anything to this VM.
  Instant HeardAt;
};

/// The backend servers by their ids, as the list of servers and the outcomes
/// of requests tell. It has no I/O.
class ServerDirectory {
public:
  explicit ServerDirectory(const Clock &Time) : Time(Time) {}

  /// Takes over one entry of the list. Returns whether a server started anew
  /// under an id that was known.
  bool update(ServerEntry Entry);

  /// The entry of \p Id was removed.
  void remove(const std::string &Id);

  /// Takes over the whole list, after changes may have been missed. Servers
  /// that are not in it are used until \p MissingUntil, since their entries
  /// may have lapsed while the list was away.
  void replace(std::vector<ServerEntry> Entries, Instant MissingUntil);

  /// A request to the server had no answer or a broken one.
  void failed(const std::string &Id);
  /// The server answered.
  void succeeded(const std::string &Id);
  /// The server sent something.
  void heard(const std::string &Id);
  /// Another VM avoids the server with hash \p Key; this VM does so too, for a
  /// while, unless it heard the server lately.
  void applyPeerAvoidance(std::uint32_t Key);
  /// The hashes of servers that this VM avoids by its own experience.
  std::vector<std::uint32_t> avoided() const;

  /// Returns the server called \p Id, or nullptr.
  const KnownServer *find(const std::string &Id) const;

  /// Returns the servers of \p Service that take new requests.
  std::vector<const KnownServer *> usable(std::string_view Service) const;

  const std::map<std::string, KnownServer> &all() const {
    return this->Servers;
  }

private:
  const Clock &Time;
  std::map<std::string, KnownServer> Servers;
};

} // namespace turmericpass

#endif
