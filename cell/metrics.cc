#include "cell/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <memory>

namespace citronsill {
namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

// In seconds. From the duration of a commit of a healthy store to the longest wait of a caller.
const Histogram::BucketBoundaries kLatencyBuckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                                  0.5,   1.0,  2.0,   4.0,  8.0, 16.0};

const char* CallName(CallKind kind) {
  switch (kind) {
    case CallKind::kSubmit:
      return "submit";
    case CallKind::kCancel:
      return "cancel";
    case CallKind::kState:
      return "state";
    case CallKind::kWaiting:
      return "waiting";
  }
  return "unknown";
}

const char* StageName(Stage stage) {
  switch (stage) {
    case Stage::kAccept:
      return "accept";
    case Stage::kStart:
      return "start";
    case Stage::kPublish:
      return "show";
  }
  return "unknown";
}

double Seconds(milliseconds time) { return static_cast<double>(time.count()) / 1000.0; }

}  // namespace

struct NodeMetrics::Impl {
  prometheus::Registry registry;
  Family<Counter>& calls = prometheus::BuildCounter()
                               .Name("citronsill_calls_total")
                               .Help("Calls of callers by kind and result code.")
                               .Register(registry);
  Family<Histogram>& call_seconds = prometheus::BuildHistogram()
                                        .Name("citronsill_call_seconds")
                                        .Help("Time until a caller's final answer.")
                                        .Register(registry);
  Family<Histogram>& stage_seconds = prometheus::BuildHistogram()
                                         .Name("citronsill_stage_seconds")
                                         .Help("Time of one stage of a job.")
                                         .Register(registry);
  Family<Counter>& starts = prometheus::BuildCounter()
                                .Name("citronsill_starts_total")
                                .Help("Starts by the worker's verdict.")
                                .Register(registry);
  Family<Counter>& ends = prometheus::BuildCounter()
                              .Name("citronsill_ends_total")
                              .Help("Ends of runs as workers reported them.")
                              .Register(registry);
  Family<Counter>& voids = prometheus::BuildCounter()
                               .Name("citronsill_voids_total")
                               .Help("Orders that came to nothing, by reason.")
                               .Register(registry);
  Family<Counter>& commits = prometheus::BuildCounter()
                                 .Name("citronsill_commits_total")
                                 .Help("Transactions in the store.")
                                 .Register(registry);
  Family<Counter>& resends = prometheus::BuildCounter()
                                 .Name("citronsill_commit_resends_total")
                                 .Help("Times that a transaction was sent again.")
                                 .Register(registry);
  Family<Histogram>& commit_seconds = prometheus::BuildHistogram()
                                          .Name("citronsill_commit_seconds")
                                          .Help("Time until a transaction was in the store.")
                                          .Register(registry);
  Family<Counter>& advice = prometheus::BuildCounter()
                                .Name("citronsill_advice_total")
                                .Help("Questions to the policy service.")
                                .Register(registry);
  Family<Histogram>& advice_seconds = prometheus::BuildHistogram()
                                          .Name("citronsill_advice_seconds")
                                          .Help("Time until the policy service answered.")
                                          .Register(registry);
  Family<Counter>& handler_failures = prometheus::BuildCounter()
                                          .Name("citronsill_handler_failures_total")
                                          .Help("Exceptions that escaped from a handler.")
                                          .Register(registry);
  Family<Counter>& takeovers = prometheus::BuildCounter()
                                   .Name("citronsill_takeovers_total")
                                   .Help("Shards that this process has taken over.")
                                   .Register(registry);
  Family<Counter>& relays =
      prometheus::BuildCounter()
          .Name("citronsill_relayed_calls_total")
          .Help("Calls to the store that were sent through other instances, by result.")
          .Register(registry);
  Family<Counter>& store_refusals =
      prometheus::BuildCounter()
          .Name("citronsill_store_refusals_total")
          .Help("New jobs that were refused for want of the store, by reason.")
          .Register(registry);
  Family<Counter>& room_refusals =
      prometheus::BuildCounter()
          .Name("citronsill_room_refusals_total")
          .Help("New jobs that were refused for want of room, by reason")
          .Register(registry);
  Histogram& loop_lag = prometheus::BuildHistogram()
                            .Name("citronsill_loop_lag_seconds")
                            .Help("How late a periodic timer of the event loop fired.")
                            .Register(registry)
                            .Add({}, kLatencyBuckets);
  Family<Counter>& finals = prometheus::BuildCounter()
                                .Name("citronsill_jobs_final_total")
                                .Help("Jobs that have become final, by state.")
                                .Register(registry);
  Family<Counter>& cuts = prometheus::BuildCounter()
                              .Name("citronsill_answers_cut_total")
                              .Help("Connections of callers that ended without a whole answer.")
                              .Register(registry);
  Family<Counter>& limits = prometheus::BuildCounter()
                                .Name("citronsill_limits_exceeded_total")
                                .Help("Times that a connection exceeded a limit.")
                                .Register(registry);
  Family<Gauge>& held_tasks = prometheus::BuildGauge()
                                  .Name("citronsill_held_tasks")
                                  .Help("Tasks whose turn has come and that wait, by reason.")
                                  .Register(registry);
  Counter& held_suppressed = prometheus::BuildCounter()
                                 .Name("citronsill_held_lines_suppressed_total")
                                 .Help("Lines on held tasks that were left out.")
                                 .Register(registry)
                                 .Add({});
  std::map<std::string, Family<Gauge>*> gauges;

