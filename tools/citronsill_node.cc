// Main program of a node of a cell on the users' platform.
#include <google/protobuf/stubs/logging.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "cell/limits.h"
#include "cell/log.h"
#include "cell/metrics.h"
#include "cell/node.h"
#include "cell/node_settings.h"
#include "citronsill/guard.h"
#include "platform/platform.h"

namespace options = boost::program_options;

namespace citronsill {
namespace {

constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr const char* kSettingsVariable = "CITRONSILL_CONFIG";

int Fail(const Error& error) {
  std::cerr << "citronsill_node: " << Describe(error) << '\n';
  return kExitSettings;
}

// The running program. Everything runs on one thread.
class Program {
 public:
  Program(Runtime& runtime, TimerService& timers, std::string path, NodeFile file)
      : m_runtime(runtime), m_timers(timers), m_path(std::move(path)), m_file(std::move(file)) {}

  Result<void> Start() {
    m_limits = ConnectionLimits::Create(m_file.node.limits, m_timers);
    BOOST_OUTCOME_TRY(
        PlatformServices services,
        platform::Connect(m_runtime, {m_file.store_address, m_file.advice_address}, m_limits));
    BOOST_OUTCOME_TRY(
        m_node, Node::Create(m_runtime, m_timers, m_file.node, std::move(services), m_limits));
    BOOST_OUTCOME_TRY(m_ingress,
                      platform::Ingress::Create(m_runtime, *m_node, m_file.node, m_limits));
    BOOST_OUTCOME_TRY(ServeMetrics());
    m_timers.Every(kLogFlushPeriod, [](SteadyTime) { FlushNodeLog(); });
    m_runtime.OnTerminate([this](int signal_number) { Terminate(signal_number); });
    m_runtime.OnReload([this] { Reload("signal"); });
    m_modified = ModificationTime();
    m_timers.Every(kSettingsPoll, [this](SteadyTime) {
      if (ModificationTime() != m_modified) Reload("file");
    });
    Log(LogLevel::kInfo, "started")
        .Field("ingress", m_file.node.ingress_address)
        .Field("link", m_file.node.link_address)
        .Field("store", m_file.store_address)
        .Field("advice", m_file.advice_address)
        .Field("strength_milli", m_file.node.strength_milli)
        .Field("memory_mb", m_file.node.limits.memory_mb)
        .Field("connection_budget_bytes", m_limits->limits.connection_bytes)
        .Field("answer_budget_bytes", m_limits->limits.answer_bytes)
        .Field("link_budget_bytes", m_limits->limits.link_bytes)
        .Field("max_caller_connections", m_limits->limits.max_caller_connections)
        .Field("max_links", m_limits->limits.max_links)
        .Field("caller_buffer_bytes", m_limits->limits.caller_listen.receive_buffer_bytes)
        .Field("link_buffer_bytes", m_limits->limits.link_listen.receive_buffer_bytes);
    return Success();
  }

 private:
  Result<void> ServeMetrics() {
    if (m_file.node.metrics_address.empty()) return Success();
    HttpServerOptions server;
    server.address = m_file.node.metrics_address;
    ApplyServiceLimits(m_limits, "metrics", &server);
    BOOST_OUTCOME_TRY(m_metrics,
                      HttpServer::Create(m_runtime, server,
                                         [](const HttpRequest& request, const HttpReply& reply) {
                                           HttpResponse response;
                                           response.content_type = "text/plain; version=0.0.4";
                                           if (request.target == "/metrics") {
                                             response.body = NodeMetrics::Get().Text();
                                           } else {
                                             response.status = 404;
                                           }
                                           reply(std::move(response));
                                         }));
    return Success();
  }

  // Begins the shutdown. Further signals are ignored.
  void Terminate(int signal_number) {
    Log(LogLevel::kInfo, "terminate").Field("signal", signal_number).Field("draining", m_draining);
    if (m_draining) return;
    m_draining = true;
    m_ingress->Drain();
    m_node->Drain([this] { m_node_drained = true; });
    const SteadyTime began = BootNow();
    m_timers.Every(kNodeTick, [this, began](SteadyTime) { CheckDrained(began); });
  }

