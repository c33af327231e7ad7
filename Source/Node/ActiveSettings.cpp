#include "Node/ActiveSettings.h"

#include "Telemetry/Logger.h"

#include <utility>

namespace turmericpass {

ActiveSettings::ActiveSettings(const DeploymentAdapter &Adapter, Logger &Log,
                               AdoptCallback Callback)
    : Adapter(Adapter), Log(Log), Callback(std::move(Callback)) {}

void ActiveSettings::adoptIfNewer(const std::string &NewDocument,
                                  std::string_view Source) {
  Result<ServingSettings> Parsed = this->Adapter.readSettings(NewDocument);
  if (!Parsed) {
    this->Log.log(LogLevel::Error, "Rejected an invalid settings document.",
                  {{"source", Source},
                   {"kept_version", this->version()},
                   {"reason", Parsed.error().Message}});
    return;
  }
  if (this->Settings && Parsed->Version <= this->Settings->Version)
    return;
  this->Log.log(LogLevel::Info, "Settings are in force.",
                {{"version", Parsed->Version},
                 {"version_before", this->version()},
                 {"routes", Parsed->Routes.size()},
                 {"organisations", Parsed->Organisations.size()},
                 {"source", Source}});
  this->Settings = std::make_unique<ServingSettings>(std::move(*Parsed));
  this->Document = NewDocument;
  this->Callback(*this->Settings);
}

} // namespace turmericpass
