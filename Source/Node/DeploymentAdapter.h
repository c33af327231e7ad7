#ifndef TURMERICPASS_NODE_DEPLOYMENTADAPTER_H
#define TURMERICPASS_NODE_DEPLOYMENTADAPTER_H

#include "BatchJobs/JobCallCodec.h"
#include "Serving/BackendProtocol.h"
#include "Serving/BackendServer.h"
#include "Serving/ServingSettings.h"

#include <string>
#include <string_view>

namespace turmericpass {

/// Where a deployment keeps what the operator and the backend servers write.
struct DeploymentTables {
  std::string SettingsTable;
  std::string SettingsKey;
  std::string ServersTable;
};

/// Translates a deployment's names and formats into the product's types. It
/// decides nothing.
class DeploymentAdapter {
public:
  virtual ~DeploymentAdapter() = default;

  virtual const DeploymentTables &tables() const = 0;
  virtual const BackendProtocol &backendProtocol() const = 0;
  virtual const JobCallCodec &jobCallCodec() const = 0;

  /// Reads what the operator wrote. Errors: Malformed.
  virtual Result<ServingSettings>
  readSettings(std::string_view Document) const = 0;

  /// Reads the entry of server \p Id. Errors: Malformed.
  virtual Result<ServerEntry> readServer(const std::string &Id,
                                         std::string_view Document) const = 0;
};

} // namespace turmericpass

#endif
