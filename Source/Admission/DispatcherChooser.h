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

/// Chooses the dispatcher for each request among the owners of the service's
/// server groups. The choice depends on the load hints of the dispatchers and
/// on the number of requests that this process has outstanding at each of them.
class DispatcherChooser {
public:
  DispatcherChooser(const Clock &Time, std::string OwnZone);

  /// Applies the current state of the fleet. The owners are computed again only
  /// if the state changed.
  void configure(const FleetSettings &Settings,
                 const std::set<std::string> &LiveNodes,
                 const std::set<std::string> &AdoptedZones);

  /// Returns the address of a dispatcher for a request to \p Service, or
  /// nothing if all owners are in \p Excluded. Among owners of about equal
  /// cost, \p Key decides, so that requests with equal prompts reach the same
  /// servers and hit their prefix caches.
  std::optional<std::string> choose(const std::string &Service,
                                    std::string_view Key,
                                    const std::set<std::string> &Excluded);

  void recordLoadHint(const std::string &Peer, const LoadHint &Hint);
  void recordSubmission(const std::string &Peer, const std::string &Service);
  void recordEnd(const std::string &Peer, const std::string &Service);

  /// Excludes \p Peer from the owners for a few seconds; its groups then go to
  /// the nodes that would own them without it. Returns whether it was an owner.
  bool handlePeerLoss(const std::string &Peer);

  /// Describes what choose() knows about \p Peer, as part of a sentence.
  std::string describe(const std::string &Peer,
                       const std::string &Service) const;

  /// Returns the dispatcher addresses of the nodes that are not known to be
  /// live.
  const std::set<std::string> &unconfirmedPeers() const {
    return this->UnconfirmedPeers;
  }

  /// Returns the shortest wait that the owners of the service expect for new
  /// online requests, in milliseconds. Returns nothing unless every owner sent
  /// a recent hint.
  std::optional<std::uint32_t>
  leastExpectedWait(const std::string &Service) const;

private:
  struct Owner {
    std::string Peer;
    bool IsInOwnZone = false;
    std::uint32_t Slots = 0;
  };
  struct ReceivedHint {
    LoadHint Hint;
    Instant ReceivedAt;
  };
  using PeerAndService = std::pair<std::string, std::string>;

  void updateOwners();
  double computeCost(const Owner &Candidate, const std::string &Service) const;
  const ReceivedHint *findFreshHint(const std::string &Peer,
                                    const std::string &Service) const;

  const Clock &Time;
  std::string OwnZone;
  const FleetSettings *Settings = nullptr;
  std::uint64_t Version = 0;
  std::set<std::string> LiveNodes;
  /// The time until which each lost peer is excluded.
  std::map<std::string, Instant> ExcludedUntil;
  std::set<std::string> AdoptedZones;
  std::set<std::string> UnconfirmedPeers;
  std::map<std::string, std::vector<Owner>> Owners;
  std::map<PeerAndService, ReceivedHint> Hints;
  std::map<PeerAndService, std::uint32_t> Outstanding;
};

} // namespace turmericpass

#endif
