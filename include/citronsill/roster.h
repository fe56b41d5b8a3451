/// Instances and workers as listed by the platform, and which workers were removed permanently.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "citronsill/result.h"
#include "citronsill/types.h"

namespace citronsill {

/// Thread-safe.
class Roster {
 public:
  Roster();
  ~Roster();

  /// Takes over a new list of the platform.
  /// @returns ids of workers that were listed before and count as removed from now on.
  std::vector<std::string> Update(const schema::Directory& directory);

  /// @returns whether a list has been received.
  [[nodiscard]] bool HasList() const;

  /// @returns the last list; empty before the first.
  [[nodiscard]] schema::Directory List() const;

  /// @returns the peer addresses of all listed instances.
  [[nodiscard]] std::vector<std::string> InstanceAddresses() const;

  /// @returns whether the worker was missing from several consecutive lists. A single list may lag
  /// or be incomplete, and a task that is given up too early could run twice.
  [[nodiscard]] bool IsRemoved(const std::string& worker) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
