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

/// Finds the requests that crash servers. A key is a fingerprint, or identifies
/// a single request that has no fingerprint.
class Quarantine {
public:
  /// Returns the key of a request: its fingerprint or, if it has none, a key
  /// that identifies this request only.
  static std::string keyFor(const std::string &Fingerprint,
                            const std::string &RequestId);
  static bool isSingleRequestKey(const std::string &Key);

  void add(const std::string &Key) { this->QuarantinedKeys.insert(Key); }
  bool isQuarantined(const std::string &Key) const;
  bool isSuspect(const std::string &Key) const;

  void recordStart(const std::string &Key, const std::string &Server);
  void recordEnd(const std::string &Key, const std::string &Server);

  /// Returns whether \p Key may start on \p Server. A suspect runs one attempt
  /// at a time and never beside another suspect. Equal requests of which none
  /// has succeeded yet share one server, so that resent requests crash no more
  /// servers than a single request would.
  bool mayStart(const std::string &Key, const std::string &Server) const;

  /// Returns whether a second copy of a running \p Key may start on \p Server.
  /// Requests that have not succeeded before run on at most two servers.
  bool mayStartCopy(const std::string &Key, const std::string &Server) const;

  /// Returns whether another suspect runs on \p Server.
  bool hasOtherSuspect(const std::string &Server, const std::string &Key) const;

  /// Returns the servers that currently run a suspect.
  std::set<std::string> serversRunningSuspects() const;

  /// Records the loss of a server that was running \p Keys. Returns the key
  /// that caused it and is now in quarantine, or "" if the cause is not known
  /// yet.
  std::string recordServerLoss(const std::string &Server,
                               const std::set<std::string> &Keys, Instant Now);

  /// Retracts the loss of \p Server and clears the suspects of that loss.
  void retractLoss(const std::string &Server);

  /// Clears the key of the crash that it was suspected of.
  void clearSuspect(const std::string &Key);
  /// Records that a request with this key succeeded.
  void recordSuccess(const std::string &Key);

  /// Clears suspects whose suspicion has expired.
  void expireSuspects(Instant Now);

private:
  struct Entry {
    /// The ID of the crash that the key is suspected of, or 0.
    std::uint64_t CrashId = 0;
    Instant SuspectedSince;
    /// The servers that run the key now, listed once for each attempt.
    std::vector<std::string> Servers;
  };

  void clearSuspectsOf(std::uint64_t CrashId);

  std::set<std::string> QuarantinedKeys;
  std::map<std::string, Entry> Entries;
  std::set<std::string> Suspects;
  std::unordered_set<std::string> ProvenKeys;
  std::deque<std::string> ProvenKeyOrder;
  std::uint64_t LastCrashId = 0;
  /// The ID of the last crash of each server whose loss produced suspects.
  std::map<std::string, std::uint64_t> LastCrashByServer;
};

} // namespace turmericpass

#endif
