#ifndef TURMERICPASS_ADMISSION_DISPATCHERCHOOSER_H
#define TURMERICPASS_ADMISSION_DISPATCHERCHOOSER_H

#include "Core/Clock.h"
#include "Wire/Messages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmericpass {

struct FleetSettings;

/// Chooses the dispatcher for each piece of work among the owners of the
/// service's server groups, by their load hints and by what this gateway has
/// outstanding at them.
class DispatcherChooser {
public:
  DispatcherChooser(const Clock &Time, std::string OwnZone);

  /// Takes the fleet as it is now. Cheap if nothing changed.
  void configure(const FleetSettings &Settings,
                 const std::set<std::string> &LiveNodes,
                 const std::set<std::string> &AdoptedZones);

  /// Returns the dispatcher's address for work of \p Service, or nothing if
  /// all owners are in \p Excluded. Among about equal ones, \p Key decides,
  /// so that equal prompts meet the same servers' caches.
  std::optional<std::string> choose(const std::string &Service,
                                    std::string_view Key,
                                    const std::set<std::string> &Excluded);

  void recordLoadHint(const std::string &Peer, const LoadHint &Hint);
  void submitted(const std::string &Peer, const std::string &Service);
  void ended(const std::string &Peer, const std::string &Service);

  /// Leaves \p Peer out of the owners for a while; its groups then go to the
  /// nodes that would own them without it. Returns whether it was an owner.
  bool handlePeerLoss(const std::string &Peer);

  /// Returns what choose() knows of \p Peer, as part of a sentence.
  std::string describe(const std::string &Peer,
                       const std::string &Service) const;

  /// Returns the dispatchers of nodes that are not known to be live.
  const std::set<std::string> &unconfirmedPeers() const {
    return this->Doubtful;
  }

  /// Returns the shortest wait that the service's owners expect for new online
  /// work, in milliseconds; nothing unless each of them said so lately.
  std::optional<std::uint32_t>
  leastExpectedWait(const std::string &Service) const;

private:
  struct Owner {
    std::string Peer;
    bool OwnZone = false;
    std::uint32_t Slots = 0;
  };
  struct Heard {
    LoadHint Hint;
    Instant At;
  };
  using PeerAndService = std::pair<std::string, std::string>;

  void assign();
  double costOf(const Owner &Candidate, const std::string &Service) const;
  const Heard *freshHint(const std::string &Peer,
                         const std::string &Service) const;

  const Clock &Time;
  std::string OwnZone;
  const FleetSettings *Settings = nullptr;
  std::uint64_t Version = 0;
  std::set<std::string> LiveNodes;
  /// Until when a lost peer is left out.
  std::map<std::string, Instant> SuspectUntil;
  std::set<std::string> AdoptedZones;
  std::set<std::string> Doubtful;
  std::map<std::string, std::vector<Owner>> Owners;
  std::map<PeerAndService, Heard> Hints;
  std::map<PeerAndService, std::uint32_t> Outstanding;
};

} // namespace turmericpass

#endif
