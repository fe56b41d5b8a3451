// Simulation of the policy service in model time: it decides which workers may run a step.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cell/scheduler.h"
#include "loop.h"

namespace citronsill::model {

// How the service handles advice requests about one job.
struct PolicyTerms {
  bool needs_ticket = false;          // Whether tasks of the job need a ticket.
  milliseconds decide{0};             // Time for one advice request.
  std::chrono::microseconds each{0};  // Additional time for each worker in the advice request.
  milliseconds valid{1500};           // Validity of a ticket.
  double allowed = 1.0;               // Share of workers that may run a step.
};

// @returns whether the service allows a worker to run a step. The result is deterministic.
inline bool IsAllowed(const PolicyTerms& terms, const TaskRef& step, const std::string& worker) {
  if (!terms.needs_ticket) return true;
  const std::uint64_t hash =
      StableHash(step.job + "/" + std::to_string(step.step) + "/" + worker) % 1000;
  return static_cast<double>(hash) < terms.allowed * 1000.0;
}

class PolicyService {
 public:
  // @param slots number of instances that can ask, each with one advice request at a time.
  PolicyService(Loop& loop, std::uint32_t slots) : m_loop(loop), m_slots(slots) {}

  std::function<PolicyTerms(const TaskRef&)> terms;
  // @returns the ticket for the current incarnation of a worker. May be empty.
  std::function<std::string(const std::string& worker)> make_ticket;

  // Request slot state of one scheduler. As in `AdviceClient`, some request slots are reserved for
  // short advice requests.
  class RequestSlots {
   public:
    explicit RequestSlots(std::uint32_t all) : m_all(all) {}

    [[nodiscard]] AdviceCapacity Counts() const {
      constexpr std::uint32_t kReservedDivisor = 8;
      const auto reserved = [](std::uint32_t of) {
        return of > 1 ? std::max(1U, of / kReservedDivisor) : 0;
      };
      const std::uint32_t max_batch = m_all - reserved(m_all);
      const std::uint32_t max_long = max_batch - reserved(max_batch);
      AdviceCapacity counts;
      counts.free = m_all - m_busy;
      counts.free_batch = std::min(counts.free, max_batch - std::min(max_batch, m_busy_batch));
      counts.free_long = std::min(counts.free_batch, max_long - std::min(max_long, m_busy_long));
      return counts;
    }
    void Add(AdviceRequestKind kind, std::uint32_t change) {
      m_busy += change;
      if (kind != AdviceRequestKind::kInteractive) m_busy_batch += change;
      if (kind == AdviceRequestKind::kLong) m_busy_long += change;
    }

   private:
    std::uint32_t m_all;
    std::uint32_t m_busy = 0;
    std::uint32_t m_busy_batch = 0;  // Those with advice requests that are not interactive.
    std::uint32_t m_busy_long = 0;
  };

  [[nodiscard]] RequestSlots MakeRequestSlots() const { return RequestSlots(m_slots); }

  // @param sent when the advice request was sent.
  // @param done gets the answer after the time that the service takes.
  void Ask(SteadyTime sent, const TaskRef& step, const std::vector<std::string>& workers,
           std::function<void(const AdviceAnswer&)> done) {
    const PolicyTerms job_terms = terms ? terms(step) : PolicyTerms{};
    AdviceAnswer answer;
    answer.valid = job_terms.valid;
    for (const std::string& worker : workers) {
      if (!IsAllowed(job_terms, step, worker)) continue;
      answer.tickets.push_back({worker, make_ticket ? make_ticket(worker) : "ticket"});
    }
    const auto decision_time =
        job_terms.decide + job_terms.each * static_cast<std::int64_t>(workers.size());
    m_loop.At(sent + kLatency + decision_time + kLatency,
              [answer, done = std::move(done)] { done(answer); });
  }

 private:
  static constexpr milliseconds kLatency{1};  // Network latency, one way.

  Loop& m_loop;
  std::uint32_t m_slots;
};

}  // namespace citronsill::model
