/// Settings file of a node: JSON with comments. Every field is validated.
#pragma once

#include <string>

#include "cell/settings.h"

namespace citronsill {

/// Settings of a node and of its platform adapter.
struct NodeFile {
  NodeSettings node;
  std::string store_address;   ///< IP:port of the row store.
  std::string advice_address;  ///< IP:port of the policy service; empty for none.
};

/// Reads the settings file.
/// @returns CODE_SETTINGS_UNREADABLE when the file cannot be read or is not a JSON object;
/// CODE_SETTINGS_INVALID naming the first field that is missing, unknown, of the wrong type or out
/// of range.
Result<NodeFile> LoadNodeSettings(const std::string& path);

/// Like `LoadNodeSettings`, from a string.
/// @param source file name for error messages.
Result<NodeFile> ParseNodeSettings(const std::string& text, const std::string& source);

}  // namespace citronsill
