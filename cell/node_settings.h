/// Settings file of a node: JSON with comments, checked field by field.
#pragma once

#include <string>

#include "cell/settings.h"

namespace citronsill {

/// Settings of a node and of the adapter of its platform.
struct NodeFile {
  NodeSettings node;
  std::string store_address;   ///< IP:port of the row store.
  std::string advice_address;  ///< IP:port of the policy service; empty for none.
};

/// Reads the settings.
/// @returns CODE_SETTINGS_UNREADABLE when the file cannot be read or is no JSON object;
/// CODE_SETTINGS_INVALID naming the first field that is missing, not known, of the wrong type or
/// out of range.
Result<NodeFile> LoadNodeSettings(const std::string& path);

/// As `LoadNodeSettings`, from text.
Result<NodeFile> ParseNodeSettings(const std::string& text, const std::string& source);

}  // namespace citronsill
