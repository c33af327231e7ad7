#include "Settings/SettingsRules.h"

#include <algorithm>
#include <array>
#include <utility>

namespace turmericpass {

void SettingsRules::reject(const std::string &Section, const std::string &Name,
                           const std::string &Key, std::string Found,
                           std::string Allowed) {
  SettingsProblem Problem;
  const auto &Groups = this->Tree.Sections[Section];
  if (const auto Group = Groups.find(Name); Group != Groups.end()) {
    const auto Value = Group->second.Values.find(Key);
    const SettingLocation &Location = Value == Group->second.Values.end()
                                          ? Group->second.Location
                                          : Value->second.Location;
    Problem.File = Location.File;
    Problem.Line = Location.Line;
  }
  Problem.Key = Section;
  for (const std::string &Part : {Name, Key})
    if (!Part.empty())
      Problem.Key += "." + Part;
  Problem.Found = std::move(Found);
  Problem.Allowed = std::move(Allowed);
  this->Tree.Problems.push_back(std::move(Problem));
}

void SettingsRules::requireSections() {
  for (const char *Section :
       {"platform", "zones", "nodes", "services", "classes"})
    if (this->Tree.Sections[Section].empty())
      this->reject(Section, "", "", "nothing",
                   "at least one table of this section in the folder");
}

void SettingsRules::checkReference(const std::string &Section,
                                   const std::string &Name,
                                   const std::string &Key,
                                   const std::string &Target,
                                   const std::string &TargetSection) {
  const auto &Groups = this->Tree.Sections[TargetSection];
  if (Target.empty() || Groups.count(Target) > 0)
    return;
  std::string ExistingNames;
  for (const auto &[GroupName, Group] : Groups)
    ExistingNames += (ExistingNames.empty() ? "" : ", ") + GroupName;
  this->reject(Section, Name, Key, "\"" + Target + "\"",
               "names of [" + TargetSection + "]: " + ExistingNames);
}

void SettingsRules::checkReferences() {
  for (const auto &[Name, Node] : this->Settings.Nodes)
    this->checkReference("nodes", Name, "zone", Node.Zone, "zones");
  for (const auto &[Name, Server] : this->Settings.Servers) {
    this->checkReference("servers", Name, "service", Server.Service,
                         "services");
    this->checkReference("servers", Name, "zone", Server.Zone, "zones");
    if (this->Settings.Nodes.count(Name) > 0)
      this->reject("servers", Name, "", "the name of a node",
                   "a name of its own, because the list of VMs has both");
  }
  for (const auto &[Name, Class] : this->Settings.Classes)
    for (const std::string &Target : Class.MayWaitFor)
      this->checkReference("classes", Name, "may_wait_for", Target, "classes");
  for (const auto &[Name, Customer] : this->Settings.Customers)
    for (const std::string &Target : Customer.Classes)
      this->checkReference("customers", Name, "classes", Target, "classes");
}

std::uint32_t SettingsRules::computeRank(const std::string &Name) {
  if (const auto Existing = this->Ranks.find(Name);
      Existing != this->Ranks.end())
    return Existing->second;
  const auto Begin =
      std::find(this->ClassPath.begin(), this->ClassPath.end(), Name);
  if (Begin != this->ClassPath.end()) {
    std::string Cycle;
    for (auto Step = Begin; Step != this->ClassPath.end(); ++Step)
      Cycle += *Step + " -> ";
    this->reject("classes", *Begin, "may_wait_for", "the cycle " + Cycle + Name,
                 "classes that do not wait for this one in turn");
    return 0;
  }
  std::uint32_t Rank = 0;
  if (const auto Class = this->Settings.Classes.find(Name);
      Class != this->Settings.Classes.end()) {
    this->ClassPath.push_back(Name);
    for (const std::string &Target : Class->second.MayWaitFor)
      Rank = std::max(Rank, this->computeRank(Target) + 1);
    this->ClassPath.pop_back();
  }
  this->Ranks[Name] = Rank;
  return Rank;
}

void SettingsRules::checkClasses() {
  for (auto &[Name, Class] : this->Settings.Classes) {
    Class.Rank = this->computeRank(Name);
    if (Class.Kind != ClassKind::Online)
      continue;
    for (const std::string &Target : Class.MayWaitFor) {
      const auto Existing = this->Settings.Classes.find(Target);
      if (Existing != this->Settings.Classes.end() &&
          Existing->second.Kind == ClassKind::Batch)
        this->reject("classes", Name, "may_wait_for", "\"" + Target + "\"",
                     "online classes, because online work never waits for "
                     "batch work");
    }
  }
}

void SettingsRules::checkKeysAndModels() {
  std::map<std::string, std::string> Owners;
  for (const auto &[Name, Customer] : this->Settings.Customers)
    for (const std::string &Hash : Customer.KeyHashes) {
      const auto [Existing, Inserted] = Owners.emplace(Hash, Name);
      if (!Inserted)
        this->reject("customers", Name, "key_hashes", "\"" + Hash + "\"",
                     "keys that customer " + Existing->second +
                         " does not have as well");
    }
  std::map<std::string, std::string> Models;
  for (const auto &[Name, Service] : this->Settings.Services) {
    if (Service.Model.empty())
      continue;
    const auto [Existing, Inserted] = Models.emplace(Service.Model, Name);
    if (!Inserted)
      this->reject("services", Name, "model", "\"" + Service.Model + "\"",
                   "a model that service " + Existing->second +
                       " does not have as well");
  }
}

void SettingsRules::registerListener(const std::string &Section,
                                     const std::string &Name,
                                     const std::string &Key,
                                     const std::string &Endpoint) {
  const std::string Owner =
      Name.empty() ? Section + "." + Key : Section + "." + Name + "." + Key;
  const auto [Existing, Inserted] = this->Listeners.emplace(Endpoint, Owner);
  if (Inserted)
    return;
  this->reject(Section, Name, Key, Endpoint,
               "an address and port that " + Existing->second +
                   " does not use as well");
}

void SettingsRules::checkPorts() {
  // The platform may serve several of its interfaces on one port.
  const PlatformSettings &Platform = this->Settings.Platform;
  this->Listeners.emplace(Platform.Table, "platform.table");
  this->Listeners.emplace(Platform.Objects, "platform.objects");
  this->Listeners.emplace(Platform.Vms, "platform.vms");
  this->Listeners.emplace(Platform.Weights, "platform.weights");
  for (const auto &[Name, Node] : this->Settings.Nodes) {
    if (Node.Address.empty())
      continue;
    const std::array<std::pair<const char *, std::uint32_t>, 9> Ports = {{
        {"http_port", Node.HttpPort},
        {"gateway_port", Node.GatewayPort},
        {"dispatcher_port", Node.DispatcherPort},
        {"batcher_port", Node.BatcherPort},
        {"controller_port", Node.ControllerPort},
        {"admin_port", Node.AdminPort},
        {"admin_port", Node.AdminPort + 1U},
        {"admin_port", Node.AdminPort + 2U},
        {"admin_port", Node.AdminPort + 3U},
    }};
    for (const auto &[Key, Port] : Ports)
      this->registerListener("nodes", Name, Key,
                             Node.Address + ":" + std::to_string(Port));
  }
  for (const auto &[Name, Server] : this->Settings.Servers)
    if (!Server.Address.empty())
      this->registerListener("servers", Name, "address", Server.Address);
}

void SettingsRules::check() {
  this->requireSections();
  this->checkReferences();
  this->checkClasses();
  this->checkKeysAndModels();
  this->checkPorts();
}

} // namespace turmericpass
