// Checks what callers see of a changed configuration: in calm periods, each instance has to serve
// the newest queue in time.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "processes.h"

namespace citronsill::soak {

class ConfigCheck {
 public:
  static Result<std::unique_ptr<ConfigCheck>> Create(Runtime& runtime, Platform* platform,
                                                     const Processes& processes);

  // Calls the instances that have not served the newest queue yet and have to by now. To be called
  // periodically.
  void CheckAll();

  // @returns the number of times that an instance was found to serve a new queue.
  [[nodiscard]] std::size_t Served() const { return m_served; }

 private:
  ConfigCheck(Platform* platform, const Processes& processes);
  [[nodiscard]] bool IsDue(const Processes::Instance& instance) const;
  void Check(const Processes::Instance& instance);

  Platform* m_platform;
  const Processes& m_processes;
  SteadyTime m_start;
  std::vector<std::unique_ptr<HttpClient>> m_clients;  // One for each instance.
  // Version that was served or reported, by instance number.
  std::map<int, std::uint64_t> m_checked;
  std::size_t m_served = 0;
};

}  // namespace citronsill::soak
