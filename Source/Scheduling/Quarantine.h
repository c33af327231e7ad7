#ifndef TURMERICPASS_SCHEDULING_QUARANTINE_H
#define TURMERICPASS_SCHEDULING_QUARANTINE_H

#include "Core/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace turmericpass {

/// Finds the requests that crash servers. Keys are fingerprints, or stand for
/// one request where it has none.
class Quarantine {
public:
  /// Returns the key of a request: its fingerprint or, without one, a key
  /// that stands for this request alone.
  static std::string keyFor(const std::string &Fingerprint,
                            const std::string &RequestId);
  static bool namesOneRequest(const std::string &Key);

  void add(const std::string &Key) { this->Banned.insert(Key); }
  bool isQuarantined(const std::string &Key) const;
  bool isSuspect(const std::string &Key) const;

  void started(const std::string &Key, const std::string &Server);
  void ended(const std::string &Key, const std::string &Server);

  /// Returns whether \p Key may start at \p Server. A suspect runs once at a
  /// time and with no other suspect. Equal requests of which none has ended
  /// well yet share one server, so that resends crash no more servers than
  /// one request would.
  bool mayStart(const std::string &Key, const std::string &Server) const;

  /// Returns whether a second copy of a running \p Key may start at \p Server.
  /// Requests that no server has proven are at two servers at most.
  bool mayCopy(const std::string &Key, const std::string &Server) const;

  /// Returns whether another suspect runs at \p Server.
  bool hasOtherSuspect(const std::string &Server, const std::string &Key) const;

  /// Returns the servers that run a suspect now.
  std::set<std::string> serversInUse() const;

  /// A server was lost while it ran \p Keys. Returns the key that is to blame
  /// and is now in quarantine, or "" if that is not known yet.
  std::string serverLost(const std::string &Server,
                         const std::set<std::string> &Keys, Instant Now);

  /// The server was not lost after all; nobody is suspected of its loss.
  void retract(const std::string &Server);

  /// The key is innocent of the crash it was suspected of.
  void clear(const std::string &Key);
  /// The key's request ended well.
  void proven(const std::string &Key);

  /// Forgets suspects that were not seen again.
  void expire(Instant Now);

private:
  struct Entry {
    /// 0, or the crash that the key is suspected of.
    std::uint64_t Crash = 0;
    Instant Suspected;
    /// The servers that run it now.
    std::vector<std::string> Servers;
  };

  void clearCrash(std::uint64_t Crash);

  std::set<std::string> Banned;
  std::map<std::string, Entry> Entries;
  std::set<std::string> Suspects;
  std::unordered_set<std::string> Proven;
  std::deque<std::string> ProvenOrder;
  std::uint64_t LastCrash = 0;
  /// The last crash of each server that made suspects.
  std::map<std::string, std::uint64_t> CrashOf;
};

} // namespace turmericpass

#endif