  void Observe(Family<Histogram>& family, const prometheus::Labels& labels, milliseconds elapsed) {
    family.Add(labels, kLatencyBuckets).Observe(Seconds(elapsed));
  }
};

NodeMetrics::NodeMetrics() : m_impl(std::make_unique<Impl>()) {}

NodeMetrics::~NodeMetrics() = default;

NodeMetrics& NodeMetrics::Get() {
  static NodeMetrics metrics;
  return metrics;
}

void NodeMetrics::CountCall(CallKind kind, schema::Code code, milliseconds elapsed) {
  m_impl->calls.Add({{"kind", CallName(kind)}, {"code", std::string(CodeName(code))}}).Increment();
  m_impl->Observe(m_impl->call_seconds, {{"kind", CallName(kind)}}, elapsed);
}

void NodeMetrics::ObserveStage(Stage stage, milliseconds elapsed) {
  m_impl->Observe(m_impl->stage_seconds, {{"stage", StageName(stage)}}, elapsed);
}

void NodeMetrics::CountStart(StartVerdict verdict) {
  m_impl->starts.Add({{"verdict", StartVerdictName(verdict)}}).Increment();
}

void NodeMetrics::CountEnd(RunEnd end) { m_impl->ends.Add({{"how", RunEndName(end)}}).Increment(); }

void NodeMetrics::CountVoid(VoidReason reason) {
  m_impl->voids.Add({{"reason", VoidReasonName(reason)}}).Increment();
}

void NodeMetrics::CountCommit(milliseconds elapsed, std::uint32_t attempts) {
  m_impl->commits.Add({}).Increment();
  m_impl->resends.Add({}).Increment(attempts > 0 ? attempts - 1 : 0);
  m_impl->Observe(m_impl->commit_seconds, {}, elapsed);
}

void NodeMetrics::CountAdvice(bool answered, milliseconds elapsed) {
  m_impl->advice.Add({{"answered", answered ? "true" : "false"}}).Increment();
  m_impl->Observe(m_impl->advice_seconds, {}, elapsed);
}

void NodeMetrics::CountTakeover() { m_impl->takeovers.Add({}).Increment(); }

void NodeMetrics::CountRelay(const char* result) {
  m_impl->relays.Add({{"result", result}}).Increment();
}

void NodeMetrics::CountStoreRefusals(const char* reason, std::size_t jobs) {
  m_impl->store_refusals.Add({{"reason", reason}}).Increment(static_cast<double>(jobs));
}

void NodeMetrics::CountRoomRefusal(const char* reason) {
  m_impl->room_refusals.Add({{"reason", reason}}).Increment();
}

void NodeMetrics::ObserveLoopLag(milliseconds lag) { m_impl->loop_lag.Observe(Seconds(lag)); }

void NodeMetrics::CountFinal(const char* state) {
  m_impl->finals.Add({{"state", state}}).Increment();
}

void NodeMetrics::CountHandlerFailure(const std::string& handler) {
  m_impl->handler_failures.Add({{"handler", handler}}).Increment();
}

void NodeMetrics::CountAbort(const char* reason) {
  m_impl->cuts.Add({{"reason", reason}}).Increment();
}

void NodeMetrics::CountLimit(const char* party, const std::string& limit) {
  m_impl->limits.Add({{"party", party}, {"limit", limit}}).Increment();
}

void NodeMetrics::SetHeldTasks(const char* reason, std::uint32_t tasks) {
  m_impl->held_tasks.Add({{"reason", reason}}).Set(tasks);
}

void NodeMetrics::CountHeldSuppressed(std::uint32_t tasks) {
  m_impl->held_suppressed.Increment(tasks);
}

void NodeMetrics::SetGauge(const std::string& name, double value) {
  Family<Gauge>*& family = m_impl->gauges[name];
  if (family == nullptr) {
    family = &prometheus::BuildGauge()
                  .Name("citronsill_" + name)
                  .Help("State of the node.")
                  .Register(m_impl->registry);
  }
  family->Add({}).Set(value);
}

std::string NodeMetrics::Text() const {
  return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

}  // namespace citronsill
