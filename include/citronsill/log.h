/// Structured log: one line of key=value pairs for each event.
#pragma once

#include <string>

#include "citronsill/result.h"

namespace citronsill {

/// Sets the format and the level of the log.
/// @param level trace, debug, info, warn or error.
/// @returns CODE_INVALID_FIELD for an unknown level.
Result<void> ConfigureLog(const std::string& instance, const std::string& level);

/// Changes the level of a running process.
/// @returns CODE_INVALID_FIELD for an unknown level.
Result<void> SetLogLevel(const std::string& level);

/// @returns `value` in quotes, truncated to 128 bytes, with quotes, backslashes, control characters
/// and non-ASCII bytes escaped, so that text from a caller cannot forge a log line or field.
std::string LogText(const std::string& value);

}  // namespace citronsill
