#include "Settings/SettingsFolder.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <rapidcheck.h>
#include <set>
#include <sstream>

using namespace turmericpass;

namespace {

std::vector<SettingsFile> readFolder(const std::filesystem::path &Folder) {
  const auto Files = readSettingsFolder(Folder.string());
  cr_assert(Files.has_value(), "%s", Files.error().Message.c_str());
  return *Files;
}

std::string formatProblems(const std::vector<SettingsFile> &Files) {
  std::string Text;
  for (const SettingsProblem &Problem : checkSettings(Files).Problems)
    Text += Problem.toText() + "\n";
  return Text;
}

std::string readText(const std::filesystem::path &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

} // namespace

Test(Settings, ExamplesAreValidAndHaveTheStatedSizes) {
  const std::filesystem::path Examples = TURMERICPASS_EXAMPLES;
  const auto Gradini = readFolder(Examples / "gradini");
  cr_assert(formatProblems(Gradini).empty());
  cr_assert(checkSettings(Gradini).Settings.Nodes.size() == 12);
  cr_assert(checkSettings(Gradini).Settings.Servers.size() == 12 + 3);
  cr_assert(checkSettings(Gradini).Settings.Classes.at("survey").Rank == 2);
  const auto Hanbit = readFolder(Examples / "hanbit");
  cr_assert(formatProblems(Hanbit).empty());
  cr_assert(checkSettings(Hanbit).Settings.Servers.size() == 20 + 3);
}

// Guards against invalid folders being accepted, and against messages that lack
// the location, the key or the allowed values.
Test(Settings, WrongFoldersGiveExactlyTheExpectedProblems) {
  const std::filesystem::path Cases =
      std::filesystem::path(TURMERICPASS_TEST_DATA) / "Cases";
  const auto Base =
      readFolder(std::filesystem::path(TURMERICPASS_TEST_DATA) / "Base");
  cr_assert(formatProblems(Base).empty());
  std::size_t Count = 0;
  for (const auto &Entry : std::filesystem::directory_iterator(Cases)) {
    std::vector<SettingsFile> Files = readFolder(Entry.path());
    // A case adds its files to the valid base unless it is marked as
    // standalone.
    if (!std::filesystem::exists(Entry.path() / "standalone"))
      Files.insert(Files.begin(), Base.begin(), Base.end());
    const std::string Expected = readText(Entry.path() / "expected.txt");
    const std::string Found = formatProblems(Files);
    cr_expect(!Expected.empty() && Found == Expected, "%s gives\n%s",
              Entry.path().filename().c_str(), Found.c_str());
    ++Count;
  }
  cr_assert(Count >= 24, "%zu cases", Count);
}

// Guards against a node failing to read the document that another node stored.
Test(Settings, PackedDocumentIsReadBackWhole) {
  cr_assert(rc::check(
      [](const std::vector<std::pair<std::string, std::string>> &Parts) {
        std::vector<SettingsFile> Files;
        Files.reserve(Parts.size());
        for (const auto &[Name, Text] : Parts)
          Files.push_back({Name, Text});
        const std::string Document = packSettings(Files);
        const auto Read = unpackSettings(Document);
        RC_ASSERT(Read.has_value());
        RC_ASSERT(Read->size() == Files.size());
        for (std::size_t I = 0; I < Files.size(); ++I)
          RC_ASSERT((*Read)[I].Name == Files[I].Name &&
                    (*Read)[I].Text == Files[I].Text);
        if (!Files.empty())
          RC_ASSERT(!unpackSettings(Document.substr(0, Document.size() - 1)) ||
                    Files.back().Text.empty());
      }));
}

// Guards against a corrupted document crashing a daemon.
Test(Settings, RandomBytesNeverCrash) {
  cr_assert(rc::check([](const std::string &Text) {
    checkSettings({{"a.toml", Text}});
    unpackSettings("turmericpass settings 1\n" + Text);
    unpackSettings(Text);
  }));
  const std::string Valid = readText(
      std::filesystem::path(TURMERICPASS_TEST_DATA) / "Base" / "10-base.toml");
  cr_assert(rc::check([&Valid](char Byte) {
    std::string Damaged = Valid;
    const auto At = *rc::gen::inRange<std::size_t>(0, Damaged.size());
    const auto Length = *rc::gen::inRange<std::size_t>(0, 40);
    Damaged.replace(At, Length, std::string(Length / 2, Byte));
    checkSettings({{"a.toml", Damaged}});
  }));
}
