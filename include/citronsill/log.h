/// Structured log: one line of key=value pairs for each event.
#pragma once

#include <string>

#include "citronsill/result.h"

namespace citronsill {

/// Sets the format of the log and its level.
/// @param level trace, debug, info, warn or error.
Result<void> ConfigureLog(const std::string& instance, const std::string& level);

/// Changes the level of a running process.
/// @returns CODE_INVALID_FIELD for an unknown name.
Result<void> SetLogLevel(const std::string& level);

/// @returns `value` in quotes, with quotes, control characters and bytes outside of ASCII escaped,
/// at most 128 bytes of it, so that text from a caller cannot forge a line or a field of the log.
std::string LogText(const std::string& value);

}  // namespace citronsill
