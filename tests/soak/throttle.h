// Gives processes only a share of their processor, by stopping and continuing them in short slices.
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

  // @param share of wall time in which the process may run, above 0 and below 1.
  // @param period of one slice with the pause that follows it.
  void Set(pid_t pid, double share, milliseconds period);
  // Lets the process run again, if it was throttled.
  void Remove(pid_t pid);
  // Collects the status of a process that has ended. No signal is sent to it any more, so that a
  // process that gets the same id later is not harmed. @returns whether it has ended.
  bool Reap(pid_t pid, int* status);

 private:
  struct Entry {
    std::chrono::microseconds run{0};
    std::chrono::microseconds pause{0};
    bool stopped = false;
    SteadyTime next{};  // When it is stopped or continued.
  };
  void Work();

  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::map<pid_t, Entry> m_entries;
  bool m_ended = false;
  std::thread m_thread;
};

}  // namespace citronsill::soak
