#include "Node/NodeConfig.h"

#include "RawHttp/SocketOptions.h"

#include <charconv>
#include <fstream>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace turmericpass {

namespace {

constexpr std::int64_t MaxPort = 65535;

/// The metadata of a job must fit into one row.
constexpr double MinRowBytes = 4096;

/// Copies for more requests than this could overload the servers.
constexpr double MaxHedgeShare = 0.2;

/// Reads values from a TOML table and collects an error message with the line
/// number for each invalid key.
class ConfigReader {
public:
  ConfigReader(const std::string &Path, const toml::table &Root)
      : Path(Path), Root(Root) {}

  std::string readString(const char *Key, bool Required) {
    const toml::node *Found = this->findValue(Key, Required);
    if (!Found)
      return {};
    if (const auto Value = Found->value<std::string>())
      return *Value;
    this->addError(Key, Found, "must be a string");
    return {};
  }

  std::string readAddress(const char *Key, bool Required) {
    std::string Value = this->readString(Key, Required);
    if (!Value.empty() && !parseSocketAddress(Value))
      this->addError(Key, this->Root.get(Key),
                     "must be of the form a.b.c.d:port");
    return Value;
  }

  double readNumber(const char *Key, double Min, double Max) {
    const toml::node *Found = this->findValue(Key, true);
    if (!Found)
      return Min;
    const auto Value = Found->value<double>();
    if (Value && *Value >= Min && *Value <= Max)
      return *Value;
    std::ostringstream Allowed;
    Allowed << "must be a number from " << Min << " to " << Max;
    this->addError(Key, Found, Allowed.str());
    return Min;
  }

  double readOptionalNumber(const char *Key, double Min, double Max,
                            double Default) {
    return this->findValue(Key, false) ? this->readNumber(Key, Min, Max)
                                       : Default;
  }

  /// Reads a value that the template writes as a string, which is empty if the
  /// platform does not have the value.
  bool readOptionalFlag(const char *Key, bool Default) {
    const toml::node *Found = this->findValue(Key, false);
    if (!Found)
      return Default;
    if (const auto Value = Found->value_exact<bool>())
      return *Value;
    const auto Text = Found->value<std::string>();
    if (Text && isMissing(*Text))
      return Default;
    if (Text && (*Text == "true" || *Text == "True"))
      return true;
    if (Text && (*Text == "false" || *Text == "False"))
      return false;
    this->addError(Key, Found, "must be true or false");
    return Default;
  }

  /// Reads a number that may also be written as a string, like
  /// readOptionalFlag().
  double readOptionalNumberText(const char *Key, double Min, double Max,
                                double Default) {
    const toml::node *Found = this->findValue(Key, false);
    const auto Text =
        Found ? Found->value<std::string>() : std::optional<std::string>();
    if (!Text)
      return this->readOptionalNumber(Key, Min, Max, Default);
    if (isMissing(*Text))
      return Default;
    double Value = 0;
    const char *End = Text->data() + Text->size();
    if (const auto [Rest, Status] = std::from_chars(Text->data(), End, Value);
        Status == std::errc() && Rest == End && Value >= Min && Value <= Max)
      return Value;
    std::ostringstream Allowed;
    Allowed << "must be a number from " << Min << " to " << Max;
    this->addError(Key, Found, Allowed.str());
    return Default;
  }

  std::vector<std::string> readStrings(const char *Key) {
    std::vector<std::string> Values;
    const toml::node *Found = this->findValue(Key, true);
    if (!Found)
      return Values;
    const toml::array *List = Found->as_array();
    for (std::size_t I = 0; List && I < List->size(); ++I)
      if (const auto Value = (*List)[I].value<std::string>())
        Values.push_back(*Value);
    if (!List || Values.size() != List->size())
      this->addError(Key, Found, "must be a list of strings");
    return Values;
  }

  void rejectUnknownKeys() {
    for (const auto &[Key, Value] : this->Root)
      if (!this->KnownKeys.contains(std::string(Key.str())))
        this->addError(std::string(Key.str()), &Value, "is not a known key");
  }

  const std::string &errors() const { return this->Errors; }

private:
  /// Returns whether the template had no value to fill in.
  static bool isMissing(const std::string &Text) {
    return Text.empty() || Text == "null" || Text == "None" ||
           Text.starts_with("{{");
  }

  const toml::node *findValue(const char *Key, bool Required) {
    this->KnownKeys.insert(Key);
    const toml::node *Found = this->Root.get(Key);
    if (!Found && Required)
      this->addError(Key, nullptr, "is missing");
    return Found;
  }

  void addError(const std::string &Key, const toml::node *Position,
                const std::string &What) {
    std::ostringstream Out;
    Out << this->Path;
    if (Position)
      Out << ':' << Position->source().begin.line;
    Out << ": key \"" << Key << "\" " << What << '.';
    if (!this->Errors.empty())
      this->Errors += '\n';
    this->Errors += Out.str();
  }

