#include "citronsill/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "internal.h"

namespace citronsill {
namespace {

const char* const kOther = "other";

// From fast answers within milliseconds to the longest waits on a connection.
const prometheus::Histogram::BucketBoundaries kLatencyBoundsSeconds{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0};

std::string CodeLabel(schema::Code code) {
  return schema::Code_IsValid(code) ? std::string(CodeName(code)) : kOther;
}

}  // namespace

struct Metrics::Impl {
  using Counters = prometheus::Family<prometheus::Counter>;
  using Histograms = prometheus::Family<prometheus::Histogram>;

  explicit Impl(MetricsHooks metrics_hooks) : hooks(std::move(metrics_hooks)) {}

  MetricsHooks hooks;
  prometheus::Registry registry;
  Counters& requests = prometheus::BuildCounter()
                           .Name("citronsill_requests_total")
                           .Help("Answers to callers by work class and result code.")
                           .Register(registry);
  Histograms& latency = prometheus::BuildHistogram()
                            .Name("citronsill_request_seconds")
                            .Help("Time from the arrival of a request to its answer.")
                            .Register(registry);
  Counters& table_calls = prometheus::BuildCounter()
                              .Name("citronsill_table_calls_total")
                              .Help("Calls to the table service by operation and result code.")
                              .Register(registry);
  Counters& peer_calls = prometheus::BuildCounter()
                             .Name("citronsill_peer_calls_total")
                             .Help("Calls to other instances by method and result code.")
                             .Register(registry);
  std::mutex mutex;  // Guards `gauges`.
  std::map<std::string, prometheus::Gauge*> gauges;
};

Result<std::unique_ptr<Metrics>> Metrics::Create(MetricsHooks hooks) {
  return std::unique_ptr<Metrics>(new Metrics(std::make_unique<Impl>(std::move(hooks))));
}

Metrics::Metrics(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Metrics::~Metrics() = default;

std::string Metrics::ClassLabel(const std::string& work_class) const {
  const bool is_known = m_impl->hooks.is_known_class && m_impl->hooks.is_known_class(work_class);
  return is_known ? work_class : kOther;
}

void Metrics::CountRequest(const std::string& work_class, schema::Code code,
                           std::chrono::steady_clock::duration elapsed) {
  const std::string label = ClassLabel(work_class);
  m_impl->requests.Add({{"work_class", label}, {"code", CodeLabel(code)}}).Increment();
  m_impl->latency.Add({{"work_class", label}}, kLatencyBoundsSeconds)
      .Observe(std::chrono::duration<double>(elapsed).count());
}

void Metrics::CountTableCall(const std::string& operation, schema::Code code) {
  m_impl->table_calls.Add({{"operation", operation}, {"code", CodeLabel(code)}}).Increment();
}

void Metrics::CountPeerCall(const std::string& method, schema::Code code) {
  m_impl->peer_calls.Add({{"method", method}, {"code", CodeLabel(code)}}).Increment();
}

void Metrics::SetGauge(const std::string& name, double value) {
  std::lock_guard lock(m_impl->mutex);
  prometheus::Gauge*& gauge = m_impl->gauges[name];
  if (gauge == nullptr) {
    gauge = &prometheus::BuildGauge()
                 .Name("citronsill_" + name)
                 .Help("State of this instance.")
                 .Register(m_impl->registry)
                 .Add({});
  }
  gauge->Set(value);
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

namespace {

// @returns a callback that counts the result and passes it to `done`.
template <class Value>
std::function<void(Result<Value>)> Counted(Metrics& metrics, const char* operation,
                                           std::function<void(Result<Value>)> done) {
  return [&metrics, operation, done = std::move(done)](Result<Value> result) {
    metrics.CountTableCall(operation, result ? schema::CODE_OK : result.error().code);
    done(std::move(result));
  };
}

class MeteredTable : public Table {
 public:
  MeteredTable(std::unique_ptr<Table> table, Metrics& metrics)
      : m_table(std::move(table)), m_metrics(metrics) {}

  void Read(std::string key, std::function<void(Result<schema::TableRow>)> done) override {
    m_table->Read(std::move(key), Counted<schema::TableRow>(m_metrics, "read", std::move(done)));
  }

  void Scan(std::string prefix,
            std::function<void(Result<std::vector<schema::TableRow>>)> done) override {
    using Rows = std::vector<schema::TableRow>;
    m_table->Scan(std::move(prefix), Counted<Rows>(m_metrics, "scan", std::move(done)));
  }

  void Commit(schema::TableTransaction transaction,
              std::function<void(Result<schema::TableCommitResult>)> done) override {
    m_table->Commit(std::move(transaction),
                    Counted<schema::TableCommitResult>(m_metrics, "commit", std::move(done)));
  }

 private:
  std::unique_ptr<Table> m_table;
  Metrics& m_metrics;
};

}  // namespace

std::unique_ptr<Table> CreateMeteredTable(std::unique_ptr<Table> table, Metrics& metrics) {
  return std::make_unique<MeteredTable>(std::move(table), metrics);
}

MeteredPeerClient::MeteredPeerClient(std::unique_ptr<PeerClient> client, Metrics& metrics)
    : m_client(std::move(client)), m_metrics(metrics) {}

void MeteredPeerClient::Call(const std::string& address, const std::string& method,
                             std::string params, std::chrono::milliseconds timeout,
                             std::function<void(Result<std::string>)> done) {
  auto counted = [this, method, done = std::move(done)](Result<std::string> result) {
    m_metrics.CountPeerCall(method, result ? schema::CODE_OK : result.error().code);
    done(std::move(result));
  };
  m_client->Call(address, method, std::move(params), timeout, std::move(counted));
}

}  // namespace citronsill
