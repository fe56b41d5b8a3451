#include "throttle.h"

#include <sys/wait.h>

#include <algorithm>
#include <csignal>

namespace citronsill::soak {

using std::chrono::microseconds;

Throttle::Throttle() : m_thread([this] { Run(); }) {}

Throttle::~Throttle() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_one();
  m_thread.join();
}

void Throttle::Set(pid_t pid, double share, milliseconds period) {
  const std::lock_guard lock(m_mutex);
  Entry& entry = m_entries[pid];
  const microseconds whole(period);
  entry.run = microseconds(static_cast<std::int64_t>(static_cast<double>(whole.count()) * share));
  entry.pause = whole - entry.run;
  if (!entry.stopped) entry.next = BootNow() + entry.run;
  m_wake.notify_one();
}

void Throttle::Remove(pid_t pid) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_entries.find(pid);
  if (found == m_entries.end()) return;
  if (found->second.stopped) kill(pid, SIGCONT);
  m_entries.erase(found);
}

bool Throttle::Reap(pid_t pid, int* status) {
  const std::lock_guard lock(m_mutex);
  if (waitpid(pid, status, WNOHANG) != pid) return false;
  m_entries.erase(pid);
  return true;
}

void Throttle::Run() {
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    const SteadyTime now = BootNow();
    SteadyTime next = now + std::chrono::seconds(1);
    for (auto& [pid, entry] : m_entries) {
      if (entry.next <= now) {
        entry.stopped = !entry.stopped;
        kill(pid, entry.stopped ? SIGSTOP : SIGCONT);
        entry.next = now + (entry.stopped ? entry.pause : entry.run);
      }
      next = std::min(next, entry.next);
    }
    m_wake.wait_for(lock, next - now);
  }
}

}  // namespace citronsill::soak
