#include "Settings/SettingsReader.h"

#include "Settings/GroupReader.h"

#include <string_view>

namespace turmericpass {

namespace {

using Presence = GroupReader::Presence;

constexpr std::int64_t MaxRate = 1000000;
constexpr std::int64_t MaxPort = 65535;
/// The other three daemons use the ports after the gateway's admin port.
constexpr std::int64_t MaxAdminPort = MaxPort - 3;
constexpr std::int64_t WeekMs = 7LL * 24 * 3600 * 1000;
/// Leaves room for the other fields of a message within MaxMessageBytes.
constexpr std::int64_t MaxBodyBytes = 24LL << 20U;
constexpr std::size_t HashDigits = 64;

bool isHash(std::string_view Text) {
  return Text.size() == HashDigits &&
         Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

void readPlatform(GroupReader &Reader, PlatformSettings &Platform) {
  Reader.endpoint("table", Platform.Table);
  Reader.endpoint("objects", Platform.Objects);
  Reader.endpoint("vms", Platform.Vms);
  Reader.endpoint("weights", Platform.Weights);
  Reader.integer("writes_per_second", Platform.WritesPerSecond, 1, MaxRate);
  Reader.integer("reads_per_second", Platform.ReadsPerSecond, 1, MaxRate);
  Reader.integer("weight_loads_per_minute", Platform.WeightLoadsPerMinute, 1,
                 MaxRate);
}

void readLimits(GroupReader &Reader, LimitSettings &Limits) {
  Reader.integer("body_bytes", Limits.BodyBytes, 1024, MaxBodyBytes);
  Reader.integer("queue_per_service", Limits.QueuePerService, 1, MaxRate);
  Reader.integer("drain_seconds", Limits.DrainSeconds, 1, 3600);
  Reader.real("hedge_budget", Limits.HedgeBudget, 0, 0.5);
  Reader.real("retry_budget", Limits.RetryBudget, 0, 0.5);
}

void read(GroupReader &Reader, ZoneSettings &Zone) {
  Reader.text("region", Zone.Region, Presence::Required);
}

void read(GroupReader &Reader, NodeSettings &Node) {
  Node.HttpPort = 8080;
  Node.GatewayPort = 7101;
  Node.DispatcherPort = 7102;
  Node.BatcherPort = 7103;
  Node.ControllerPort = 7104;
  Node.AdminPort = 9101;
  Reader.text("zone", Node.Zone, Presence::Required);
  Reader.address("address", Node.Address);
  Reader.integer("http_port", Node.HttpPort, 1, MaxPort);
  Reader.integer("gateway_port", Node.GatewayPort, 1, MaxPort);
  Reader.integer("dispatcher_port", Node.DispatcherPort, 1, MaxPort);
  Reader.integer("batcher_port", Node.BatcherPort, 1, MaxPort);
  Reader.integer("controller_port", Node.ControllerPort, 1, MaxPort);
  Reader.integer("admin_port", Node.AdminPort, 1, MaxAdminPort);
}

void read(GroupReader &Reader, ServiceSettings &Service) {
  const int Kind = Reader.choice("kind", {"model", "plain"});
  Service.Kind = Kind == 1 ? ServiceKind::Plain : ServiceKind::Model;
  Reader.text("model", Service.Model,
              Kind == 0 ? Presence::Required : Presence::Optional);
  if (Kind == 1 && Reader.has("model"))
    Reader.reject("model", "\"" + Service.Model + "\"",
                  "no model for a service of kind \"plain\"");
  Reader.flag("repeatable", Service.Repeatable);
  Service.Hedge = Service.Repeatable;
  Reader.flag("hedge", Service.Hedge);
  if (Service.Hedge && !Service.Repeatable)
    Reader.reject("hedge", "true",
                  "false, because repeatable = false forbids second calls");
  const bool Tokens =
      Reader.integer("max_tokens", Service.MaxTokens, 1, MaxRate);
  if (Kind == 1 && Tokens)
    Reader.reject("max_tokens", std::to_string(Service.MaxTokens),
                  "no max_tokens for a service of kind \"plain\"");
}

void read(GroupReader &Reader, ServerSettings &Server) {
  Reader.text("service", Server.Service, Presence::Required);
  Reader.text("zone", Server.Zone, Presence::Required);
  Reader.endpoint("address", Server.Address);
  Reader.integer("slots", Server.Slots, 1, 4096);
  Reader.flag("fencing", Server.Fencing);
}

void read(GroupReader &Reader, ClassSettings &Class) {
  if (Reader.choice("kind", {"online", "batch"}) == 1)
    Class.Kind = ClassKind::Batch;
  Reader.names("may_wait_for", Class.MayWaitFor, Presence::Optional);
  Reader.integer("deadline_ms", Class.DeadlineMs, 1, WeekMs);
  Reader.real("long_share", Class.LongShare, 0.01, 1);
}

void read(GroupReader &Reader, CustomerSettings &Customer) {
  Reader.names("key_hashes", Customer.KeyHashes, Presence::Required);
  for (const std::string &Hash : Customer.KeyHashes)
    if (!isHash(Hash))
      Reader.reject("key_hashes", "\"" + Hash.substr(0, HashDigits + 1) + "\"",
                    "SHA-256 of the key as 64 lower-case hexadecimal digits");
  Reader.names("classes", Customer.Classes, Presence::Required);
  Reader.real("requests_per_second", Customer.RequestsPerSecond, 0.001,
              1000000);
  Reader.real("tokens_per_second", Customer.TokensPerSecond, 1, 1e9);
}

template <typename T>
void readNamed(SettingsTree &Tree, const std::string &Section,
               std::map<std::string, T> &Out) {
  for (const auto &[Name, Group] : Tree.Sections[Section]) {
    GroupReader Reader(Group, Section + "." + Name, Tree.Problems);
    T Read;
    Read.Name = Name;
    read(Reader, Read);
    Reader.finish();
    Out.emplace(Name, std::move(Read));
  }
}

template <typename T>
void readPlain(SettingsTree &Tree, const std::string &Section, T &Out,
               void (*ReadGroup)(GroupReader &, T &)) {
  const auto Known = Tree.Sections[Section].find("");
  if (Known == Tree.Sections[Section].end())
    return;
  GroupReader Reader(Known->second, Section, Tree.Problems);
  ReadGroup(Reader, Out);
  Reader.finish();
}

} // namespace

FleetSettings readSettings(SettingsTree &Tree) {
  FleetSettings Settings;
  readPlain(Tree, "platform", Settings.Platform, readPlatform);
  readPlain(Tree, "limits", Settings.Limits, readLimits);
  readNamed(Tree, "zones", Settings.Zones);
  readNamed(Tree, "nodes", Settings.Nodes);
  readNamed(Tree, "services", Settings.Services);
  readNamed(Tree, "servers", Settings.Servers);
  readNamed(Tree, "classes", Settings.Classes);
  readNamed(Tree, "customers", Settings.Customers);
  return Settings;
}

} // namespace turmericpass
