#ifndef TURMERICPASS_SETTINGS_OWNERSHIP_H
#define TURMERICPASS_SETTINGS_OWNERSHIP_H

#include <set>
#include <string>
#include <vector>

namespace turmericpass {

struct FleetSettings;

/// The maximum number of backend servers in one group. One dispatcher schedules
/// a whole group, so that it can select, hedge and preempt among the group's
/// servers. The limit keeps the token traffic of a group within the capacity of
/// one thread.
constexpr std::size_t MaxServersPerGroup = 32;

/// Backend servers of one service in one zone that share an owner.
struct ServerGroup {
  std::string Service;
  std::string Zone;
  /// The node whose dispatcher owns the group; empty if none is live.
  std::string Owner;
  std::vector<std::string> Servers;
  /// The total number of slots of the group's servers.
  std::uint32_t Slots = 0;
};

/// Splits the servers of \p Settings into groups and selects an owner for each
/// group among the \p LiveNodes of its zone by rendezvous hashing. Nodes that
/// have reached the slot limit are skipped: with plain rendezvous hashing the
/// busiest of 410 nodes owned 133 servers at a mean of 29. The groups of a zone
/// without live nodes are assigned to live nodes of other zones if
/// \p AdoptedZones contains the zone; otherwise they have no owner.
std::vector<ServerGroup>
assignGroups(const FleetSettings &Settings,
             const std::set<std::string> &LiveNodes,
             const std::set<std::string> &AdoptedZones);

} // namespace turmericpass

#endif
