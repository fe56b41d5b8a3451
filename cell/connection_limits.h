/// Limits on the connections of a process, worked out from the memory and the descriptors of its
/// machine, and reports of those that clients and called servers exceed.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cell/types.h"
#include "citronsill/connection_budget.h"
#include "citronsill/http.h"
#include "citronsill/listen.h"
#include "citronsill/timer.h"

namespace citronsill {

/// Settings of the limits. A value of 0 is worked out from the others, see `WorkOutLimits`.
struct LimitSettings {
  /// Memory of the machine; by default that of the smallest one of the platform, whose limits
  /// leave room for all callers that keep to the pages.
  std::uint32_t memory_mb = 120;
  std::uint32_t max_descriptors = 0;  ///< Descriptors of the process; 0 when unknown.
  std::uint32_t connection_budget_mb = 0;
  std::uint32_t answer_budget_mb = 0;
  std::uint32_t link_budget_mb = 0;
  /// Body of one answer of the store, a worker or the policy service. A page of the store has up to
  /// 1 MB and takes a third more in Base64; the changes since a version may be several pages.
  std::uint32_t max_answer_mb = 16;
  std::uint32_t max_caller_connections = 0;
  /// Of the readiness and the metrics address, each. The platform uses one or two.
  std::uint32_t max_service_connections = 64;
  std::uint32_t max_links = 0;
  /// Jobs that an instance keeps as the scheduler, see `kMaxJobBytes`.
  std::uint32_t job_budget_mb = 32;
  /// See `ConnectionBudgetLimits::slow_after`.
  milliseconds slow_connection{2000};
};

struct ProcessLimits {
  std::size_t connection_bytes = ConnectionBudgetLimits::kUnlimited;  ///< Of HTTP clients.
  std::size_t answer_bytes = ConnectionBudgetLimits::kUnlimited;      ///< Of unfinished answers.
  std::size_t link_bytes = ConnectionBudgetLimits::kUnlimited;        ///< Received on links.
  std::size_t max_answer_bytes = 0;
  std::size_t max_caller_connections = kMaxHttpConnections;
  std::size_t max_service_connections = 0;
  std::size_t max_links = ConnectionBudgetLimits::kUnlimited;
  ListenOptions caller_listen;   ///< Of the address for callers.
  ListenOptions service_listen;  ///< Of the readiness and the metrics address, each.
  ListenOptions link_listen;
};

/// Works out the limits that the settings leave open. Without `max_descriptors`, numbers of
/// connections are limited by their memory, those of callers also by `kMaxHttpConnections`.
ProcessLimits WorkOutLimits(const LimitSettings& settings);

/// The budgets of a process and the reports of what exceeds them. For programs with one thread.
class ConnectionLimits : public std::enable_shared_from_this<ConnectionLimits> {
 public:
  /// @param timers reports are logged with it; outlives the result.
  static std::shared_ptr<ConnectionLimits> Create(const LimitSettings& settings,
                                                  TimerService& timers);
  ~ConnectionLimits();
  ConnectionLimits(const ConnectionLimits&) = delete;
  ConnectionLimits& operator=(const ConnectionLimits&) = delete;

  const ProcessLimits limits;
  const std::shared_ptr<ConnectionBudget> connections;
  const std::shared_ptr<ConnectionBudget> answers;
  const std::shared_ptr<ConnectionBudget> links;

  /// @returns a function that counts that a limit was exceeded. Each second, at most one line is
  /// logged for each limit and party. @param party "caller", "readiness", "metrics", "store",
  /// "worker", "advice" or "link".
  HttpOnLimit Reporter(std::string party);

 private:
  ConnectionLimits(const LimitSettings& settings, TimerService& timers);
  void LogExceeded();

  struct Exceeded {
    std::uint64_t since_line = 0;
    std::uint64_t total = 0;
  };

  TimerService& m_timers;
  TimerId m_timer;
  std::map<std::string, Exceeded, std::less<>> m_exceeded;  // By party and limit.
};
using ConnectionLimitsPtr = std::shared_ptr<ConnectionLimits>;

/// Applies the limits on answers to a client. @param limits null for none.
void ApplyLimits(const ConnectionLimitsPtr& limits, const char* party, HttpClientOptions* options);

/// Applies the limits on connections of callers to a server. @param limits null for none.
void ApplyCallerLimits(const ConnectionLimitsPtr& limits, HttpServerOptions* options);

/// Applies the limits of the readiness or the metrics address. @param limits null for none.
void ApplyServiceLimits(const ConnectionLimitsPtr& limits, const char* party,
                        HttpServerOptions* options);

}  // namespace citronsill
