/// Settings of an instance: JSON with comments, checked against the schema.
#pragma once

#include <string>

#include "citronsill/result.h"

namespace citronsill {

/// Reads and checks a settings file.
/// @returns CODE_SETTINGS_UNREADABLE or CODE_SETTINGS_INVALID with file, key, value and what is
/// allowed.
Result<schema::Settings> LoadSettings(const std::string& path);

/// Fills in defaults and checks every value.
/// @param source name of the file, for messages.
Result<void> CheckSettings(const std::string& source, schema::Settings* settings);

}  // namespace citronsill
