/// Access keys of callers and operators.
#pragma once

#include <memory>
#include <string>

#include "citronsill/result.h"

namespace citronsill {

/// Keys come from a file `{"keys": [{"name", "role": "ROLE_CALLER" or "ROLE_OPERATOR", "key"}]}`,
/// JSON with comments. An operator may do all that a caller may. Thread-safe.
class AccessControl {
 public:
  /// @param path file of keys; with an empty path everything is allowed.
  /// @returns CODE_SETTINGS_UNREADABLE or CODE_SETTINGS_INVALID; messages never hold a key.
  static Result<std::unique_ptr<AccessControl>> Create(const std::string& path);
  ~AccessControl();

  /// @param authorization value of the Authorization header, "Bearer KEY".
  /// @returns the name of the key; CODE_UNAUTHENTICATED or CODE_FORBIDDEN.
  /// @remarks Every key is compared in constant time, so that the time tells nothing about them.
  [[nodiscard]] Result<std::string> Authorize(const std::string& authorization,
                                              schema::Role needed) const;

  /// Reads the file again when it has changed; for a timer. A file with faults is logged and the
  /// keys stay as they are.
  void Refresh();

 private:
  struct Impl;
  explicit AccessControl(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