  // Ends the process once everything is drained, but not before `kMinDrainTime`, because the load
  // balancer needs time to send callers elsewhere. Connections that callers keep open are tolerated
  // until the drain time is almost over.
  void CheckDrained(SteadyTime began) {
    const milliseconds elapsed = std::chrono::duration_cast<milliseconds>(BootNow() - began);
    const bool is_drained = m_node_drained && m_ingress->Connections() == 0;
    const bool is_time_over = elapsed >= m_file.node.drain_time - kDrainReserve;
    if (!is_time_over && !(is_drained && elapsed >= kMinDrainTime)) return;
    if (std::exchange(m_stopping, true)) return;
    m_ingress->ReportIncompleteRequests([this, elapsed] {
      Log(LogLevel::kInfo, "stopped")
          .Field("after_ms", elapsed)
          .Field("open_connections", m_ingress->Connections())
          .Field("node_drained", m_node_drained);
      FlushNodeLog();
      m_runtime.Stop();
    });
  }

  // @returns modification time of the settings file; the minimum value when it is unknown.
  [[nodiscard]] std::filesystem::file_time_type ModificationTime() const {
    std::error_code error;
    const auto time = std::filesystem::last_write_time(m_path, error);
    return error ? std::filesystem::file_time_type::min() : time;
  }

  void Reload(const char* reason) {
    m_modified = ModificationTime();
    auto file = LoadNodeSettings(m_path);
    if (!file) {
      Log(LogLevel::kError, "reload-failed").Field("reason", file.error());
      return;
    }
    m_file.node.drain_time = file.value().node.drain_time;
    m_node->Reload(file.value().node);
    Log(LogLevel::kInfo, "reloaded")
        .Field("reason", reason)
        .Field("seeds", file.value().node.seeds.size());
  }

  Runtime& m_runtime;
  TimerService& m_timers;
  std::string m_path;
  std::filesystem::file_time_type m_modified;
  NodeFile m_file;
  ConnectionLimitsPtr m_limits;
  std::unique_ptr<Node> m_node;
  std::unique_ptr<platform::Ingress> m_ingress;
  std::unique_ptr<HttpServer> m_metrics;
  bool m_draining = false;
  bool m_node_drained = false;
  bool m_stopping = false;
};

int Run(const std::string& path, bool only_check) {
  auto file = LoadNodeSettings(path);
  if (!file) return Fail(file.error());
  if (only_check) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  if (auto log = StartNodeLog(file.value().node.instance, file.value().node.log_level); !log) {
    return Fail(log.error());
  }
  SetFailureHandler([](std::string_view handler, std::string_view reason) {
    Log(LogLevel::kError, "handler-failed")
        .Field("handler", std::string(handler))
        .Field("reason", std::string(reason));
    NodeMetrics::Get().CountHandlerFailure(std::string(handler));
  });
  google::protobuf::SetLogHandler(
      [](google::protobuf::LogLevel, const char*, int, const std::string& text) {
        Log(LogLevel::kWarn, "message-invalid").Field("reason", text);
      });
  auto runtime = Runtime::Create(1);
  if (!runtime) return Fail(runtime.error());
  auto timers = TimerService::Create(*runtime.value());
  if (!timers) return Fail(timers.error());
  Program program(*runtime.value(), *timers.value(), path, std::move(file).value());
  if (auto started = program.Start(); !started) {
    FlushNodeLog();
    return Fail(started.error());
  }
  runtime.value()->Run();
  return 0;
}

}  // namespace
}  // namespace citronsill

int main(int argc, char** argv) {
  options::options_description description("citronsill_node: a node of a cell");
  description.add_options()("help", "show this text")(
      "settings", options::value<std::string>(),
      "settings file, JSON with comments; default: the variable CITRONSILL_CONFIG")(
      "check", "check the settings and exit");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description), values);
  } catch (const options::error& error) {
    std::cerr << "citronsill_node: " << error.what() << '\n';
    return citronsill::kExitUsage;
  }
  const char* const variable = std::getenv(citronsill::kSettingsVariable);
  std::string path = variable != nullptr ? variable : "";
  if (values.contains("settings")) path = values["settings"].as<std::string>();
  if (values.contains("help") || path.empty()) {
    std::cout << description;
    return values.contains("help") ? 0 : citronsill::kExitUsage;
  }
  return citronsill::Run(path, values.contains("check"));
}
