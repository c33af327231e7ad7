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
  Reader.readEndpoint("table", Platform.Table);
  Reader.readEndpoint("objects", Platform.Objects);
  Reader.readEndpoint("vms", Platform.Vms);
  Reader.readEndpoint("weights", Platform.Weights);
  Reader.readInteger("writes_per_second", Platform.WritesPerSecond, 1, MaxRate);
  Reader.readInteger("reads_per_second", Platform.ReadsPerSecond, 1, MaxRate);
  Reader.readInteger("weight_loads_per_minute", Platform.WeightLoadsPerMinute,
                     1, MaxRate);
}

void readLimits(GroupReader &Reader, LimitSettings &Limits) {
  Reader.readInteger("body_bytes", Limits.BodyBytes, 1024, MaxBodyBytes);
  Reader.readInteger("queue_per_service", Limits.QueuePerService, 1, MaxRate);
  Reader.readInteger("drain_seconds", Limits.DrainSeconds, 1, 3600);
  Reader.readReal("hedge_budget", Limits.HedgeBudget, 0, 0.5);
  Reader.readReal("retry_budget", Limits.RetryBudget, 0, 0.5);
}

void read(GroupReader &Reader, ZoneSettings &Zone) {
  Reader.readText("region", Zone.Region, Presence::Required);
}

void read(GroupReader &Reader, NodeSettings &Node) {
  Node.HttpPort = 8080;
  Node.GatewayPort = 7101;
  Node.DispatcherPort = 7102;
  Node.BatcherPort = 7103;
  Node.ControllerPort = 7104;
  Node.AdminPort = 9101;
  Reader.readText("zone", Node.Zone, Presence::Required);
  Reader.readAddress("address", Node.Address);
  Reader.readInteger("http_port", Node.HttpPort, 1, MaxPort);
  Reader.readInteger("gateway_port", Node.GatewayPort, 1, MaxPort);
  Reader.readInteger("dispatcher_port", Node.DispatcherPort, 1, MaxPort);
  Reader.readInteger("batcher_port", Node.BatcherPort, 1, MaxPort);
  Reader.readInteger("controller_port", Node.ControllerPort, 1, MaxPort);
  Reader.readInteger("admin_port", Node.AdminPort, 1, MaxAdminPort);
}

void read(GroupReader &Reader, ServiceSettings &Service) {
  const int Kind = Reader.readChoice("kind", {"model", "plain"});
  Service.Kind = Kind == 1 ? ServiceKind::Plain : ServiceKind::Model;
  Reader.readText("model", Service.Model,
                  Kind == 0 ? Presence::Required : Presence::Optional);
  if (Kind == 1 && Reader.has("model"))
    Reader.reject("model", "\"" + Service.Model + "\"",
                  "no model for a service of kind \"plain\"");
  Reader.readFlag("repeatable", Service.Repeatable);
  Service.Hedge = Service.Repeatable;
  Reader.readFlag("hedge", Service.Hedge);
  if (Service.Hedge && !Service.Repeatable)
    Reader.reject("hedge", "true",
                  "false, because repeatable = false forbids second calls");
  const bool Tokens =
      Reader.readInteger("max_tokens", Service.MaxTokens, 1, MaxRate);
  if (Kind == 1 && Tokens)
    Reader.reject("max_tokens", std::to_string(Service.MaxTokens),
                  "no max_tokens for a service of kind \"plain\"");
}

void read(GroupReader &Reader, ServerSettings &Server) {
  Reader.readText("service", Server.Service, Presence::Required);
  Reader.readText("zone", Server.Zone, Presence::Required);
  Reader.readEndpoint("address", Server.Address);
  Reader.readInteger("slots", Server.Slots, 1, 4096);
  Reader.readFlag("fencing", Server.Fencing);
}

void read(GroupReader &Reader, ClassSettings &Class) {
  if (Reader.readChoice("kind", {"online", "batch"}) == 1)
    Class.Kind = ClassKind::Batch;
  Reader.readNames("may_wait_for", Class.MayWaitFor, Presence::Optional);
  Reader.readInteger("deadline_ms", Class.DeadlineMs, 1, WeekMs);
  Reader.readReal("long_share", Class.LongShare, 0.01, 1);
}

void read(GroupReader &Reader, CustomerSettings &Customer) {
  Reader.readNames("key_hashes", Customer.KeyHashes, Presence::Required);
  for (const std::string &Hash : Customer.KeyHashes)
    if (!isHash(Hash))
      Reader.reject("key_hashes", "\"" + Hash.substr(0, HashDigits + 1) + "\"",
                    "SHA-256 of the key as 64 lower-case hexadecimal digits");
  Reader.readNames("classes", Customer.Classes, Presence::Required);
  Reader.readReal("requests_per_second", Customer.RequestsPerSecond, 0.001,
                  1000000);
  Reader.readReal("tokens_per_second", Customer.TokensPerSecond, 1, 1e9);
}

template <typename T>
void readNamedTables(SettingsTree &Tree, const std::string &Section,
                     std::map<std::string, T> &Out) {
  for (const auto &[Name, Group] : Tree.Sections[Section]) {
    GroupReader Reader(Group, Section + "." + Name, Tree.Problems);
    T Entry;
    Entry.Name = Name;
    read(Reader, Entry);
    Reader.reportUnknownKeys();
    Out.emplace(Name, std::move(Entry));
  }
}

template <typename T>
void readSingleTable(SettingsTree &Tree, const std::string &Section, T &Out,
                     void (*ReadGroup)(GroupReader &, T &)) {
  const auto Existing = Tree.Sections[Section].find("");
  if (Existing == Tree.Sections[Section].end())
    return;
  GroupReader Reader(Existing->second, Section, Tree.Problems);
  ReadGroup(Reader, Out);
  Reader.reportUnknownKeys();
}

} // namespace

FleetSettings readSettings(SettingsTree &Tree) {
  FleetSettings Settings;
  readSingleTable(Tree, "platform", Settings.Platform, readPlatform);
  readSingleTable(Tree, "limits", Settings.Limits, readLimits);
  readNamedTables(Tree, "zones", Settings.Zones);
  readNamedTables(Tree, "nodes", Settings.Nodes);
  readNamedTables(Tree, "services", Settings.Services);
  readNamedTables(Tree, "servers", Settings.Servers);
  readNamedTables(Tree, "classes", Settings.Classes);
  readNamedTables(Tree, "customers", Settings.Customers);
  return Settings;
}

} // namespace turmericpass
