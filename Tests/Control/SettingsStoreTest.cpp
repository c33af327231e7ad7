#include "Control/SettingsStore.h"

#include "Core/Clock.h"
#include "Core/IdSource.h"
#include "Support/ControlFleet.h"
#include "Support/MemoryTable.h"

#include <criterion/criterion.h>
#include <optional>
#include <rapidcheck.h>

using namespace turmericpass;

namespace {

/// An operator with a separate connection to the shared table.
struct Operator {
  Operator(std::string Name, const std::shared_ptr<MemoryTable::Content> &Rows,
           std::uint64_t Seed)
      : Name(std::move(Name)), Rows(Rows), Ids(Seed),
        Store(this->Rows, this->Ids, this->Time) {}

  void apply(std::uint64_t From, const std::string &Mark) {
    this->Outcome.reset();
    this->Store.apply(From, this->Name, makeFolder(Mark),
                      [this](Result<SettingsManifest> Done) {
                        this->Outcome = std::move(Done);
                      });
  }

  std::string Name;
  ManualClock Time;
  MemoryTable Rows;
  IdSource Ids;
  SettingsStore Store;
  std::optional<Result<SettingsManifest>> Outcome;
};

std::vector<SettingsManifest> historyOf(Operator &Reader) {
  std::vector<SettingsManifest> Versions;
  Reader.Store.history(1000, [&](const auto &Read) { Versions = *Read; });
  return Versions;
}

StoredSettings fetchWith(Operator &Reader,
                         std::vector<SettingsFile> KnownFiles) {
  Result<StoredSettings> Stored =
      failure(ErrorCode::Internal, "The read did not complete.");
  Reader.Store.fetch(
      std::move(KnownFiles),
      [&](const Result<StoredSettings> &Read) { Stored = Read; });
  cr_assert(Stored.has_value(), "%s", Stored.error().Message.c_str());
  return *Stored;
}

} // namespace

// Guards against silently losing one of two concurrent changes.
Test(SettingsStore, LostRaceNamesWhoAndWhat) {
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Operator Anna("anna", Rows, 1);
  Operator Bruno("bruno", Rows, 2);
  Anna.apply(0, "a");
  cr_assert(Anna.Outcome->has_value());
  // Both changes are based on version 1, and Anna's write arrives after
  // Bruno's.
  Anna.Rows.Faults.Pick = [](const std::string &Call) {
    return Call.starts_with("transact") ? StoreFault::Slow : StoreFault::None;
  };
  Anna.apply(1, "b");
  cr_assert(!Anna.Outcome.has_value());
  Bruno.apply(1, "c");
  cr_assert(Bruno.Outcome->has_value());
  Anna.Rows.Faults.release();
  cr_assert(!Anna.Outcome->has_value());
  cr_assert(Anna.Outcome->error().Code == ErrorCode::Conflict);
  const std::string &Message = Anna.Outcome->error().Message;
  cr_assert(Message.find("bruno") != std::string::npos);
  cr_assert(Message.find("changed 20-classes.toml") != std::string::npos);
  cr_assert(historyOf(Bruno).size() == 2);
}

// Guards against applying a version twice when the first write arrives after
// its retry.
Test(SettingsStore, LateWriteTakesEffectOnce) {
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Operator Anna("anna", Rows, 1);
  Anna.Rows.Faults.Next = {StoreFault::None, StoreFault::LateEffect};
  Anna.apply(0, "a");
  cr_assert(Anna.Outcome->has_value());
  Anna.Rows.Faults.release();
  cr_assert(historyOf(Anna).size() == 1);
}

// Guards against reporting a conflict with the operator's own write, which took
// effect between reading the row back and the retry.
Test(SettingsStore, OwnLateWriteIsNoConflict) {
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Operator Anna("anna", Rows, 1);
  int Writes = 0;
  Anna.Rows.Faults.Pick = [&](const std::string &Call) {
    if (!Call.starts_with("transact"))
      return StoreFault::None;
    if (++Writes == 1)
      return StoreFault::LateEffect;
    Anna.Rows.Faults.release();
    return StoreFault::None;
  };
  Anna.apply(0, "a");
  cr_assert(Writes == 2);
  cr_assert(Anna.Outcome->has_value());
  cr_assert(historyOf(Anna).size() == 1);
}

