#ifndef TURMERICPASS_CONTROL_SETTINGSSTORE_H
#define TURMERICPASS_CONTROL_SETTINGSSTORE_H

#include "Control/SettingsManifest.h"
#include "Platform/Table.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace turmericpass {

class Clock;
class IdSource;

/// A version with the text of its files.
struct StoredSettings {
  SettingsManifest Manifest;
  std::vector<SettingsFile> Files;
};

/// The versions of the settings in the platform's table. Errors that have no
/// mention below come from the table. The object must outlive its calls.
class SettingsStore {
public:
  using ManifestCallback = std::function<void(Result<SettingsManifest>)>;
  using FetchCallback = std::function<void(Result<StoredSettings>)>;
  using HistoryCallback =
      std::function<void(Result<std::vector<SettingsManifest>>)>;

  /// How many versions are kept; older rows are deleted by apply().
  static constexpr std::uint64_t KeptVersions = 200;

  SettingsStore(Table &Rows, IdSource &Ids, const Clock &Time);

  /// Gives the newest version, or version 0 if nothing was ever applied.
  void head(ManifestCallback Done);

  /// Gives the newest version whole. Files of \p Have with the same text are
  /// not read again.
  void fetch(std::vector<SettingsFile> Have, FetchCallback Done);

  /// Makes \p Files the version after \p From. They must have been checked.
  /// Errors: Conflict if another version came first (the message says whose
  /// and what it changed), Timeout if the outcome is not known.
  void apply(std::uint64_t From, const std::string &By,
             std::vector<SettingsFile> Files, ManifestCallback Done);

  /// Gives at most \p Limit versions, the newest first.
  void history(std::size_t Limit, HistoryCallback Done);

private:
  struct Fetching;
  struct Applying;

  void readManifest(const std::string &Key, ManifestCallback Done);
  void fetchNext(const std::shared_ptr<Fetching> &State);
  void checkBase(const std::shared_ptr<Applying> &State, const TableRow &Row);
  void dropOld(const std::shared_ptr<Applying> &State);
  void write(const std::shared_ptr<Applying> &State);
  void settle(const std::shared_ptr<Applying> &State, const Error &Reason);

  Table &Rows;
  IdSource &Ids;
  const Clock &Time;
};

} // namespace turmericpass

#endif
