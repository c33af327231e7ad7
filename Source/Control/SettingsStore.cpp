#include "Control/SettingsStore.h"

#include "Core/Clock.h"
#include "Core/Hash.h"
#include "Core/IdSource.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

constexpr const char *HeadKey = "settings/head";
constexpr const char *VersionPrefix = "settings/version/";

/// The maximum number of writes and reads of a table that loses every reply.
/// After them, the outcome is reported as unknown.
constexpr int MaxAttempts = 6;

/// Leading zeros make the lexical order of the keys the order of the versions.
std::string versionKey(std::uint64_t Version) {
  constexpr std::size_t Digits = 20;
  const std::string Number = std::to_string(Version);
  return VersionPrefix + std::string(Digits - Number.size(), '0') + Number;
}

std::string fileKey(const ManifestFile &File) {
  return "settings/file/" + std::to_string(File.WrittenInVersion) + "/" +
         File.Name;
}

bool isOutcomeUncertain(ErrorCode Code) {
  return Code == ErrorCode::Timeout || Code == ErrorCode::Conflict;
}

} // namespace

struct SettingsStore::FetchOperation {
  std::vector<SettingsFile> KnownFiles;
  StoredSettings Result;
  FetchCallback Done;
};

struct SettingsStore::ApplyOperation {
  std::uint64_t BaseVersion = 0;
  std::string Operator;
  std::vector<SettingsFile> Files;
  SettingsManifest Next;
  TableTransaction Transaction;
  int Attempts = 0;
  ManifestCallback Done;
};

SettingsStore::SettingsStore(Table &Rows, IdSource &Ids, const Clock &Time)
    : Rows(Rows), Ids(Ids), Time(Time) {}

void SettingsStore::readManifest(const std::string &Key,
                                 ManifestCallback Done) {
  this->Rows.get(Key, [Done = std::move(Done)](const Result<TableRow> &Row) {
    if (Row)
      Done(parseManifest(Row->Value));
    else
      Done(tl::make_unexpected(Row.error()));
  });
}

void SettingsStore::readHead(ManifestCallback Done) {
  this->readManifest(HeadKey,
                     [Done = std::move(Done)](Result<SettingsManifest> Read) {
                       if (!Read && Read.error().Code == ErrorCode::NotFound)
                         Done(SettingsManifest{});
                       else
                         Done(std::move(Read));
                     });
}

void SettingsStore::fetch(std::vector<SettingsFile> KnownFiles,
                          FetchCallback Done) {
  auto State = std::make_shared<FetchOperation>();
  State->KnownFiles = std::move(KnownFiles);
  State->Done = std::move(Done);
  this->readHead([this, State](Result<SettingsManifest> Read) {
    if (!Read) {
      State->Done(tl::make_unexpected(Read.error()));
      return;
    }
    State->Result.Manifest = std::move(*Read);
    this->fetchNextFile(State);
  });
}

void SettingsStore::fetchNextFile(
    const std::shared_ptr<FetchOperation> &State) {
  StoredSettings &Fetched = State->Result;
  while (Fetched.Files.size() < Fetched.Manifest.Files.size()) {
    const ManifestFile &Wanted = Fetched.Manifest.Files[Fetched.Files.size()];
    const auto Known =
        std::find_if(State->KnownFiles.begin(), State->KnownFiles.end(),
                     [&](const SettingsFile &File) {
                       return File.Name == Wanted.Name &&
                              sha256Hex(File.Text) == Wanted.Hash;
                     });
    if (Known != State->KnownFiles.end()) {
      Fetched.Files.push_back(*Known);
      continue;
    }
    this->Rows.get(
        fileKey(Wanted), [this, State, Wanted](const Result<TableRow> &Row) {
          if (!Row)
            State->Done(tl::make_unexpected(Row.error()));
          else if (sha256Hex(Row->Value) != Wanted.Hash)
            State->Done(failure(
                ErrorCode::Malformed,
                "The text of " + Wanted.Name +
                    " in the table does not match the hash in its manifest."));
          else {
            State->Result.Files.push_back({Wanted.Name, Row->Value});
            this->fetchNextFile(State);
          }
        });
    return;
  }
  State->Done(std::move(Fetched));
}

void SettingsStore::apply(std::uint64_t BaseVersion,
                          const std::string &Operator,
                          std::vector<SettingsFile> Files,
                          ManifestCallback Done) {
  auto State = std::make_shared<ApplyOperation>();
  State->BaseVersion = BaseVersion;
  State->Operator = Operator;
  State->Files = std::move(Files);
  State->Done = std::move(Done);
  this->Rows.get(HeadKey, [this, State](const Result<TableRow> &Row) {
    if (Row)
      this->checkBaseVersion(State, *Row);
    else if (Row.error().Code == ErrorCode::NotFound)
      this->checkBaseVersion(State, TableRow{});
    else
      State->Done(tl::make_unexpected(Row.error()));
  });
}

