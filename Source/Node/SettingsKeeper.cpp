#include "Node/SettingsKeeper.h"

#include "Telemetry/Logger.h"

#include <utility>

namespace turmericpass {

SettingsKeeper::SettingsKeeper(const DeploymentAdapter &Adapter, Logger &Log,
                               Adopted Told)
    : Adapter(Adapter), Log(Log), Told(std::move(Told)) {}

void SettingsKeeper::adoptIfNewer(const std::string &Offered,
                                  std::string_view Source) {
  Result<ServingSettings> Read = this->Adapter.readSettings(Offered);
  if (!Read) {
    this->Log.log(LogLevel::Error, "A settings document cannot be used.",
                  {{"source", Source},
                   {"kept_version", this->version()},
                   {"reason", Read.error().Message}});
    return;
  }
  if (this->Settings && Read->Version <= this->Settings->Version)
    return;
  this->Log.log(LogLevel::Info, "Settings are in force.",
                {{"version", Read->Version},
                 {"version_before", this->version()},
                 {"routes", Read->Routes.size()},
                 {"source", Source}});
  this->Settings = std::make_unique<ServingSettings>(std::move(*Read));
  this->Document = Offered;
  this->Told(*this->Settings);
}

} // namespace turmericpass
