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

/// A settings version with the text of its files.
struct StoredSettings {
  SettingsManifest Manifest;
  std::vector<SettingsFile> Files;
};

/// The settings versions in the platform's table. Errors that are not
/// documented below come from the table. The object must outlive its calls.
class SettingsStore {
public:
  using ManifestCallback = std::function<void(Result<SettingsManifest>)>;
  using FetchCallback = std::function<void(Result<StoredSettings>)>;
  using HistoryCallback =
      std::function<void(Result<std::vector<SettingsManifest>>)>;

  /// The number of versions that are kept. apply() deletes older rows.
  static constexpr std::uint64_t KeptVersions = 200;

  SettingsStore(Table &Rows, IdSource &Ids, const Clock &Time);

  /// Passes the newest manifest to \p Done. Its version is 0 if none has ever
  /// been applied.
  void readHead(ManifestCallback Done);

  /// Passes the newest version with all its files to \p Done. Those of
  /// \p KnownFiles whose text has not changed are not read again.
  void fetch(std::vector<SettingsFile> KnownFiles, FetchCallback Done);

  /// Applies \p Files as the version that follows \p BaseVersion, on behalf of
  /// the operator \p Operator. The files must have been checked. Errors:
  /// Conflict if another version was applied first (the message names its
  /// operator and the files that it changed), Timeout if the outcome is
  /// unknown.
  void apply(std::uint64_t BaseVersion, const std::string &Operator,
             std::vector<SettingsFile> Files, ManifestCallback Done);

  /// Passes the manifests of at most \p Limit versions to \p Done, newest
  /// first.
  void history(std::size_t Limit, HistoryCallback Done);

private:
  struct FetchOperation;
  struct ApplyOperation;

  void readManifest(const std::string &Key, ManifestCallback Done);
  void fetchNextFile(const std::shared_ptr<FetchOperation> &State);
  void checkBaseVersion(const std::shared_ptr<ApplyOperation> &State,
                        const TableRow &Row);
  void deleteOldVersion(const std::shared_ptr<ApplyOperation> &State);
  void writeVersion(const std::shared_ptr<ApplyOperation> &State);
  void resolveOutcome(const std::shared_ptr<ApplyOperation> &State,
                      const Error &Reason);

  Table &Rows;
  IdSource &Ids;
  const Clock &Time;
};

} // namespace turmericpass

#endif
