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

/// A table that loses every reply is given up after this many writes and
/// reads, and the operator is told that the outcome is not known.
constexpr int MaxTries = 6;

/// Zeros in front make the order of keys the order of versions.
std::string versionKey(std::uint64_t Version) {
  constexpr std::size_t Digits = 20;
  const std::string Number = std::to_string(Version);
  return VersionPrefix + std::string(Digits - Number.size(), '0') + Number;
}

std::string fileKey(const ManifestFile &File) {
  return "settings/file/" + std::to_string(File.Since) + "/" + File.Name;
}

bool mayHaveWritten(ErrorCode Code) {
  return Code == ErrorCode::Timeout || Code == ErrorCode::Conflict;
}

} // namespace

struct SettingsStore::Fetching {
  std::vector<SettingsFile> Have;
  StoredSettings Result;
  FetchCallback Done;
};

struct SettingsStore::Applying {
  std::uint64_t From = 0;
  std::string By;
  std::vector<SettingsFile> Files;
  SettingsManifest Next;
  TableTransaction Transaction;
  int Tries = 0;
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

void SettingsStore::head(ManifestCallback Done) {
  this->readManifest(HeadKey,
                     [Done = std::move(Done)](Result<SettingsManifest> Read) {
                       if (!Read && Read.error().Code == ErrorCode::NotFound)
                         Done(SettingsManifest{});
                       else
                         Done(std::move(Read));
                     });
}

void SettingsStore::fetch(std::vector<SettingsFile> Have, FetchCallback Done) {
  auto State = std::make_shared<Fetching>();
  State->Have = std::move(Have);
  State->Done = std::move(Done);
  this->head([this, State](Result<SettingsManifest> Read) {
    if (!Read) {
      State->Done(tl::make_unexpected(Read.error()));
      return;
    }
    State->Result.Manifest = std::move(*Read);
    this->fetchNext(State);
  });
}

void SettingsStore::fetchNext(const std::shared_ptr<Fetching> &State) {
  StoredSettings &Out = State->Result;
  while (Out.Files.size() < Out.Manifest.Files.size()) {
    const ManifestFile &Wanted = Out.Manifest.Files[Out.Files.size()];
    const auto Known = std::find_if(
        State->Have.begin(), State->Have.end(), [&](const SettingsFile &File) {
          return File.Name == Wanted.Name &&
                 sha256Hex(File.Text) == Wanted.Hash;
        });
    if (Known != State->Have.end()) {
      Out.Files.push_back(*Known);
      continue;
    }
    this->Rows.get(
        fileKey(Wanted), [this, State, Wanted](const Result<TableRow> &Row) {
          if (!Row)
            State->Done(tl::make_unexpected(Row.error()));
          else if (sha256Hex(Row->Value) != Wanted.Hash)
            State->Done(failure(ErrorCode::Malformed,
                                "The table's text of " + Wanted.Name +
                                    " does not have the hash of its version."));
          else {
            State->Result.Files.push_back({Wanted.Name, Row->Value});
            this->fetchNext(State);
          }
        });
    return;
  }
  State->Done(std::move(Out));
}

void SettingsStore::apply(std::uint64_t From, const std::string &By,
                          std::vector<SettingsFile> Files,
                          ManifestCallback Done) {
  auto State = std::make_shared<Applying>();
  State->From = From;
  State->By = By;
  State->Files = std::move(Files);
  State->Done = std::move(Done);
  this->Rows.get(HeadKey, [this, State](const Result<TableRow> &Row) {
    if (Row)
      this->checkBase(State, *Row);
    else if (Row.error().Code == ErrorCode::NotFound)
      this->checkBase(State, TableRow{});
    else
      State->Done(tl::make_unexpected(Row.error()));
  });
}

void SettingsStore::checkBase(const std::shared_ptr<Applying> &State,
                              const TableRow &Row) {
  Result<SettingsManifest> Base = SettingsManifest{};
  if (Row.Version > 0)
    Base = parseManifest(Row.Value);
  if (!Base) {
    State->Done(tl::make_unexpected(Base.error()));
    return;
  }
  if (Base->Version != State->From) {
    State->Done(failure(ErrorCode::Conflict,
                        "You started from version " +
                            std::to_string(State->From) +
                            ", but the newest is " + describe(*Base) +
                            ". Merge that change and apply from version " +
                            std::to_string(Base->Version) + "."));
    return;
  }
  State->Next = nextManifest(*Base, State->Files);
  State->Next.By = State->By;
  State->Next.AtMs = this->Time.wallMillis();
  TableTransaction &Write = State->Transaction;
  Write.WriteId = this->Ids.longId();
  // The check on the head makes this version follow the one it started from.
  Write.Checks = {{HeadKey, Row.Version}};
  const std::string Json = toJson(State->Next);
  Write.Puts = {{HeadKey, Json}, {versionKey(State->Next.Version), Json}};
  for (std::size_t I = 0; I < State->Files.size(); ++I)
    if (State->Next.Files[I].Since == State->Next.Version)
      Write.Puts.push_back(
          {fileKey(State->Next.Files[I]), State->Files[I].Text});
  this->dropOld(State);
}

void SettingsStore::dropOld(const std::shared_ptr<Applying> &State) {
  if (State->Next.Version <= KeptVersions) {
    this->write(State);
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
                std::vector<std::string> Needed;
                for (const ManifestFile &File : Kept->Files)
                  Needed.push_back(fileKey(File));
                for (const ManifestFile &File : Dropped->Files)
                  if (std::find(Needed.begin(), Needed.end(), fileKey(File)) ==
                      Needed.end())
                    State->Transaction.Deletes.push_back(fileKey(File));
              }
              this->write(State);
            });
      });
}

