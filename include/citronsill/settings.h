/// Settings of an instance: JSON with comments, validated against the schema.
#pragma once

#include <string>
#include <string_view>

#include "citronsill/result.h"

namespace citronsill {

/// Reads and validates a settings file.
/// @returns CODE_SETTINGS_UNREADABLE or CODE_SETTINGS_INVALID, with file, key, value and the
/// allowed values.
Result<schema::Settings> LoadSettings(const std::string& path);

/// Parses and validates the text of a settings file.
/// @param source name of the file, for messages.
Result<schema::Settings> ParseSettings(const std::string& source, std::string_view text);

/// Fills in defaults and validates every value.
/// @param source name of the file, for messages.
Result<void> CheckSettings(const std::string& source, schema::Settings* settings);

/// Validates a work class, from the settings or from a record.
/// @param path prefix of the keys in messages, for example "classes[2]".
/// @returns CODE_INVALID_FIELD with key, value and the allowed values.
Result<void> CheckWorkClass(const std::string& path, const schema::WorkClass& work_class);

/// @returns whether `name` consists of 1 to `kMaxNameBytes` characters a-z, 0-9, "-", "_" and ".".
bool IsName(std::string_view name);

}  // namespace citronsill