  const std::string &Path;
  const toml::table &Root;
  std::set<std::string> KnownKeys;
  std::string Errors;
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
  Config.Name = Reader.readString("node", true);
  Config.Zone = Reader.readString("zone", true);
  Config.Ip = Reader.readString("ip", true);
  Config.FrontAddress = Reader.readAddress("front", true);
  Config.ReadyAddress = Reader.readAddress("ready", true);
  Config.ControlAddress = Reader.readAddress("control", false);
  Config.PeerPort =
      static_cast<std::uint16_t>(Reader.readNumber("peer_port", 1, MaxPort));
  Config.CpuShare = Reader.readOptionalNumber("cpu_share", 0.01, 1024, 1);
  Config.MetricsPort =
      static_cast<std::uint16_t>(Reader.readNumber("metrics_port", 1, MaxPort));
  Config.Seeds = Reader.readStrings("seeds");
  Config.StoreAddress = Reader.readAddress("store", true);
  Config.StoreWritesPerSecond =
      Reader.readNumber("store_writes_per_s", 1, 1'000'000);
  Config.StoreReadsPerSecond =
      Reader.readNumber("store_reads_per_s", 1, 1'000'000);
  Config.StoreRowBytes = static_cast<std::size_t>(
      Reader.readNumber("store_row_bytes", MinRowBytes, 1 << 30));
  Config.JobRetention = std::chrono::milliseconds(static_cast<std::int64_t>(
      Reader.readNumber("keep_jobs_s", 1, 31'536'000) * 1000));
  Config.StopTimeout = std::chrono::milliseconds(static_cast<std::int64_t>(
      Reader.readNumber("stop_time_s", 1, 3600) * 1000));
  Config.RefuseStaleKeys =
      Reader.readOptionalFlag("refuse_stale_keys", Config.RefuseStaleKeys);
  Config.StaleKeysTime = std::chrono::milliseconds(
      static_cast<std::int64_t>(Reader.readOptionalNumberText(
          "stale_keys_ms", 1, 86'400'000, toMillis(Config.StaleKeysTime))));
  const HedgeSettings Default;
  Config.Hedging.Share =
      Reader.readOptionalNumber("hedge_share", 0, MaxHedgeShare, Default.Share);
  Config.Hedging.MinDelay = std::chrono::milliseconds(
      static_cast<std::int64_t>(Reader.readOptionalNumber(
          "hedge_min_delay_ms", 1, 60'000, toMillis(Default.MinDelay))));
  Config.Hedging.FreeSlots =
      Reader.readOptionalNumber("hedge_free_slots", 0, 1, Default.FreeSlots);
  Reader.rejectUnknownKeys();
  if (!Reader.errors().empty())
    return failure(ErrorCode::InvalidArgument, Reader.errors());
  return Config;
}

ChangedKeys changedKeys(const NodeConfig &Before, const NodeConfig &After) {
  ChangedKeys Changed;
  const auto Add = [](std::string &Keys, bool Differs, std::string_view Key) {
    if (Differs)
      Keys.append(Keys.empty() ? "" : " ").append(Key);
  };
  Add(Changed.InEffect, Before.Seeds != After.Seeds, "seeds");
  Add(Changed.InEffect, Before.StopTimeout != After.StopTimeout, "stop_time_s");
  Add(Changed.InEffect, Before.RefuseStaleKeys != After.RefuseStaleKeys,
      "refuse_stale_keys");
  Add(Changed.InEffect, Before.StaleKeysTime != After.StaleKeysTime,
      "stale_keys_ms");
  Add(Changed.InEffect, Before.Hedging.Share != After.Hedging.Share,
      "hedge_share");
  Add(Changed.InEffect, Before.Hedging.MinDelay != After.Hedging.MinDelay,
      "hedge_min_delay_ms");
  Add(Changed.InEffect, Before.Hedging.FreeSlots != After.Hedging.FreeSlots,
      "hedge_free_slots");
  std::string &Later = Changed.AfterRestart;
  Add(Later, Before.Name != After.Name, "node");
  Add(Later, Before.Zone != After.Zone, "zone");
  Add(Later, Before.Ip != After.Ip, "ip");
  Add(Later, Before.FrontAddress != After.FrontAddress, "front");
  Add(Later, Before.ReadyAddress != After.ReadyAddress, "ready");
  Add(Later, Before.ControlAddress != After.ControlAddress, "control");
  Add(Later, Before.PeerPort != After.PeerPort, "peer_port");
  Add(Later, Before.MetricsPort != After.MetricsPort, "metrics_port");
  Add(Later, Before.CpuShare != After.CpuShare, "cpu_share");
  Add(Later, Before.StoreAddress != After.StoreAddress, "store");
  Add(Later, Before.StoreRowBytes != After.StoreRowBytes, "store_row_bytes");
  Add(Later, Before.JobRetention != After.JobRetention, "keep_jobs_s");
  return Changed;
}

} // namespace turmericpass