void SettingsStore::write(const std::shared_ptr<Applying> &State) {
  ++State->Tries;
  this->Rows.transact(State->Transaction,
                      [this, State](const Result<void> &Written) {
                        if (Written)
                          State->Done(State->Next);
                        else if (mayHaveWritten(Written.error().Code))
                          this->settle(State, Written.error());
                        else
                          State->Done(tl::make_unexpected(Written.error()));
                      });
}

/// Reads the row of the version back. A conflict is settled in the same way,
/// because the cause may be this very write, whose first reply was lost.
void SettingsStore::settle(const std::shared_ptr<Applying> &State,
                           const Error &Reason) {
  const std::string Key = versionKey(State->Next.Version);
  this->Rows.get(Key, [this, State, Reason](const Result<TableRow> &Row) {
    if (Row && Row->WriteId == State->Transaction.WriteId) {
      State->Done(State->Next);
      return;
    }
    if (Row) {
      const Result<SettingsManifest> Winner = parseManifest(Row->Value);
      State->Done(
          failure(ErrorCode::Conflict,
                  "You started from version " + std::to_string(State->From) +
                      ", but first came " +
                      (Winner ? describe(*Winner) : Winner.error().Message) +
                      ". Merge that change and apply again."));
      return;
    }
    if (State->Tries >= MaxTries) {
      State->Done(failure(ErrorCode::Timeout,
                          "It is not known whether version " +
                              std::to_string(State->Next.Version) +
                              " was applied (" + Reason.Message +
                              "); look at the history before a new try."));
      return;
    }
    // The write has not taken effect yet. The same id makes a second write
    // harmless if the first one still arrives.
    if (Row.error().Code == ErrorCode::NotFound) {
      this->write(State);
      return;
    }
    ++State->Tries;
    this->settle(State, Reason);
  });
}

void SettingsStore::history(std::size_t Limit, HistoryCallback Done) {
  this->head([this, Limit,
              Done = std::move(Done)](const Result<SettingsManifest> &Head) {
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
