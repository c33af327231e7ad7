#include "Settings/GroupReader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <sstream>

namespace turmericpass {

namespace {

std::string join(const std::vector<std::string> &Parts) {
  std::string Joined;
  for (const std::string &Part : Parts)
    Joined += (Joined.empty() ? "" : ", ") + Part;
  return Joined;
}

std::string range(double Least, double Most) {
  std::ostringstream Out;
  Out.precision(12);
  Out << "a number from " << Least << " to " << Most;
  return Out.str();
}

} // namespace

bool isIpAddress(const std::string &Text) {
  in_addr Parsed{};
  return inet_pton(AF_INET, Text.c_str(), &Parsed) == 1 &&
         Text.find('\0') == std::string::npos;
}

bool isEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || !isIpAddress(Text.substr(0, Colon)))
    return false;
  const char *First = Text.data() + Colon + 1;
  const char *Last = Text.data() + Text.size();
  std::uint16_t Port = 0;
  const auto [End, Failure] = std::from_chars(First, Last, Port);
  return Failure == std::errc() && End == Last && Port != 0 && *First != '0';
}

GroupReader::GroupReader(const SettingGroup &Group, std::string Path,
                         std::vector<SettingsProblem> &Problems)
    : Group(Group), Path(std::move(Path)), Problems(Problems) {}

void GroupReader::reject(const std::string &Key, std::string Found,
                         std::string Allowed) {
  const auto Known = this->Group.Values.find(Key);
  const SettingPlace &Place = Known == this->Group.Values.end()
                                  ? this->Group.Place
                                  : Known->second.Place;
  this->Problems.push_back({Place.File, Place.Line, this->Path + "." + Key,
                            std::move(Found), std::move(Allowed)});
}

const SettingValue *GroupReader::find(const char *Key, Presence Needed) {
  this->Seen.insert(Key);
  const auto Known = this->Group.Values.find(Key);
  if (Known != this->Group.Values.end())
    return &Known->second;
  if (Needed == Presence::Required)
    this->reject(Key, "nothing", "a value; the key is required");
  return nullptr;
}

bool GroupReader::text(const char *Key, std::string &Out, Presence Needed) {
  const SettingValue *Value = this->find(Key, Needed);
  if (!Value)
    return false;
  if (Value->Kind != SettingKind::Text || Value->Text.empty()) {
    this->reject(Key, Value->Shown, "a string that is not empty");
    return false;
  }
  Out = Value->Text;
  return true;
}

bool GroupReader::address(const char *Key, std::string &Out) {
  const SettingValue *Value = this->find(Key, Presence::Required);
  if (!Value)
    return false;
  if (Value->Kind != SettingKind::Text || !isIpAddress(Value->Text)) {
    this->reject(Key, Value->Shown, "an IPv4 address such as \"10.0.0.1\"");
    return false;
  }
  Out = Value->Text;
  return true;
}

bool GroupReader::endpoint(const char *Key, std::string &Out) {
  const SettingValue *Value = this->find(Key, Presence::Required);
  if (!Value)
    return false;
  if (Value->Kind != SettingKind::Text || !isEndpoint(Value->Text)) {
    this->reject(Key, Value->Shown,
                 "an IPv4 address and a port such as \"10.0.0.1:8000\"");
    return false;
  }
  Out = Value->Text;
  return true;
}

bool GroupReader::flag(const char *Key, bool &Out) {
  const SettingValue *Value = this->find(Key, Presence::Optional);
  if (!Value)
    return false;
  if (Value->Kind != SettingKind::Flag) {
    this->reject(Key, Value->Shown, "true or false");
    return false;
  }
  Out = Value->Flag;
  return true;
}

bool GroupReader::real(const char *Key, double &Out, double Least,
                       double Most) {
  const SettingValue *Value = this->find(Key, Presence::Optional);
  if (!Value)
    return false;
  const bool Number =
      Value->Kind == SettingKind::Real || Value->Kind == SettingKind::Integer;
  // All comparisons with NaN are false, so this form also rejects NaN.
  if (!Number || !(Value->Real >= Least && Value->Real <= Most)) {
    this->reject(Key, Value->Shown, range(Least, Most));
    return false;
  }
  Out = Value->Real;
  return true;
}

bool GroupReader::names(const char *Key, std::vector<std::string> &Out,
                        Presence Needed) {
  const SettingValue *Value = this->find(Key, Needed);
  if (!Value)
    return false;
  std::vector<std::string> Read;
  bool Sound = Value->Kind == SettingKind::List;
  for (const SettingValue &Item : Value->Items) {
    Sound = Sound && Item.Kind == SettingKind::Text &&
            std::find(Read.begin(), Read.end(), Item.Text) == Read.end();
    Read.push_back(Item.Text);
  }
  if (Needed == Presence::Required && Read.empty())
    Sound = false;
  if (!Sound) {
    this->reject(Key, Value->Shown,
                 Needed == Presence::Required
                     ? "a list of one or more different strings"
                     : "a list of different strings");
    return false;
  }
  Out = std::move(Read);
  return true;
}

int GroupReader::choice(const char *Key,
                        const std::vector<std::string> &Allowed) {
  const SettingValue *Value = this->find(Key, Presence::Required);
  if (!Value)
    return -1;
  const auto Chosen = std::find(Allowed.begin(), Allowed.end(), Value->Text);
  if (Value->Kind != SettingKind::Text || Chosen == Allowed.end()) {
    this->reject(Key, Value->Shown, join(Allowed));
    return -1;
  }
  return static_cast<int>(Chosen - Allowed.begin());
}

bool GroupReader::wholeNumber(const char *Key, std::int64_t &Out,
                              std::int64_t Least, std::int64_t Most) {
  const SettingValue *Value = this->find(Key, Presence::Optional);
  if (!Value)
    return false;
  if (Value->Kind != SettingKind::Integer || Value->Integer < Least ||
      Value->Integer > Most) {
    this->reject(Key, Value->Shown,
                 "a whole number from " + std::to_string(Least) + " to " +
                     std::to_string(Most));
    return false;
  }
  Out = Value->Integer;
  return true;
}

void GroupReader::finish() {
  std::vector<std::string> Allowed(this->Seen.begin(), this->Seen.end());
  for (const auto &[Key, Value] : this->Group.Values)
    if (!this->Seen.count(Key))
      this->reject(Key, "an unknown key", join(Allowed));
}

} // namespace turmericpass
