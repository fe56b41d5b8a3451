/// Access keys of callers and operators.
#pragma once

#include <memory>
#include <string>

#include "citronsill/result.h"

namespace citronsill {

/// Checks access keys, which are read from a JSON file with comments:
/// `{"keys": [{"name", "role": "ROLE_CALLER" or "ROLE_OPERATOR", "key"}]}`.
/// Operators may do everything that callers may. Thread-safe.
class AccessControl {
 public:
  /// @param path path of the key file; an empty path allows every request.
  /// @returns CODE_SETTINGS_UNREADABLE or CODE_SETTINGS_INVALID; messages never contain a key.
  static Result<std::unique_ptr<AccessControl>> Create(const std::string& path);
  ~AccessControl();

  /// @param authorization value of the Authorization header, "Bearer KEY".
  /// @param needed least role that the key must have; ROLE_NONE allows every request.
  /// @returns the name of the key, or "anyone" if no key is needed; CODE_UNAUTHENTICATED or
  /// CODE_FORBIDDEN.
  /// @remarks Every key is compared in constant time, so that timing reveals nothing about them.
  [[nodiscard]] Result<std::string> Authorize(const std::string& authorization,
                                              schema::Role needed) const;

  /// Rereads the file if it has changed; call it periodically. An invalid file is logged, and the
  /// current keys stay in force.
  void Refresh();

 private:
  struct Impl;
  explicit AccessControl(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
