#ifndef TURMERICPASS_CONTROL_FLEETENTRIES_H
#define TURMERICPASS_CONTROL_FLEETENTRIES_H

#include "Core/Clock.h"
#include "Wire/Messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericpass {

/// Named values with versions that all nodes come to agree on: the higher
/// version wins, and with equal versions the greater value. Each local change
/// gets a number, so that a peer can be sent only what it does not have.
class FleetEntries {
public:
  /// How long an announcement about a server or a request holds after it was
  /// last repeated. A server is leaving for less, and a request that crashed
  /// servers is not resent for longer.
  static constexpr Duration LeavingTime = std::chrono::seconds(60);
  static constexpr Duration QuarantineTime = std::chrono::minutes(10);

  /// \p FirstChange must be above every number that an earlier run of this
  /// node gave, so that its peers' acknowledgements mean nothing here.
  FleetEntries(const Clock &Time, std::uint64_t FirstChange);

  /// Sets an entry from here. An equal one is repeated only when it would
  /// soon expire. Returns whether something changed.
  bool announce(const std::string &Key, const std::string &Value);

  /// Tells which entries are wanted. \p Shared is true for an entry that came
  /// from a peer that sends it to the whole zone itself.
  using Filter = std::function<bool(const std::string &Key, bool Shared)>;

  /// Takes a peer's entry and returns whether it was news.
  bool merge(const DigestEntry &Entry, bool Shared);

  /// Counts the entries whose key begins with \p Prefix as changed now.
  void touch(const std::string &Prefix);

  /// Returns the entries changed after number \p Change for which \p Wanted
  /// holds.
  std::vector<DigestEntry> changedSince(std::uint64_t Change,
                                        const Filter &Wanted) const;

  /// Returns the number of the latest change.
  std::uint64_t lastChange() const { return this->Change; }

  /// Returns the value under \p Key, or nullptr.
  const std::string *find(const std::string &Key) const;

  /// Returns what follows \p Prefix in the keys of entries in force.
  std::set<std::string> names(const std::string &Prefix) const;

  /// Deletes what expired long ago. Returns whether an entry has ceased to be
  /// in force since the last call.
  bool expire();

  std::size_t size() const { return this->Entries.size(); }

private:
  struct Entry {
    std::uint64_t Version = 0;
    std::string Value;
    std::uint64_t Change = 0;
    Instant Since;
    bool Shared = false;
    bool Expired = false;
  };

  void store(const DigestEntry &From, bool Shared);

  const Clock &Time;
  std::uint64_t Change;
  std::map<std::string, Entry> Entries;
};

} // namespace turmericpass

#endif
