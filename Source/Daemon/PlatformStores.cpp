#include "Daemon/PlatformStores.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// A relay's controller asks for 3.1 reads and 0.3 writes a second, a batcher
/// at 28 items a second for 1.5 and 0.3. With the even part of 410
/// nodes no settings came into force within 3 s and batchers stood still.
constexpr double LeastReadsPerSecond = 4;
constexpr double LeastWritesPerSecond = 1;

/// Uploads a job of 20,000 items within the wait below.
constexpr double LeastPutsPerSecond = 10;
constexpr Duration LongestObjectWait = std::chrono::seconds(8);

/// Gateways write intents and jobs, batchers claims and commits; controllers
/// write little. Dispatchers use no store.
double shareOf(DaemonRole Role) {
  switch (Role) {
  case DaemonRole::Gateway:
    return 0.5;
  case DaemonRole::Batcher:
    return 0.4;
  case DaemonRole::Controller:
    return 0.1;
  case DaemonRole::Dispatcher:
    return 0;
  }
  return 0;
}

void collectCounts(Metrics &Stats, const std::string &Store,
                   const StoreCounts &Counts) {
  const std::string Label = "{store=\"" + Store + "\"}";
  Stats.set("store_reads" + Label, static_cast<double>(Counts.Reads));
  Stats.set("store_writes" + Label, static_cast<double>(Counts.Writes));
  Stats.set("store_retries" + Label, static_cast<double>(Counts.Retries));
  Stats.set("store_refused" + Label, static_cast<double>(Counts.Refused));
}

} // namespace

StoreLimits storeShare(const FleetSettings &Settings, DaemonRole Role) {
  const double Nodes =
      std::max<double>(1, static_cast<double>(Settings.Nodes.size()));
  StoreLimits Limits;
  const double Share = shareOf(Role) / Nodes;
  Limits.WritesPerSecond =
      std::max(LeastWritesPerSecond, Settings.Platform.WritesPerSecond * Share);
  Limits.ReadsPerSecond =
      std::max(LeastReadsPerSecond, Settings.Platform.ReadsPerSecond * Share);
  return Limits;
}

StoreLimits objectShare(const FleetSettings &Settings, DaemonRole Role) {
  StoreLimits Limits = storeShare(Settings, Role);
  Limits.WritesPerSecond = std::max(Limits.WritesPerSecond, LeastPutsPerSecond);
  Limits.MaxWait = LongestObjectWait;
  return Limits;
}

PlatformStores::PlatformStores(DaemonContext &Context)
    : PlainRows(Context.Client, Context.Options.Settings.Platform.Table),
      PlainObjects(Context.Client, Context.Options.Settings.Platform.Objects),
      Rows(Context.Loop, this->PlainRows,
           storeShare(Context.Options.Settings, Context.Role),
           Context.Ids.number()),
      Objects(Context.Loop, this->PlainObjects,
              objectShare(Context.Options.Settings, Context.Role),
              Context.Ids.number()) {
  Context.onCollect([this, &Context] { this->collect(Context.Stats); });
}

void PlatformStores::collect(Metrics &Stats) const {
  collectCounts(Stats, "table", this->Rows.counts());
  collectCounts(Stats, "objects", this->Objects.counts());
}

} // namespace turmericpass
