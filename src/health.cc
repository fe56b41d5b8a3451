#include "citronsill/health.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace citronsill {
namespace {

// Maximum number of suspect jobs remembered per worker; more would not change the decision.
constexpr std::size_t kMaxSuspectJobs = 16;

struct Quarantine {
  std::chrono::milliseconds delay{0};    ///< Delay before the next probe.
  SteadyTime next_probe;                 ///< Earliest start of the next probe.
  std::optional<std::string> probe_job;  ///< Job of the running probe, if one is running.
  SteadyTime probe_started;
  std::uint32_t succeeded_probes = 0;
};

/// A failure of a job since the worker's last success.
struct Suspect {
  std::string job;
  bool counts_against_worker = true;  ///< False while the job may be the cause.
};

struct WorkerHealth {
  std::deque<Suspect> suspects;  ///< Different jobs, oldest first.
  std::optional<Quarantine> quarantine;
};

struct JobHealth {
  std::vector<std::string> failed_on;  ///< Different workers.
  bool succeeded = false;              ///< On any worker.
};

}  // namespace

struct HealthTracker::Impl {
  HealthOptions options;
  std::map<std::string, WorkerHealth> workers;
  std::unordered_map<std::string, JobHealth> jobs;  ///< Those that failed at least once.
  std::deque<std::string> job_order;                ///< By first failure; may hold forgotten jobs.
  std::size_t quarantined = 0;

  [[nodiscard]] bool IsFailing(const JobHealth& job) const {
    return !job.succeeded && job.failed_on.size() >= options.workers_to_fail_job;
  }

  /// @returns whether a failure of the job counts against the worker: the job succeeded elsewhere,
  /// or it failed on no other worker that is in service.
  [[nodiscard]] bool CountsAgainstWorker(const std::string& worker, const JobHealth& job) const {
    if (job.succeeded) return true;
    if (IsFailing(job)) return false;
    return std::all_of(job.failed_on.begin(), job.failed_on.end(), [&](const std::string& other) {
      const auto found = workers.find(other);
      return other == worker || found == workers.end() || found->second.quarantine.has_value();
    });
  }

  JobHealth& FindOrAddJob(const std::string& name) {
    const auto [entry, added] = jobs.try_emplace(name);
    if (added) {
      job_order.push_back(name);
      while (job_order.size() > options.max_jobs) {
        jobs.erase(job_order.front());
        job_order.pop_front();
      }
    }
    return jobs[name];
  }

  static void AddSuspect(WorkerHealth& worker, const std::string& job) {
    const auto same = [&job](const Suspect& suspect) { return suspect.job == job; };
    if (std::any_of(worker.suspects.begin(), worker.suspects.end(), same)) return;
    worker.suspects.push_back(Suspect{job});
    if (worker.suspects.size() > kMaxSuspectJobs) worker.suspects.pop_front();
  }

  /// Re-evaluates whether the failures of a job count against the workers on which it failed.
  void ReevaluateJob(const std::string& name, const JobHealth& job, SteadyTime now) {
    for (const std::string& worker : job.failed_on) {
      const auto found = workers.find(worker);
      if (found == workers.end()) continue;
      for (Suspect& suspect : found->second.suspects) {
        if (suspect.job == name) suspect.counts_against_worker = CountsAgainstWorker(worker, job);
      }
      ReevaluateWorker(found->second, now);
    }
  }

  void ReevaluateWorker(WorkerHealth& worker, SteadyTime now) {
    const auto counting_failures = static_cast<std::size_t>(
        std::count_if(worker.suspects.begin(), worker.suspects.end(),
                      [](const Suspect& suspect) { return suspect.counts_against_worker; }));
    const bool is_faulty = counting_failures >= options.failures_to_quarantine;
    if (is_faulty && !worker.quarantine && MayQuarantineOneMore()) {
      Quarantine& quarantine = worker.quarantine.emplace();
      quarantine.delay = options.first_probe_delay;
      quarantine.next_probe = now + quarantine.delay;
      ++quarantined;
    }
    // The jobs that caused the quarantine now seem to be at fault. They stay suspects: if one
    // succeeds elsewhere later on, the worker was at fault after all.
    if (!is_faulty && worker.quarantine && worker.quarantine->delay == options.first_probe_delay) {
      EndQuarantine(worker);
    }
  }

  [[nodiscard]] bool MayQuarantineOneMore() const {
    const double max_quarantined =
        options.max_quarantined_share * static_cast<double>(workers.size());
    return static_cast<double>(quarantined + 1) <= std::max(1.0, max_quarantined);
  }

  void EndQuarantine(WorkerHealth& worker) {
    worker.quarantine.reset();
    --quarantined;
  }

  void OnSuccess(WorkerHealth& worker, const std::string& job, SteadyTime now) {
    if (!worker.quarantine) {
      worker.suspects.clear();
    } else if (worker.quarantine->probe_job == job) {
      worker.quarantine->probe_job.reset();
      worker.quarantine->next_probe = now;
      if (++worker.quarantine->succeeded_probes >= options.probes_to_return) {
        EndQuarantine(worker);
        worker.suspects.clear();
      }
    }
    if (const auto found = jobs.find(job); found != jobs.end() && !found->second.succeeded) {
      found->second.succeeded = true;
      ReevaluateJob(job, found->second, now);
    }
  }

