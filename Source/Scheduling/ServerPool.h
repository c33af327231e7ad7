#ifndef TURMERICPASS_SCHEDULING_SERVERPOOL_H
#define TURMERICPASS_SCHEDULING_SERVERPOOL_H

#include "Scheduling/ServerState.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericpass {

struct FleetSettings;

/// The backend servers that this node owns, and former ones that still run its
/// requests.
class ServerPool {
public:
  void configure(const FleetSettings &Settings,
                 const std::set<std::string> &OwnedServers);
  void setLeavingServers(const std::set<std::string> &Servers);

  /// Returns the server called \p Name, or nullptr.
  ServerState *find(const std::string &Name);

  /// Returns the servers of \p Service. The pointers stay valid until the next
  /// configure().
  const std::vector<ServerState *> &serversOf(const std::string &Service) const;

  /// Returns whether \p Service has a usable server.
  bool hasUsableServer(const std::string &Service) const;

  /// Returns the number of slots of usable servers that no online request uses.
  std::uint32_t slotsWithoutOnlineWork(const std::string &Service,
                                       Instant Now) const;

  /// Returns the number of requests that usable servers may run at once.
  std::uint32_t requestCapacity(const std::string &Service, Instant Now) const;

  /// Returns the number of free slots of usable servers.
  std::uint32_t freeSlots(const std::string &Service, Instant Now) const;

private:
  void indexByService();

  std::map<std::string, ServerState> Servers;
  std::map<std::string, std::vector<ServerState *>> ServersByService;
  std::set<std::string> LeavingServers;
};

} // namespace turmericpass

#endif