void SettingsStore::checkBaseVersion(
    const std::shared_ptr<ApplyOperation> &State, const TableRow &Row) {
  Result<SettingsManifest> Base = SettingsManifest{};
  if (Row.Version > 0)
    Base = parseManifest(Row.Value);
  if (!Base) {
    State->Done(tl::make_unexpected(Base.error()));
    return;
  }
  if (Base->Version != State->BaseVersion) {
    State->Done(failure(
        ErrorCode::Conflict,
        "The change is based on version " + std::to_string(State->BaseVersion) +
            ", but the newest is " + describe(*Base) +
            ". Merge that change and apply again from version " +
            std::to_string(Base->Version) + "."));
    return;
  }
  State->Next = nextManifest(*Base, State->Files);
  State->Next.Operator = State->Operator;
  State->Next.AppliedAtMs = this->Time.wallMillis();
  TableTransaction &Write = State->Transaction;
  Write.WriteId = this->Ids.longId();
  // The check on the row of the head fails if another version has been applied
  // since.
  Write.Checks = {{HeadKey, Row.Version}};
  const std::string Json = toJson(State->Next);
  Write.Puts = {{HeadKey, Json}, {versionKey(State->Next.Version), Json}};
  for (std::size_t I = 0; I < State->Files.size(); ++I)
    if (State->Next.Files[I].WrittenInVersion == State->Next.Version)
      Write.Puts.push_back(
          {fileKey(State->Next.Files[I]), State->Files[I].Text});
  this->deleteOldVersion(State);
}

void SettingsStore::deleteOldVersion(
    const std::shared_ptr<ApplyOperation> &State) {
  if (State->Next.Version <= KeptVersions) {
    this->writeVersion(State);
    return;
  }
  const std::uint64_t Old = State->Next.Version - KeptVersions;
  this->readManifest(
      versionKey(Old),
      [this, State, Old](const Result<SettingsManifest> &Dropped) {
        this->readManifest(
            versionKey(Old + 1),
            [this, State, Old, Dropped](const Result<SettingsManifest> &Kept) {
              if (Dropped && Kept) {
                State->Transaction.Deletes.push_back(versionKey(Old));
                std::vector<std::string> KeptKeys;
                for (const ManifestFile &File : Kept->Files)
                  KeptKeys.push_back(fileKey(File));
                for (const ManifestFile &File : Dropped->Files)
                  if (std::find(KeptKeys.begin(), KeptKeys.end(),
                                fileKey(File)) == KeptKeys.end())
                    State->Transaction.Deletes.push_back(fileKey(File));
              }
              this->writeVersion(State);
            });
      });
}

void SettingsStore::writeVersion(const std::shared_ptr<ApplyOperation> &State) {
  ++State->Attempts;
  this->Rows.transact(State->Transaction,
                      [this, State](const Result<void> &Written) {
                        if (Written)
                          State->Done(State->Next);
                        else if (isOutcomeUncertain(Written.error().Code))
                          this->resolveOutcome(State, Written.error());
                        else
                          State->Done(tl::make_unexpected(Written.error()));
                      });
}

/// Determines the outcome of a write by reading the row of the version back. A
/// conflict is resolved in the same way, because it may be caused by this write
/// itself if its first reply was lost.
void SettingsStore::resolveOutcome(const std::shared_ptr<ApplyOperation> &State,
                                   const Error &Reason) {
  const std::string Key = versionKey(State->Next.Version);
  this->Rows.get(Key, [this, State, Reason](const Result<TableRow> &Row) {
    if (Row && Row->WriteId == State->Transaction.WriteId) {
      State->Done(State->Next);
      return;
    }
    if (Row) {
      const Result<SettingsManifest> Applied = parseManifest(Row->Value);
      State->Done(
          failure(ErrorCode::Conflict,
                  "The change is based on version " +
                      std::to_string(State->BaseVersion) +
                      ", but another change was applied first: " +
                      (Applied ? describe(*Applied) : Applied.error().Message) +
                      ". Merge that change and apply again."));
      return;
    }
    if (State->Attempts >= MaxAttempts) {
      State->Done(failure(ErrorCode::Timeout,
                          "It is not known whether version " +
                              std::to_string(State->Next.Version) +
                              " was applied (" + Reason.Message +
                              "); check the history before applying again."));
      return;
    }
    // The write has not taken effect yet. It is repeated under the same id, so
    // that it takes effect once even if the first one still arrives.
    if (Row.error().Code == ErrorCode::NotFound) {
      this->writeVersion(State);
      return;
    }
    ++State->Attempts;
    this->resolveOutcome(State, Reason);
  });
}

void SettingsStore::history(std::size_t Limit, HistoryCallback Done) {
  this->readHead([this, Limit, Done = std::move(Done)](
                     const Result<SettingsManifest> &Head) {
    if (!Head) {
      Done(tl::make_unexpected(Head.error()));
      return;
    }
    const std::uint64_t After =
        Head->Version > Limit ? Head->Version - Limit : 0;
    this->Rows.scan(VersionPrefix, versionKey(After), Limit,
                    [Done](const Result<std::vector<TableRow>> &Found) {
                      if (!Found) {
                        Done(tl::make_unexpected(Found.error()));
                        return;
                      }
                      std::vector<SettingsManifest> Versions;
                      for (const TableRow &Row : *Found)
                        if (Result<SettingsManifest> Read =
                                parseManifest(Row.Value))
                          Versions.push_back(std::move(*Read));
                      std::reverse(Versions.begin(), Versions.end());
                      Done(std::move(Versions));
                    });
  });
}

} // namespace turmericpass
