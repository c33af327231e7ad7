#include "CapacityReport.h"
#include "Control/SettingsReplica.h"
#include "Control/SettingsStore.h"
#include "Core/Clock.h"
#include "Core/IdSource.h"
#include "Probes.h"
#include "Settings/Ownership.h"
#include "Settings/SettingsFolder.h"
#include "Support/MemoryTable.h"
#include "Wire/Codec.h"

#include <algorithm>
#include <set>

namespace turmericpass {

namespace {

constexpr std::size_t Zones = 19;
constexpr std::size_t Models = 8;

std::string text(std::size_t Number) { return std::to_string(Number); }

std::string hash(std::size_t Number) {
  const std::string Digits = text(Number);
  return std::string(64 - Digits.size(), '0') + Digits;
}

std::string baseText(std::size_t Nodes) {
  std::string Text = "[platform]\ntable = \"10.9.9.1:7001\"\n"
                     "objects = \"10.9.9.1:7002\"\nvms = \"10.9.9.1:7003\"\n"
                     "weights = \"10.9.9.1:7004\"\n";
  for (std::size_t I = 0; I < Zones; ++I)
    Text += "[zones.z" + text(I) + "]\nregion = \"r" + text(I % 7) + "\"\n";
  for (std::size_t I = 0; I < Nodes; ++I)
    Text += "[nodes.n" + text(I) + "]\nzone = \"z" + text(I % Zones) +
            "\"\naddress = \"10.1." + text(I / 250) + "." + text(1 + I % 250) +
            "\"\n";
  for (std::size_t I = 0; I < Models; ++I)
    Text += "[services.s" + text(I) + "]\nkind = \"model\"\nmodel = \"m" +
            text(I) + "\"\n";
  return Text + "[classes.chat]\nkind = \"online\"\n[classes.night]\n"
                "kind = \"batch\"\nmay_wait_for = [\"chat\"]\n";
}

std::string customersText(std::size_t First, std::size_t End) {
  std::string Text;
  for (std::size_t I = First; I < End; ++I)
    Text += "[customers.organisation" + text(I) + "]\nkey_hashes = [\"" +
            hash(I) + "\"]\nclasses = [\"chat\", \"night\"]\n" +
            "requests_per_second = 20\ntokens_per_second = 9000\n";
  return Text;
}

std::string serversText(std::size_t Count) {
  std::string Text;
  for (std::size_t I = 0; I < Count; ++I)
    Text += "[servers.engine" + text(I) + "]\nservice = \"s" +
            text(I / Zones % Models) + "\"\nzone = \"z" + text(I % Zones) +
            "\"\naddress = \"10.2." + text(I / 250) + "." + text(1 + I % 250) +
            ":8000\"\nslots = 16\n";
  return Text;
}

/// Customers stand in \p Parts files, so that a change moves one of them.
std::vector<SettingsFile> makeFiles(std::size_t Nodes, std::size_t Servers,
                                    std::size_t Customers, std::size_t Parts) {
  std::vector<SettingsFile> Files = {{"10-base.toml", baseText(Nodes)},
                                     {"50-servers.toml", serversText(Servers)}};
  for (std::size_t I = 0; I < Parts; ++I)
    Files.push_back(
        {"70-customers" + text(100 + I) + ".toml",
         customersText(I * Customers / Parts, (I + 1) * Customers / Parts)});
  return Files;
}

void recordCheck(CapacityReport &Out, const std::string &Name,
                 const std::string &Axis, double Size,
                 const std::vector<SettingsFile> &Files) {
  const double Before = heapBytes();
  double Begun = cpuMicros();
  const SettingsCheck Check = checkSettings(Files);
  Out.add(Name + ".check_cpu_ms", Axis, Size, (cpuMicros() - Begun) / 1e3);
  Out.add(Name + ".daemon_memory", Axis, Size, heapBytes() - Before);
  SettingsReplica Replica({}, Files);
  const double Empty = heapBytes();
  Begun = cpuMicros();
  const Result<bool> Adopted = Replica.adoptIfNewer(1, packSettings(Files));
  Out.add(Name + ".offer_cpu_ms", Axis, Size, (cpuMicros() - Begun) / 1e3);
  Out.add(Name + ".offer_memory", Axis, Size, heapBytes() - Empty);
  Out.add(Name + ".adopted", Axis, Size, Adopted && *Adopted ? 1 : 0);
  Out.add(Name + ".problems", Axis, Size,
          static_cast<double>(Check.Problems.size()));
  const std::string Document = packSettings(Files);
  const Result<std::string> Reply =
      encode({"10.1.1.1:7104", SettingsReply{7, Document}});
  Out.add(Name + ".reply_bytes", Axis, Size,
          Reply ? static_cast<double>(Reply->size()) : 0);
}

/// Counts the bytes of values that are read.
class ByteCountingTable : public MemoryTable {
public:
  using MemoryTable::MemoryTable;
  void get(std::string Key, GetCallback Done) override {
    MemoryTable::get(std::move(Key),
                     [this, Done = std::move(Done)](Result<TableRow> Row) {
                       if (Row)
                         this->Bytes += static_cast<double>(Row->Value.size());
                       Done(std::move(Row));
                     });
  }
  double Bytes = 0;
};

/// One changed file against all files, for a controller that comes back.
void recordDistribution(CapacityReport &Out, std::size_t Customers,
                        std::size_t Parts, const std::string &Name,
                        const std::string &Axis, double Size) {
  ManualClock Time;
  IdSource Ids(1);
  ByteCountingTable Rows;
  SettingsStore Store(Rows, Ids, Time);
  std::vector<SettingsFile> Files = makeFiles(410, 100, Customers, Parts);
  const std::vector<SettingsFile> Old = Files;
  const auto Ignore = [](const Result<SettingsManifest> &) {};
  Store.apply(0, "probe", Files, Ignore);
  Files.back().Text += "# changed\n";
  const std::uint64_t Writes = Rows.Faults.Writes;
  Store.apply(1, "probe", Files, Ignore);
  Out.add(Name + ".apply_writes", Axis, Size,
          static_cast<double>(Rows.Faults.Writes - Writes));
  const auto Fetch = [&](const std::vector<SettingsFile> &Have,
                         const std::string &What) {
    Rows.Bytes = 0;
    const std::uint64_t Reads = Rows.Faults.Reads;
    Store.fetch(Have, [](const Result<StoredSettings> &) {});
    Out.add(Name + "." + What + "_bytes", Axis, Size, Rows.Bytes);
    Out.add(Name + "." + What + "_reads", Axis, Size,
            static_cast<double>(Rows.Faults.Reads - Reads));
  };
  Fetch(Old, "one_changed_file");
  Fetch({}, "all_files");
  Out.add(Name + ".peer_reply_bytes", Axis, Size,
          static_cast<double>(packSettings(Files).size()));
}

void probeGroups(CapacityReport &Out, std::size_t Servers) {
  const auto Axis = "servers";
  const auto Size = static_cast<double>(Servers);
  const FleetSettings Settings =
      checkSettings(makeFiles(410, Servers, 10, 1)).Settings;
  std::set<std::string> Live;
  for (const auto &[Name, Node] : Settings.Nodes)
    Live.insert(Name);
  const double Begun = cpuMicros();
  const std::vector<ServerGroup> Groups = assignGroups(Settings, Live, {});
  Out.add("groups.cpu_ms", Axis, Size, (cpuMicros() - Begun) / 1e3);
  std::map<std::string, double> Owned;
  for (const ServerGroup &Group : Groups)
    Owned[Group.Owner] += static_cast<double>(Group.Servers.size());
  double Most = 0;
  for (const auto &[Owner, Count] : Owned)
    Most = std::max(Most, Count);
  Out.add("groups.count", Axis, Size, static_cast<double>(Groups.size()));
  Out.add("groups.servers_busiest_node", Axis, Size, Most);
  Out.add("groups.nodes_without_servers", Axis, Size,
          static_cast<double>(Live.size() - Owned.size()));
}

} // namespace

void probeSettings(CapacityReport &Out) {
  for (const std::size_t Count : {1000, 4000, 8000, 14000})
    recordCheck(Out, "settings.customers", "customers",
                static_cast<double>(Count), makeFiles(19, 19, Count, 1));
  for (const std::size_t Count : {1000, 3000, 6000, 12000})
    recordCheck(Out, "settings.servers", "servers", static_cast<double>(Count),
                makeFiles(19, Count, 19, 1));
  for (const std::size_t Count : {100, 200, 300, 410})
    recordCheck(Out, "settings.nodes", "nodes", static_cast<double>(Count),
                makeFiles(Count, 19, 19, 1));
  // The whole size in four steps.
  for (const std::size_t Part : {1, 2, 3, 4})
    recordCheck(Out, "settings.whole", "quarters", static_cast<double>(Part),
                makeFiles(410 * Part / 4, 3000 * Part, 3500 * Part, 16));
  for (const std::size_t Count : {1000, 4000, 8000, 14000})
    recordDistribution(Out, Count, 16, "distribute.customers", "customers",
                       static_cast<double>(Count));
  for (const std::size_t Parts : {1, 4, 16, 64})
    recordDistribution(Out, 14000, Parts, "distribute.files", "files",
                       static_cast<double>(Parts));
  for (const std::size_t Count : {1500, 3000, 6000, 12000})
    probeGroups(Out, Count);
}

} // namespace turmericpass
