#ifndef TURMERICPASS_SETTINGS_SETTINGSREADER_H
#define TURMERICPASS_SETTINGS_SETTINGSREADER_H

#include "Settings/FleetSettings.h"
#include "Settings/SettingsTree.h"

namespace turmericpass {

/// Reads the values of \p Tree and validates each value on its own. Problems
/// are added to \p Tree.
FleetSettings readSettings(SettingsTree &Tree);

} // namespace turmericpass

#endif
