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

std::string range(double Min, double Max) {
  std::ostringstream Out;
  Out.precision(12);
  Out << "a number from " << Min << " to " << Max;
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
  const auto Entry = this->Group.Values.find(Key);
  const SettingLocation &Location = Entry == this->Group.Values.end()
                                        ? this->Group.Location
                                        : Entry->second.Location;
  this->Problems.push_back({Location.File, Location.Line,
                            this->Path + "." + Key, std::move(Found),
                            std::move(Allowed)});
}

const SettingValue *GroupReader::find(const char *Key, Presence Needed) {
  this->ReadKeys.insert(Key);
  const auto Entry = this->Group.Values.find(Key);
  if (Entry != this->Group.Values.end())
    return &Entry->second;
  if (Needed == Presence::Required)
    this->reject(Key, "nothing", "a value; the key is required");
  return nullptr;
}

bool GroupReader::readText(const char *Key, std::string &Out, Presence Needed) {
  const SettingValue *Value = this->find(Key, Needed);
  if (!Value)
    return false;
  if (Value->Kind != SettingKind::Text || Value->Text.empty()) {
    this->reject(Key, Value->DisplayText, "a string that is not empty");
    return false;
  }
  Out = Value->Text;
  return true;
}

bool GroupReader::readAddress(const char *Key, std::string &Out) {
  const SettingValue *Value = this->find(Key, Presence::Required);
  if (!Value)
    return false;
  if (Value->Kind != SettingKind::Text || !isIpAddress(Value->Text)) {
    this->reject(Key, Value->DisplayText,
                 "an IPv4 address such as \"10.0.0.1\"");
    return false;
  }
  Out = Value->Text;
  return true;
}

bool GroupReader::readEndpoint(const char *Key, std::string &Out) {
  const SettingValue *Value = this->find(Key, Presence::Required);
  if (!Value)
    return false;
  if (Value->Kind != SettingKind::Text || !isEndpoint(Value->Text)) {
    this->reject(Key, Value->DisplayText,
                 "an IPv4 address and a port such as \"10.0.0.1:8000\"");
    return false;
  }
  Out = Value->Text;
  return true;
}

bool GroupReader::readFlag(const char *Key, bool &Out) {
  const SettingValue *Value = this->find(Key, Presence::Optional);
  if (!Value)
    return false;
  if (Value->Kind != SettingKind::Flag) {
    this->reject(Key, Value->DisplayText, "true or false");
    return false;
  }
  Out = Value->Flag;
  return true;
}

bool GroupReader::readReal(const char *Key, double &Out, double Min,
                           double Max) {
  const SettingValue *Value = this->find(Key, Presence::Optional);
  if (!Value)
    return false;
  const bool IsNumber =
      Value->Kind == SettingKind::Real || Value->Kind == SettingKind::Integer;
  // All comparisons with NaN are false, so this form also rejects NaN.
  if (!IsNumber || !(Value->Real >= Min && Value->Real <= Max)) {
    this->reject(Key, Value->DisplayText, range(Min, Max));
    return false;
  }
  Out = Value->Real;
  return true;
}

bool GroupReader::readNames(const char *Key, std::vector<std::string> &Out,
                            Presence Needed) {
  const SettingValue *Value = this->find(Key, Needed);
  if (!Value)
    return false;
  std::vector<std::string> Names;
  bool IsValid = Value->Kind == SettingKind::List;
  for (const SettingValue &Item : Value->Items) {
    IsValid = IsValid && Item.Kind == SettingKind::Text &&
              std::find(Names.begin(), Names.end(), Item.Text) == Names.end();
    Names.push_back(Item.Text);
  }
  if (Needed == Presence::Required && Names.empty())
    IsValid = false;
  if (!IsValid) {
    this->reject(Key, Value->DisplayText,
                 Needed == Presence::Required
                     ? "a list of one or more different strings"
                     : "a list of different strings");
    return false;
  }
  Out = std::move(Names);
  return true;
}

int GroupReader::readChoice(const char *Key,
                            const std::vector<std::string> &Allowed) {
  const SettingValue *Value = this->find(Key, Presence::Required);
  if (!Value)
    return -1;
  const auto Match = std::find(Allowed.begin(), Allowed.end(), Value->Text);
  if (Value->Kind != SettingKind::Text || Match == Allowed.end()) {
    this->reject(Key, Value->DisplayText, join(Allowed));
    return -1;
  }
  return static_cast<int>(Match - Allowed.begin());
}

bool GroupReader::readIntegerInRange(const char *Key, std::int64_t &Out,
                                     std::int64_t Min, std::int64_t Max) {
  const SettingValue *Value = this->find(Key, Presence::Optional);
  if (!Value)
    return false;
  if (Value->Kind != SettingKind::Integer || Value->Integer < Min ||
      Value->Integer > Max) {
    this->reject(Key, Value->DisplayText,
                 "a whole number from " + std::to_string(Min) + " to " +
                     std::to_string(Max));
    return false;
  }
  Out = Value->Integer;
  return true;
}

void GroupReader::reportUnknownKeys() {
  std::vector<std::string> Allowed(this->ReadKeys.begin(),
                                   this->ReadKeys.end());
  for (const auto &[Key, Value] : this->Group.Values)
    if (!this->ReadKeys.count(Key))
      this->reject(Key, "an unknown key", join(Allowed));
}

} // namespace turmericpass
