#ifndef TURMERICPASS_NODE_DEPLOYMENTADAPTER_H
#define TURMERICPASS_NODE_DEPLOYMENTADAPTER_H

#include "BatchJobs/JobCallCodec.h"
#include "Serving/BackendProtocol.h"
#include "Serving/BackendServer.h"
#include "Serving/ServingSettings.h"

#include <string>
#include <string_view>

namespace turmericpass {

/// The store tables of a deployment that the operator and the backend servers
/// write to.
struct DeploymentTables {
  std::string SettingsTable;
  std::string SettingsKey;
  std::string ServersTable;
};

/// Translates the names and formats of a deployment into the types of this
/// code base. An adapter contains no serving logic.
class DeploymentAdapter {
public:
  virtual ~DeploymentAdapter() = default;

  virtual const DeploymentTables &tables() const = 0;
  virtual const BackendProtocol &backendProtocol() const = 0;
  virtual const JobCallCodec &jobCallCodec() const = 0;

  /// Parses the settings document of the operator. Errors: Malformed.
  virtual Result<ServingSettings>
  readSettings(std::string_view Document) const = 0;

  /// Parses the entry of the server \p Id. Errors: Malformed.
  virtual Result<ServerEntry> readServer(const std::string &Id,
                                         std::string_view Document) const = 0;
};

} // namespace turmericpass

#endif
