#ifndef TURMERICPASS_SCHEDULING_SERVERPOOL_H
#define TURMERICPASS_SCHEDULING_SERVERPOOL_H

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace turmericpass {

struct FleetSettings;

/// What the scheduler knows of one backend server.
struct ServerState {
  std::string Name;
  std::string Service;
  std::uint32_t Slots = 0;
  bool Owned = false;
  bool Leaving = false;
  std::uint32_t Running = 0;
  std::uint32_t RunningOnline = 0;

  bool isUsable() const { return this->Owned && !this->Leaving; }
};

/// The backend servers that this node owns, or owned and still uses.
class ServerPool {
public:
  void configure(const FleetSettings &Settings,
                 const std::set<std::string> &Owned);
  void setLeaving(const std::set<std::string> &Servers);

  /// Returns the server called \p Name, or nullptr.
  ServerState *find(const std::string &Name);

  /// Returns the usable server of \p Service with the most free slots, or
  /// nullptr if none has one.
  ServerState *mostFree(const std::string &Service);

  /// Returns whether any server of \p Service can be used.
  bool serves(const std::string &Service) const;

  /// Returns the slots of usable servers that nothing online holds.
  std::uint32_t freeOfOnline(const std::string &Service) const;

private:
  std::map<std::string, ServerState> Servers;
  std::set<std::string> Leaving;
};

} // namespace turmericpass

#endif
