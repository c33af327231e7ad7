#ifndef TURMERICPASS_NODE_ACTIVESETTINGS_H
#define TURMERICPASS_NODE_ACTIVESETTINGS_H

#include "Node/DeploymentAdapter.h"

#include <functional>
#include <memory>
#include <string>

namespace turmericpass {

class Logger;

/// Holds the settings in force. A version is never replaced by an older one.
class ActiveSettings {
public:
  using AdoptCallback = std::function<void(const ServingSettings &)>;

  ActiveSettings(const DeploymentAdapter &Adapter, Logger &Log,
                 AdoptCallback Callback);

  /// Adopts \p NewDocument if it is newer than the settings in force. \p Source
  /// names its origin in log messages.
  void adoptIfNewer(const std::string &NewDocument, std::string_view Source);

  /// Returns the settings in force, or nullptr before the first ones arrive.
  const ServingSettings *current() const { return this->Settings.get(); }

  std::uint64_t version() const {
    return this->Settings ? this->Settings->Version : 0;
  }

  /// Returns the settings document in force, as the operator wrote it.
  const std::string &document() const { return this->Document; }

private:
  const DeploymentAdapter &Adapter;
  Logger &Log;
  AdoptCallback Callback;
  std::unique_ptr<ServingSettings> Settings;
  std::string Document;
};

} // namespace turmericpass

#endif
