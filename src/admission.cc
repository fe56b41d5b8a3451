#include "citronsill/admission.h"

#include <cmath>

#include "internal.h"

namespace citronsill {
namespace {

// Callers who retry at the time they were given may fill the whole queue, all others only this
// fraction of it, so that the former are accepted.
constexpr double kNewCallerFraction = 0.6;

// Fraction of the drain rate that is promised to callers who were told when to retry.
constexpr double kPromisedFraction = 0.9;

// The estimated time to finish is multiplied by this factor before it is compared with the
// deadline, because run times vary and teams with less work may arrive later and be served first.
constexpr double kDeadlineMargin = 1.5;

// Work that waited less than this was placed at once and says nothing about the drain rate.
constexpr std::chrono::milliseconds kMinMeasuredWait{10};

// Weight of the expected rate against measurements, in units of the time constant.
constexpr double kExpectedWeight = 0.125;

// Bounds of the measured rate, as multiples of the expected rate and of the whole cell; the larger
// one applies. A rate above the whole cell means that run times were overestimated; one far above
// the expected rate was measured over too short a time.
constexpr double kMaxOverExpectedRate = 4.0;
constexpr double kMaxOverCellRate = 1.5;

constexpr std::chrono::milliseconds kMinRetryAfter{100};
constexpr std::chrono::milliseconds kMaxRetryAfter{120000};

// A caller may retry this much before and after the time that it was given.
constexpr std::chrono::milliseconds kMaxEarlyRetry{100};
constexpr std::chrono::milliseconds kMaxLateRetry{3000};
constexpr std::size_t kMaxScheduledRetries = 100000;

// Rounding errors of the sums are below this amount of work, in cell-seconds.
constexpr double kWorkEpsilon = 1e-9;

double Seconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double>(time).count();
}

std::chrono::milliseconds RoundUp(double seconds) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1000.0)));
}

}  // namespace

AdmissionControl::AdmissionControl(const AdmissionOptions& options) : m_options(options) {}

void AdmissionControl::UpdateAverages(SteadyTime now) {
  const double elapsed = m_has_last_update ? Seconds(now - m_last_update) : 0.0;
  if (m_has_last_update && elapsed <= 0.0) return;
  m_has_last_update = true;
  m_last_update = now;
  const double time_constant = Seconds(m_options.time_constant);
  const double decay = std::exp(-elapsed / time_constant);
  m_taken_work *= decay;
  m_busy_seconds = m_busy_seconds * decay +
                   (m_total_backlog > kWorkEpsilon ? (1.0 - decay) * time_constant : 0.0);
}

double AdmissionControl::DrainRate() const {
  const double weight = kExpectedWeight * Seconds(m_options.time_constant);
  const double rate = (m_taken_work + m_expected_rate * weight) / (m_busy_seconds + weight);
  if (m_expected_rate <= 0.0) return 0.0;
  return std::min(rate, std::max(kMaxOverExpectedRate * m_expected_rate, kMaxOverCellRate));
}

void AdmissionControl::OnQueued(const std::string& team, double work, SteadyTime now) {
  UpdateAverages(now);
  m_backlog[team] += work;
  m_total_backlog += work;
}

void AdmissionControl::SubtractBacklog(const std::string& team, double work) {
  m_total_backlog = std::max(0.0, m_total_backlog - work);
  const auto found = m_backlog.find(team);
  if (found == m_backlog.end()) return;
  found->second -= work;
  if (found->second <= kWorkEpsilon) m_backlog.erase(found);
  if (m_backlog.empty()) m_total_backlog = 0.0;
}

void AdmissionControl::OnDropped(const std::string& team, double work, SteadyTime now) {
  UpdateAverages(now);
  SubtractBacklog(team, work);
}

void AdmissionControl::OnTaken(const std::string& team, double work,
                               std::chrono::nanoseconds waited, SteadyTime now) {
  UpdateAverages(now);
  SubtractBacklog(team, work);
  if (waited >= kMinMeasuredWait) m_taken_work += work;
}

double AdmissionControl::QueueSeconds(const std::string& team) const {
  const double rate = DrainRate();
  if (rate <= 0.0) return 0.0;
  const auto found = m_backlog.find(team);
  const double own_backlog = found == m_backlog.end() ? 0.0 : found->second;
  // Teams are served evenly: of another team's work, at
  // most as much as the team's own is served before it.
  double work_ahead = 0.0;
  for (const auto& [other, work] : m_backlog) work_ahead += std::min(work, own_backlog);
  return work_ahead / rate;
}

Admission AdmissionControl::Decide(const AdmissionQuery& query, SteadyTime now) {
  UpdateAverages(now);
  ForgetExpiredRetries(now);
  if (query.deadline && now + query.run_time >= *query.deadline) {
    return {schema::CODE_DEADLINE_UNREACHABLE, "the deadline is shorter than the run time", {}};
  }
  const double rate = DrainRate();
  // Without workers the drain rate is unknown, and another instance may take the work.
  if (rate <= 0.0) return {schema::CODE_OK, {}, {}};
  const double wait = QueueSeconds(query.team);
  bool can_accept = true;
  if (query.deadline) {
    const double finish = wait + query.work / rate + Seconds(query.run_time);
    can_accept = m_total_backlog <= kWorkEpsilon ||
                 kDeadlineMargin * finish <= Seconds(*query.deadline - now);
  }
  if (m_options.max_queue_wait) {
    const double queue_fraction = IsRetryDue(query.job, now) ? 1.0 : kNewCallerFraction;
    can_accept = can_accept && wait <= queue_fraction * Seconds(*m_options.max_queue_wait);
  }
  if (!can_accept) return Refuse(query, wait, now);
  m_scheduled_retries.erase(query.job);
  return {schema::CODE_OK, {}, {}};
}

Admission AdmissionControl::Refuse(const AdmissionQuery& query, double wait, SteadyTime now) {
  // Retry times are spaced according to the drain rate, so that callers do not all retry at once.
  const SteadyTime earliest = now + std::max(kMinRetryAfter, RoundUp(wait / 2));
  const SteadyTime due = std::max(earliest, m_next_retry);
  const std::chrono::duration<double> interval(query.work / (kPromisedFraction * DrainRate()));
  m_next_retry = due + std::chrono::duration_cast<SteadyTime::duration>(interval);
  Admission refused{schema::CODE_OVERLOADED, "cannot be answered in time at the current load", {}};
  refused.retry_after =
      std::min(kMaxRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(due - now));
  if (m_scheduled_retries.size() < kMaxScheduledRetries) {
    m_scheduled_retries[query.job] = {now + refused.retry_after};
    m_retry_order.emplace_back(now + refused.retry_after, query.job);
  }
  return refused;
}

bool AdmissionControl::IsRetryDue(const std::string& job, SteadyTime now) const {
  const auto found = m_scheduled_retries.find(job);
  return found != m_scheduled_retries.end() && now + kMaxEarlyRetry >= found->second.due;
}

void AdmissionControl::ForgetExpiredRetries(SteadyTime now) {
  while (!m_retry_order.empty() && m_retry_order.front().first + kMaxLateRetry < now) {
    const auto found = m_scheduled_retries.find(m_retry_order.front().second);
    if (found != m_scheduled_retries.end() && found->second.due + kMaxLateRetry < now) {
      m_scheduled_retries.erase(found);
    }
    m_retry_order.pop_front();
  }
}

}  // namespace citronsill
