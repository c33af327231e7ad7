#ifndef TURMERICPASS_SETTINGS_GROUPREADER_H
#define TURMERICPASS_SETTINGS_GROUPREADER_H

#include "Settings/SettingsTree.h"

#include <set>

namespace turmericpass {

/// Reads the keys of one group into typed members and lists what is wrong. A
/// key that is absent leaves the member as it is, unless it is required.
class GroupReader {
public:
  enum class Presence { Required, Optional };

  /// \p Path is the group's name in messages, such as "nodes.a1".
  GroupReader(const SettingGroup &Group, std::string Path,
              std::vector<SettingsProblem> &Problems);

  /// Each returns whether the key was there with a value of its type.
  bool text(const char *Key, std::string &Out, Presence Needed);
  /// An IPv4 address in numbers.
  bool address(const char *Key, std::string &Out);
  /// An IPv4 address and a port, "ip:port".
  bool endpoint(const char *Key, std::string &Out);
  bool flag(const char *Key, bool &Out);
  bool real(const char *Key, double &Out, double Least, double Most);
  bool names(const char *Key, std::vector<std::string> &Out, Presence Needed);
  /// One of \p Allowed; returns its index, or -1.
  int choice(const char *Key, const std::vector<std::string> &Allowed);

  template <typename T>
  bool integer(const char *Key, T &Out, std::int64_t Least, std::int64_t Most) {
    std::int64_t Read = 0;
    if (!this->wholeNumber(Key, Read, Least, Most))
      return false;
    Out = static_cast<T>(Read);
    return true;
  }

  bool has(const char *Key) const { return this->Group.Values.count(Key) > 0; }

  /// Lists a problem with \p Key at its place, or at the group's.
  void reject(const std::string &Key, std::string Found, std::string Allowed);

  /// Lists every key that was never read.
  void finish();

private:
  const SettingValue *find(const char *Key, Presence Needed);
  bool wholeNumber(const char *Key, std::int64_t &Out, std::int64_t Least,
                   std::int64_t Most);

  const SettingGroup &Group;
  std::string Path;
  std::vector<SettingsProblem> &Problems;
  std::set<std::string> Seen;
};

/// Returns whether \p Text is an IPv4 address in numbers.
bool isIpAddress(const std::string &Text);

/// Returns whether \p Text is "ip:port".
bool isEndpoint(const std::string &Text);

} // namespace turmericpass

#endif