  void OnFailure(const std::string& worker_id, const std::string& job, SteadyTime now) {
    JobHealth& entry = FindOrAddJob(job);
    if (std::find(entry.failed_on.begin(), entry.failed_on.end(), worker_id) ==
        entry.failed_on.end()) {
      entry.failed_on.push_back(worker_id);
    }
    WorkerHealth& worker = workers[worker_id];
    if (worker.quarantine) {
      OnFailureInQuarantine(worker, job, IsFailing(entry), now);
    } else {
      AddSuspect(worker, job);
    }
    ReevaluateJob(job, entry, now);
  }

  void OnFailureInQuarantine(WorkerHealth& worker, const std::string& job, bool is_job_failing,
                             SteadyTime now) {
    Quarantine& quarantine = *worker.quarantine;
    if (quarantine.probe_job != job) return;
    quarantine.probe_job.reset();
    if (is_job_failing) {
      quarantine.next_probe = now;
      return;
    }
    quarantine.succeeded_probes = 0;
    quarantine.delay = std::min(quarantine.delay * 2, options.max_probe_delay);
    quarantine.next_probe = now + quarantine.delay;
  }

  /// @returns the earliest time at which the worker may get a probe.
  [[nodiscard]] SteadyTime NextProbeTime(const Quarantine& quarantine) const {
    if (!quarantine.probe_job) return quarantine.next_probe;
    return quarantine.probe_started + options.probe_timeout;
  }
};

HealthTracker::HealthTracker(const HealthOptions& options) : m_impl(std::make_unique<Impl>()) {
  m_impl->options = options;
}

HealthTracker::~HealthTracker() = default;

void HealthTracker::AddWorker(const std::string& worker) { m_impl->workers.try_emplace(worker); }

void HealthTracker::RemoveWorker(const std::string& worker) {
  const auto found = m_impl->workers.find(worker);
  if (found == m_impl->workers.end()) return;
  if (found->second.quarantine) --m_impl->quarantined;
  m_impl->workers.erase(found);
}

bool HealthTracker::MayPlace(const std::string& worker, SteadyTime now) const {
  const auto found = m_impl->workers.find(worker);
  if (found == m_impl->workers.end() || !found->second.quarantine) return true;
  return now >= m_impl->NextProbeTime(*found->second.quarantine);
}

void HealthTracker::OnPlaced(const std::string& worker, const std::string& job, SteadyTime now) {
  WorkerHealth& entry = m_impl->workers[worker];
  if (!entry.quarantine) return;
  entry.quarantine->probe_job = job;
  entry.quarantine->probe_started = now;
}

void HealthTracker::OnResult(const std::string& worker, const std::string& job, bool succeeded,
                             SteadyTime now) {
  if (succeeded) {
    m_impl->OnSuccess(m_impl->workers[worker], job, now);
  } else {
    m_impl->OnFailure(worker, job, now);
  }
}

void HealthTracker::OnNoResult(const std::string& worker, const std::string& job, SteadyTime now) {
  const auto found = m_impl->workers.find(worker);
  if (found == m_impl->workers.end() || !found->second.quarantine) return;
  Quarantine& quarantine = *found->second.quarantine;
  if (quarantine.probe_job != job) return;
  quarantine.probe_job.reset();
  quarantine.next_probe = now;
}

bool HealthTracker::IsJobFailing(const std::string& job) const {
  const auto found = m_impl->jobs.find(job);
  return found != m_impl->jobs.end() && m_impl->IsFailing(found->second);
}

void HealthTracker::ForgetJob(const std::string& job) { m_impl->jobs.erase(job); }

bool HealthTracker::IsQuarantined(const std::string& worker) const {
  const auto found = m_impl->workers.find(worker);
  return found != m_impl->workers.end() && found->second.quarantine.has_value();
}

std::size_t HealthTracker::QuarantinedCount() const { return m_impl->quarantined; }

std::optional<SteadyTime> HealthTracker::NextProbe(SteadyTime now) const {
  std::optional<SteadyTime> next;
  if (m_impl->quarantined == 0) return next;
  for (const auto& [name, worker] : m_impl->workers) {
    if (!worker.quarantine) continue;
    const SteadyTime due = m_impl->NextProbeTime(*worker.quarantine);
    if (due > now && (!next || due < *next)) next = due;
  }
  return next;
}

RetryBudget::RetryBudget(double fraction, double burst)
    : m_fraction(fraction), m_burst(burst), m_tokens(burst) {}

void RetryBudget::OnFirstAttempt() { m_tokens = std::min(m_tokens + m_fraction, m_burst); }

bool RetryBudget::TryTake() {
  if (m_tokens < 1.0) return false;
  m_tokens -= 1.0;
  return true;
}

}  // namespace citronsill
