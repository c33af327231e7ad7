#ifndef TURMERICPASS_SETTINGS_GROUPREADER_H
#define TURMERICPASS_SETTINGS_GROUPREADER_H

#include "Settings/SettingsTree.h"

#include <set>

namespace turmericpass {

/// Reads the keys of one group into typed variables and records a problem for
/// each invalid value. An absent optional key leaves its variable unchanged; an
/// absent required key is a problem.
class GroupReader {
public:
  enum class Presence { Required, Optional };

  /// \p Path is the group's name in problem reports, such as "nodes.a1".
  GroupReader(const SettingGroup &Group, std::string Path,
              std::vector<SettingsProblem> &Problems);

  /// Each of these functions returns whether the key is present with a valid
  /// value.
  bool readText(const char *Key, std::string &Out, Presence Needed);
  /// Reads an IPv4 address in dotted decimal notation.
  bool readAddress(const char *Key, std::string &Out);
  /// Reads an IPv4 address and a port, "ip:port".
  bool readEndpoint(const char *Key, std::string &Out);
  bool readFlag(const char *Key, bool &Out);
  bool readReal(const char *Key, double &Out, double Min, double Max);
  bool readNames(const char *Key, std::vector<std::string> &Out,
                 Presence Needed);
  /// Reads one of the strings in \p Allowed. Returns its index, or -1 if the
  /// key is absent or has another value.
  int readChoice(const char *Key, const std::vector<std::string> &Allowed);

  template <typename T>
  bool readInteger(const char *Key, T &Out, std::int64_t Min,
                   std::int64_t Max) {
    std::int64_t Value = 0;
    if (!this->readIntegerInRange(Key, Value, Min, Max))
      return false;
    Out = static_cast<T>(Value);
    return true;
  }

  bool has(const char *Key) const { return this->Group.Values.count(Key) > 0; }

  /// Records a problem with \p Key, at the location of the key or, if it is
  /// absent, of the group.
  void reject(const std::string &Key, std::string Found, std::string Allowed);

  /// Records a problem for every key of the group that was never read.
  void reportUnknownKeys();

private:
  const SettingValue *find(const char *Key, Presence Needed);
  bool readIntegerInRange(const char *Key, std::int64_t &Out, std::int64_t Min,
                          std::int64_t Max);

  const SettingGroup &Group;
  std::string Path;
  std::vector<SettingsProblem> &Problems;
  std::set<std::string> ReadKeys;
};

/// Returns whether \p Text is an IPv4 address in dotted decimal notation.
bool isIpAddress(const std::string &Text);

/// Returns whether \p Text is "ip:port".
bool isEndpoint(const std::string &Text);

} // namespace turmericpass

#endif
