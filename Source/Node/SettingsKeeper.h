#ifndef TURMERICPASS_NODE_SETTINGSKEEPER_H
#define TURMERICPASS_NODE_SETTINGSKEEPER_H

#include "Node/DeploymentAdapter.h"

#include <functional>
#include <memory>
#include <string>

namespace turmericpass {

class Logger;

/// Holds the settings in force. A version never gives way to an older one.
class SettingsKeeper {
public:
  using Adopted = std::function<void(const ServingSettings &)>;

  SettingsKeeper(const DeploymentAdapter &Adapter, Logger &Log, Adopted Told);

  /// Adopts \p Document if it is newer than the settings in force. \p Source
  /// says where it came from, for the log.
  void adoptIfNewer(const std::string &Document, std::string_view Source);

  /// The settings in force; nullptr before the first ones came.
  const ServingSettings *current() const { return this->Settings.get(); }

  std::uint64_t version() const {
    return this->Settings ? this->Settings->Version : 0;
  }

  /// The document of the settings in force, as the operator wrote it.
  const std::string &document() const { return this->Document; }

private:
  const DeploymentAdapter &Adapter;
  Logger &Log;
  Adopted Told;
  std::unique_ptr<ServingSettings> Settings;
  std::string Document;
};

} // namespace turmericpass

#endif