// Guards against reporting a definite outcome when no reply arrives at all.
Test(SettingsStore, UnknownOutcomeIsReportedAsSuch) {
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Operator Anna("anna", Rows, 1);
  Anna.Rows.Faults.Next = {StoreFault::None};
  Anna.Rows.Faults.Always = StoreFault::ReplyLost;
  Anna.apply(0, "a");
  cr_assert(!Anna.Outcome->has_value());
  cr_assert(Anna.Outcome->error().Code == ErrorCode::Timeout);
}

// Guards against reporting a wrong outcome under any sequence of store faults.
Test(SettingsStore, VerdictsAreTrueUnderFaults) {
  cr_assert(rc::check([](const std::vector<bool> &WriterChoices) {
    const auto Rows = std::make_shared<MemoryTable::Content>();
    Operator Anna("anna", Rows, 1);
    Operator Bruno("bruno", Rows, 2);
    Operator Reader("reader", Rows, 3);
    int Mark = 0;
    for (const bool AnnaWrites : WriterChoices) {
      Operator &Writer = AnnaWrites ? Anna : Bruno;
      Writer.Rows.Faults.Next.clear();
      for (int I = 0; I < 6; ++I)
        Writer.Rows.Faults.Next.push_back(*rc::gen::element(
            StoreFault::None, StoreFault::None, StoreFault::ReplyLost,
            StoreFault::LateEffect, StoreFault::Unavailable));
      const auto Before = historyOf(Reader);
      const std::uint64_t From = Before.size() - *rc::gen::inRange(0, 2);
      Writer.apply(From, std::to_string(++Mark));
      RC_ASSERT(Writer.Outcome.has_value());
      const auto After = historyOf(Reader);
      if (Writer.Outcome->has_value()) {
        RC_ASSERT(After.size() == Before.size() + 1);
        RC_ASSERT(After.front().Operator == Writer.Name);
        RC_ASSERT(fetchWith(Reader, {}).Files[1].Text ==
                  makeFolder(std::to_string(Mark))[1].Text);
      } else if (Writer.Outcome->error().Code != ErrorCode::Timeout) {
        RC_ASSERT(After.size() == Before.size());
      }
      Writer.Rows.Faults.Next.clear();
      Writer.Rows.Faults.release();
    }
    const auto All = historyOf(Reader);
    for (std::size_t I = 0; I < All.size(); ++I)
      RC_ASSERT(All[I].Version == All.size() - I);
  }));
}

// Guards against transferring all files for a change to one file.
Test(SettingsStore, OnlyChangedFilesAreRead) {
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Operator Anna("anna", Rows, 1);
  Anna.apply(0, "a");
  const StoredSettings First = fetchWith(Anna, {});
  Anna.apply(1, "b");
  Anna.Rows.Faults.Reads = 0;
  const StoredSettings Second = fetchWith(Anna, First.Files);
  cr_assert(Anna.Rows.Faults.Reads == 2);
  cr_assert(Second.Files[1].Text == makeFolder("b")[1].Text);
}

// Guards against a table that grows with every version, and against deleting a
// file that a kept version still contains.
Test(SettingsStore, OldVersionsAreDroppedAndKeptOnesAreWhole) {
  const auto Rows = std::make_shared<MemoryTable::Content>();
  Operator Anna("anna", Rows, 1);
  const std::uint64_t Count = SettingsStore::KeptVersions + 20;
  for (std::uint64_t Version = 0; Version < Count; ++Version) {
    Anna.apply(Version, Version % 3 == 0 ? "a" : "b");
    cr_assert(Anna.Outcome->has_value());
  }
  const auto Versions = historyOf(Anna);
  cr_assert(Versions.size() == SettingsStore::KeptVersions);
  std::set<std::string> ReferencedKeys;
  for (const SettingsManifest &Version : Versions)
    for (const ManifestFile &File : Version.Files) {
      const std::string Key = "settings/file/" +
                              std::to_string(File.WrittenInVersion) + "/" +
                              File.Name;
      cr_assert(Rows->count(Key) == 1, "%s is missing", Key.c_str());
      ReferencedKeys.insert(Key);
    }
  cr_assert(Rows->size() == 1 + Versions.size() + ReferencedKeys.size());
}
