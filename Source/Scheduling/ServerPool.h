#ifndef TURMERICPASS_SCHEDULING_SERVERPOOL_H
#define TURMERICPASS_SCHEDULING_SERVERPOOL_H

#include "Scheduling/ServerState.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericpass {

struct FleetSettings;

/// The backend servers that this node owns, and those that it no longer owns
/// but still uses.
class ServerPool {
public:
  void configure(const FleetSettings &Settings,
                 const std::set<std::string> &Owned);
  void setLeavingServers(const std::set<std::string> &Servers);

  /// Returns the server called \p Name, or nullptr.
  ServerState *find(const std::string &Name);

  /// Returns the servers of \p Service. The pointers hold until the next
  /// configure().
  const std::vector<ServerState *> &of(const std::string &Service) const;

  /// Returns whether any server of \p Service can be used.
  bool serves(const std::string &Service) const;

  /// Returns the slots of usable servers that nothing online holds.
  std::uint32_t freeOfOnline(const std::string &Service, Instant Now) const;

  /// Returns the requests that usable servers may run at once.
  std::uint32_t capacity(const std::string &Service, Instant Now) const;

  /// Returns the slots of usable servers that nothing holds.
  std::uint32_t freeSlots(const std::string &Service, Instant Now) const;

private:
  void index();

  std::map<std::string, ServerState> Servers;
  std::map<std::string, std::vector<ServerState *>> ByService;
  std::set<std::string> Leaving;
};

} // namespace turmericpass

#endif
