#include "Node/NodeConfig.h"

#include "RawHttp/SocketOptions.h"

#include <fstream>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace turmericpass {

namespace {

constexpr std::int64_t MostPort = 65535;

/// The head of a job must fit into one row.
constexpr double LeastRowBytes = 4096;

/// Reads values from a TOML table and collects an error message with the line
/// number for each invalid key.
class ConfigReader {
public:
  ConfigReader(const std::string &Path, const toml::table &Root)
      : Path(Path), Root(Root) {}

  std::string text(const char *Key, bool Required) {
    const toml::node *Found = this->take(Key, Required);
    if (!Found)
      return {};
    if (const auto Value = Found->value<std::string>())
      return *Value;
    this->fault(Key, Found, "must be a string");
    return {};
  }

  std::string address(const char *Key, bool Required) {
    std::string Value = this->text(Key, Required);
    if (!Value.empty() && !parseSocketAddress(Value))
      this->fault(Key, this->Root.get(Key), "must be of the form a.b.c.d:port");
    return Value;
  }

  double number(const char *Key, double Least, double Most) {
    const toml::node *Found = this->take(Key, true);
    if (!Found)
      return Least;
    const auto Value = Found->value<double>();
    if (Value && *Value >= Least && *Value <= Most)
      return *Value;
    std::ostringstream Allowed;
    Allowed << "must be a number from " << Least << " to " << Most;
    this->fault(Key, Found, Allowed.str());
    return Least;
  }

  std::vector<std::string> texts(const char *Key) {
    std::vector<std::string> Values;
    const toml::node *Found = this->take(Key, true);
    if (!Found)
      return Values;
    const toml::array *List = Found->as_array();
    for (std::size_t I = 0; List && I < List->size(); ++I)
      if (const auto Value = (*List)[I].value<std::string>())
        Values.push_back(*Value);
    if (!List || Values.size() != List->size())
      this->fault(Key, Found, "must be a list of strings");
    return Values;
  }

  void rejectUnknownKeys() {
    for (const auto &[Key, Value] : this->Root)
      if (!this->Known.contains(std::string(Key.str())))
        this->fault(std::string(Key.str()), &Value, "is not a known key");
  }

  const std::string &faults() const { return this->Faults; }

private:
  const toml::node *take(const char *Key, bool Required) {
    this->Known.insert(Key);
    const toml::node *Found = this->Root.get(Key);
    if (!Found && Required)
      this->fault(Key, nullptr, "is missing");
    return Found;
  }

  void fault(const std::string &Key, const toml::node *At,
             const std::string &What) {
    std::ostringstream Out;
    Out << this->Path;
    if (At)
      Out << ':' << At->source().begin.line;
    Out << ": key \"" << Key << "\" " << What << '.';
    if (!this->Faults.empty())
      this->Faults += '\n';
    this->Faults += Out.str();
  }

  const std::string &Path;
  const toml::table &Root;
  std::set<std::string> Known;
  std::string Faults;
};

} // namespace

Result<NodeConfig> readNodeConfig(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return failure(ErrorCode::NotFound,
                   "Cannot read the settings file " + Path + ".");
  toml::table Root;
  try {
    Root = toml::parse(File, Path);
  } catch (const toml::parse_error &Thrown) {
    std::ostringstream Out;
    Out << Path << ':' << Thrown.source().begin.line << ": "
        << Thrown.description() << '.';
    return failure(ErrorCode::InvalidArgument, Out.str());
  }
  ConfigReader Reader(Path, Root);
  NodeConfig Config;
  Config.Name = Reader.text("node", true);
  Config.Zone = Reader.text("zone", true);
  Config.Ip = Reader.text("ip", true);
  Config.FrontAddress = Reader.address("front", true);
  Config.ReadyAddress = Reader.address("ready", true);
  Config.ControlAddress = Reader.address("control", false);
  Config.PeerPort =
      static_cast<std::uint16_t>(Reader.number("peer_port", 1, MostPort));
  Config.MetricsPort =
      static_cast<std::uint16_t>(Reader.number("metrics_port", 1, MostPort));
  Config.Seeds = Reader.texts("seeds");
  Config.StoreAddress = Reader.address("store", true);
  Config.StoreWritesPerSecond =
      Reader.number("store_writes_per_s", 1, 1'000'000);
  Config.StoreReadsPerSecond = Reader.number("store_reads_per_s", 1, 1'000'000);
  Config.StoreRowBytes = static_cast<std::size_t>(
      Reader.number("store_row_bytes", LeastRowBytes, 1 << 30));
  Config.JobKeepTime = std::chrono::milliseconds(static_cast<std::int64_t>(
      Reader.number("keep_jobs_s", 1, 31'536'000) * 1000));
  Config.StopTime = std::chrono::milliseconds(
      static_cast<std::int64_t>(Reader.number("stop_time_s", 1, 3600) * 1000));
  Reader.rejectUnknownKeys();
  if (!Reader.faults().empty())
    return failure(ErrorCode::InvalidArgument, Reader.faults());
  return Config;
}

} // namespace turmericpass
