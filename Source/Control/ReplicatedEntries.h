#ifndef TURMERICPASS_CONTROL_REPLICATEDENTRIES_H
#define TURMERICPASS_CONTROL_REPLICATEDENTRIES_H

#include "Core/Clock.h"
#include "Wire/Messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericpass {

/// A replicated map of versioned values that converges on all nodes. The entry
/// with the higher version wins; among equal versions, the greater value wins.
/// Each local change has a change number, so that a peer is sent only the
/// entries that it has not acknowledged.
class ReplicatedEntries {
public:
  /// The lifetimes of announcements about a server and about a request since
  /// their last repetition. A server is leaving for less time, and a request
  /// that crashed servers is resent for less time.
  static constexpr Duration LeavingLifetime = std::chrono::seconds(60);
  static constexpr Duration QuarantineLifetime = std::chrono::minutes(10);

  /// \p FirstChange must exceed every change number of earlier runs of this
  /// node, so that acknowledgements for an earlier run have no effect.
  ReplicatedEntries(const Clock &Time, std::uint64_t FirstChange);

  /// Sets an entry that originates at this node. An entry with an equal value
  /// is renewed only if a third of its lifetime has passed. Returns whether the
  /// entry was written.
  bool announce(const std::string &Key, const std::string &Value);

  /// Selects entries. \p FromOwnZone is true for an entry that came from a peer
  /// which itself sends it to the whole zone.
  using Filter = std::function<bool(const std::string &Key, bool FromOwnZone)>;

  /// Merges an entry of a peer and returns whether it replaced the local one.
  bool merge(const DigestEntry &Entry, bool FromOwnZone);

  /// Assigns new change numbers to the entries whose key begins with \p Prefix.
  void markChanged(const std::string &Prefix);

  /// Returns the entries with a change number above \p After that \p Wanted
  /// selects.
  std::vector<DigestEntry> changedSince(std::uint64_t After,
                                        const Filter &Wanted) const;

  /// Returns the latest change number.
  std::uint64_t lastChange() const { return this->Change; }

  /// Returns the value of \p Key, or nullptr if it is missing or expired.
  const std::string *find(const std::string &Key) const;

  /// Returns the rest of each unexpired key that begins with \p Prefix.
  std::set<std::string> names(const std::string &Prefix) const;

  /// Marks entries as expired and deletes those that expired long ago. Returns
  /// whether an entry has expired since the last call.
  bool expire();

  std::size_t size() const { return this->Entries.size(); }

private:
  struct Entry {
    std::uint64_t Version = 0;
    std::string Value;
    std::uint64_t Change = 0;
    Instant StoredAt;
    bool FromOwnZone = false;
    bool Expired = false;
  };

  void store(const DigestEntry &Update, bool FromOwnZone);

  const Clock &Time;
  std::uint64_t Change;
  std::map<std::string, Entry> Entries;
};

} // namespace turmericpass

#endif
