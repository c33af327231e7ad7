#ifndef TURMERICPASS_SETTINGS_SETTINGSRULES_H
#define TURMERICPASS_SETTINGS_SETTINGSRULES_H

#include "Settings/FleetSettings.h"
#include "Settings/SettingsTree.h"

#include <set>

namespace turmericpass {

/// Checks the constraints between the entries of a settings folder: references
/// must resolve, classes must not wait for each other in a cycle, and API keys,
/// models and ports must be unique. Also computes the ranks of the classes.
class SettingsRules {
public:
  SettingsRules(SettingsTree &Tree, FleetSettings &Settings)
      : Tree(Tree), Settings(Settings) {}

  void check();

private:
  void reject(const std::string &Section, const std::string &Name,
              const std::string &Key, std::string Found, std::string Allowed);
  void requireSections();
  void checkReference(const std::string &Section, const std::string &Name,
                      const std::string &Key, const std::string &Target,
                      const std::string &TargetSection);
  void checkReferences();
  void checkClasses();
  void checkKeysAndModels();
  void checkPorts();
  void registerListener(const std::string &Section, const std::string &Name,
                        const std::string &Key, const std::string &Endpoint);
  /// Returns the rank of the class \p Name. Reports each cycle once.
  std::uint32_t computeRank(const std::string &Name);

  SettingsTree &Tree;
  FleetSettings &Settings;
  /// The key that defines the listener at each "ip:port".
  std::map<std::string, std::string> Listeners;
  std::map<std::string, std::uint32_t> Ranks;
  /// The classes on the current path of the search for cycles.
  std::vector<std::string> ClassPath;
};

} // namespace turmericpass

#endif
