// Limits processes to a share of their processor by stopping and continuing them periodically.
#pragma once

#include <sys/types.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "cell/types.h"

namespace citronsill::soak {

class Throttle {
 public:
  Throttle();
  ~Throttle();

  // Throttles a process, or changes its throttling.
  // @param share of wall time in which the process runs, above 0 and below 1.
  // @param period length of one run slice and the pause that follows it.
  void Set(pid_t pid, double share, milliseconds period);
  // Ends the throttling of a process and continues it if it is stopped.
  void Remove(pid_t pid);
  // Collects the status of a process that has ended. No further signals are sent to its id, as
  // another process may get the same id. @returns whether it has ended.
  bool Reap(pid_t pid, int* status);

 private:
  struct Entry {
    std::chrono::microseconds run{0};
    std::chrono::microseconds pause{0};
    bool stopped = false;
    SteadyTime next{};  // When the process is stopped or continued next.
  };
  void Run();

  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::map<pid_t, Entry> m_entries;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace citronsill::soak
