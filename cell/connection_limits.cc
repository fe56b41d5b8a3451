#include "cell/connection_limits.h"

#include <algorithm>
#include <utility>

#include "cell/log.h"
#include "cell/metrics.h"

namespace citronsill {
namespace {

constexpr std::size_t kMib = 1U << 20;
// A process takes 25 to 95 MB without its connections; the scheduler of a grown cell takes most.
constexpr std::size_t kProcessMb = 96;
// Part of the memory that connections get on machines on which little or nothing is left beside
// that, the reciprocal. On the smallest machine of the platform, 120 MB, both come to the same.
constexpr std::size_t kMinConnectionsPart = 5;
// Shares of the budgets in the memory for connections. That of HTTP clients has the buffers that
// the system keeps for them in it, so it is the largest.
constexpr std::size_t kBudgetParts = 32;
constexpr std::size_t kConnectionParts = 18;
constexpr std::size_t kAnswerParts = 9;
constexpr std::size_t kLinkParts = 5;
// The platform keeps this many descriptors for files.
constexpr std::uint32_t kFileDescriptors = 200;
// Parts of the descriptors for callers and for links, the reciprocals. The rest is for connections
// to workers, up to six each, and to the store. A process on the smallest machine has 2,875: 958
// callers and 359 links.
constexpr std::uint32_t kCallersPart = 3;
constexpr std::uint32_t kLinksPart = 8;
constexpr std::size_t kMinConnections = 16;
// Connections that wait to be accepted at an address, at most.
constexpr std::size_t kMaxPendingCallers = 128;
constexpr std::size_t kMaxPendingServices = 16;
constexpr std::size_t kMaxPendingLinks = 64;
constexpr std::size_t kServiceAddresses = 2;  // Readiness and metrics.
// The receive buffer of a connection is this part of the memory for connections, the reciprocal,
// within its limits. The smaller it is, the more round trips a large request takes.
constexpr std::size_t kReceiveBufferPart = 6144;
constexpr std::size_t kMinReceiveBufferBytes = 4U << 10;
constexpr std::size_t kMaxReceiveBufferBytes = 64U << 10;
// Send buffer of a connection of an HTTP client. Answers to callers are smaller.
constexpr std::size_t kSendBufferBytes = 4U << 10;
// The receive buffer of a link, of which a scheduler has one from each instance of a cell.
constexpr std::size_t kLinkReceiveBufferPart = 12288;
constexpr std::size_t kMaxLinkReceiveBufferBytes = 16U << 10;
// More than the receive buffer of the peer would only wait there.
constexpr std::size_t kLinkSendBufferBytes = kMaxLinkReceiveBufferBytes;
// Interval of the log lines about limits that were exceeded.
constexpr std::chrono::milliseconds kReportPeriod{1000};

// @returns memory that the system takes for connections that have not been accepted, at most.
std::size_t PendingBytes(const ProcessLimits& limits) {
  const auto of = [](const ListenOptions& listen) {
    return listen.max_pending * listen.MaxUnreadBytes();
  };
  return of(limits.caller_listen) + kServiceAddresses * of(limits.service_listen) +
         of(limits.link_listen);
}

std::size_t BytesOf(std::uint32_t mb, std::size_t worked_out) {
  return mb > 0 ? mb * kMib : worked_out;
}

}  // namespace

ProcessLimits WorkOutLimits(const LimitSettings& settings) {
  ProcessLimits limits;
  const std::size_t memory_mb = settings.memory_mb;
  const std::size_t spare_bytes =
      kMib * std::max(memory_mb / kMinConnectionsPart, memory_mb - std::min(memory_mb, kProcessMb));
  const std::size_t receive_buffer_bytes =
      std::clamp(spare_bytes / kReceiveBufferPart, kMinReceiveBufferBytes, kMaxReceiveBufferBytes);
  limits.caller_listen = {receive_buffer_bytes, kSendBufferBytes, kMaxPendingCallers};
  limits.service_listen = {kMinReceiveBufferBytes, kSendBufferBytes, kMaxPendingServices};
  limits.link_listen.receive_buffer_bytes = std::clamp(
      spare_bytes / kLinkReceiveBufferPart, kMinReceiveBufferBytes, kMaxLinkReceiveBufferBytes);
  limits.link_listen.send_buffer_bytes = kLinkSendBufferBytes;
  limits.link_listen.max_pending = kMaxPendingLinks;
  const std::size_t budget_bytes = spare_bytes - std::min(spare_bytes, PendingBytes(limits));
  limits.connection_bytes = budget_bytes / kBudgetParts * kConnectionParts;
  limits.answer_bytes = budget_bytes / kBudgetParts * kAnswerParts;
  limits.link_bytes = budget_bytes / kBudgetParts * kLinkParts;
  limits.connection_bytes = BytesOf(settings.connection_budget_mb, limits.connection_bytes);
  limits.answer_bytes = BytesOf(settings.answer_budget_mb, limits.answer_bytes);
  limits.link_bytes = BytesOf(settings.link_budget_mb, limits.link_bytes);
  limits.max_answer_bytes = settings.max_answer_mb * kMib;
  limits.max_service_connections = settings.max_service_connections;
  if (settings.max_descriptors > 0) {
    const std::size_t sockets =
        settings.max_descriptors - std::min(settings.max_descriptors, kFileDescriptors);
    limits.max_caller_connections =
        std::clamp(sockets / kCallersPart, kMinConnections, kMaxHttpConnections);
    limits.max_links = std::max(sockets / kLinksPart, kMinConnections);
  }
  if (settings.max_caller_connections > 0) {
    limits.max_caller_connections = settings.max_caller_connections;
  }
  if (settings.max_links > 0) limits.max_links = settings.max_links;
  return limits;
}

std::shared_ptr<ConnectionLimits> ConnectionLimits::Create(const LimitSettings& settings,
                                                           TimerService& timers) {
  std::shared_ptr<ConnectionLimits> created(new ConnectionLimits(settings, timers));
  created->m_timer = timers.Every(kReportPeriod, [weak = std::weak_ptr(created)](SteadyTime) {
    if (const auto self = weak.lock()) self->LogExceeded();
  });
  return created;
}

ConnectionLimits::ConnectionLimits(const LimitSettings& settings, TimerService& timers)
    : limits(WorkOutLimits(settings)),
      connections(std::make_shared<ConnectionBudget>(
          ConnectionBudgetLimits{limits.connection_bytes, settings.slow_connection})),
      answers(std::make_shared<ConnectionBudget>(
          ConnectionBudgetLimits{limits.answer_bytes, settings.slow_connection})),
      links(std::make_shared<ConnectionBudget>(
          ConnectionBudgetLimits{limits.link_bytes, settings.slow_connection})),
      m_timers(timers) {}

ConnectionLimits::~ConnectionLimits() { m_timers.Cancel(m_timer); }

HttpOnLimit ConnectionLimits::Reporter(std::string party) {
  return [weak = weak_from_this(), party = std::move(party)](std::string_view limit) {
    NodeMetrics::Get().CountLimit(party.c_str(), std::string(limit));
    const auto self = weak.lock();
    if (!self) return;
    Exceeded& exceeded = self->m_exceeded[party + " " + std::string(limit)];
    ++exceeded.since_line;
    ++exceeded.total;
  };
}

void ConnectionLimits::LogExceeded() {
  for (auto& [key, exceeded] : m_exceeded) {
    if (exceeded.since_line == 0) continue;
    const std::size_t space = key.find(' ');
    Log(LogLevel::kWarn, "limit-exceeded")
        .Field("party", key.substr(0, space))
        .Field("limit", key.substr(space + 1))
        .Field("times", std::exchange(exceeded.since_line, 0))
        .Field("total", exceeded.total)
        .Field("connection_bytes", connections->Bytes())
        .Field("answer_bytes", answers->Bytes())
        .Field("link_bytes", links->Bytes());
  }
}

void ApplyLimits(const ConnectionLimitsPtr& limits, const char* party, HttpClientOptions* options) {
  if (!limits) return;
  options->max_answer_bytes = limits->limits.max_answer_bytes;
  options->budget = limits->answers;
  options->on_limit = limits->Reporter(party);
}

void ApplyCallerLimits(const ConnectionLimitsPtr& limits, HttpServerOptions* options) {
  if (!limits) return;
  options->max_connections = limits->limits.max_caller_connections;
  options->listen = limits->limits.caller_listen;
  options->budget = limits->connections;
  options->on_limit = limits->Reporter("caller");
}

void ApplyServiceLimits(const ConnectionLimitsPtr& limits, const char* party,
                        HttpServerOptions* options) {
  if (!limits) return;
  options->max_connections = limits->limits.max_service_connections;
  options->listen = limits->limits.service_listen;
  options->budget = limits->connections;
  options->on_limit = limits->Reporter(party);
}

}  // namespace citronsill
