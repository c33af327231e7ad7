#include "Jobs/LeaseMonitor.h"

namespace turmericpass {

void LeaseMonitor::observe(const std::map<std::string, std::uint64_t> &Versions,
                           Instant Sent, Instant Answered) {
  for (const auto &[Holder, Version] : Versions)
    this->Entries.try_emplace(Holder);
  for (auto &[Holder, Entry] : this->Entries) {
    const auto Found = Versions.find(Holder);
    const std::uint64_t Version = Found == Versions.end() ? 0 : Found->second;
    if (Entry.WasRead && Entry.Version == Version) {
      Entry.UnchangedUntil = Sent;
      continue;
    }
    Entry = {Version, Answered, Answered, true};
  }
}

bool LeaseMonitor::hasLapsed(const std::string &Holder) {
  const Entry &Found = this->Entries[Holder];
  return Found.WasRead &&
         Found.UnchangedUntil - Found.UnchangedSince >= LeaseTimeout;
}

std::uint64_t LeaseMonitor::versionOf(const std::string &Holder) const {
  const auto Found = this->Entries.find(Holder);
  return Found == this->Entries.end() ? 0 : Found->second.Version;
}

std::vector<std::string> LeaseMonitor::holdersUnchangedFor(Duration Age) const {
  std::vector<std::string> Holders;
  for (const auto &[Holder, Entry] : this->Entries)
    if (Entry.WasRead && Entry.Version != 0 &&
        Entry.UnchangedUntil - Entry.UnchangedSince >= Age)
      Holders.push_back(Holder);
  return Holders;
}

} // namespace turmericpass
