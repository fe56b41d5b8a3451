// Stand-in for the workers of a cell: one HTTP server for each worker, all in one process.
#include <spdlog/spdlog.h>

#include <boost/program_options.hpp>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>

#include "citronsill/http.h"
#include "citronsill/timer.h"
#include "standin_worker.h"

namespace options = boost::program_options;

namespace citronsill {
namespace {

constexpr std::chrono::milliseconds kAdvancePeriod{5};

HttpResponse Json(const google::protobuf::Message& message) {
  HttpResponse response;
  response.body = ToJson(message);
  return response;
}

HttpResponse BadRequest() {
  HttpResponse response;
  response.status = 400;
  return response;
}

// Serves one worker over HTTP. Keeps sync calls open until there are results to report.
class ServedWorker {
 public:
  explicit ServedWorker(const schema::WorkerInfo& info)
      : m_worker(info, static_cast<std::uint64_t>(
                           std::chrono::steady_clock::now().time_since_epoch().count())) {}

  void Handle(const HttpRequest& request, const HttpReply& reply) {
    std::lock_guard lock(m_mutex);
    const SteadyTime now = std::chrono::steady_clock::now();
    if (request.target == "/worker/start") {
      schema::WorkerStart start;
      if (!FromJson(request.body, UnknownFields::kIgnore, &start)) return reply(BadRequest());
      return reply(Json(m_worker.Start(start, now)));
    }
    if (request.target == "/worker/control") {
      schema::WorkerControl control;
      if (!FromJson(request.body, UnknownFields::kIgnore, &control)) return reply(BadRequest());
      return reply(Json(m_worker.Control(control, now)));
    }
    if (request.target == "/worker/sync") return Sync(request, reply, now);
    if (request.target == "/fault/fail") return SetFault(reply, true, false);
    if (request.target == "/fault/leave") return SetFault(reply, false, true);
    if (request.target == "/fault/none") return SetFault(reply, false, false);
    if (request.target == "/fault/silence") {
      reply(HttpResponse{});
      if (m_silence) m_silence();
      return;
    }
    if (request.target == "/history") return SendHistory(reply);
    reply(BadRequest());
  }

  // Sets the hook for the fault "silence": the connections open at that time stay open but carry no
  // more data.
  void OnSilence(std::function<void()> silence) { m_silence = std::move(silence); }

  // Ends the tasks that are due and answers syncs when there are results or their wait has passed.
  void Advance(SteadyTime now) {
    std::lock_guard lock(m_mutex);
    m_worker.Advance(now);
    while (!m_waiting_syncs.empty() &&
           (m_worker.HasUnreportedResults() || m_waiting_syncs.front().until <= now)) {
      schema::WorkerSyncResult result;
      m_worker.Report(false, &result);
      m_waiting_syncs.front().reply(Json(result));
      m_waiting_syncs.erase(m_waiting_syncs.begin());
    }
  }

 private:
  struct WaitingSync {
    SteadyTime until;  // When it is answered even without results.
    std::uint64_t epoch = 0;
    HttpReply reply;
  };

  // Answers the syncs that were waiting before an attach without reports, so that further results
  // are reported to the instance that attached and not to an earlier owner.
  void AnswerWaitingSyncs(std::uint64_t epoch) {
    for (const WaitingSync& sync : m_waiting_syncs) {
      schema::WorkerSyncResult result;
      if (sync.epoch < epoch) result.set_code(schema::CODE_STALE_EPOCH);
      result.set_epoch(epoch);
      sync.reply(Json(result));
    }
    m_waiting_syncs.clear();
  }

  void Sync(const HttpRequest& request, const HttpReply& reply, SteadyTime now) {
    schema::WorkerSync sync;
    if (!FromJson(request.body, UnknownFields::kIgnore, &sync)) return reply(BadRequest());
    schema::WorkerSyncResult result = m_worker.Sync(sync, now);
    if (result.code() != schema::CODE_OK) return reply(Json(result));
    if (sync.attach()) AnswerWaitingSyncs(sync.epoch());
    if (sync.attach() || m_worker.HasUnreportedResults()) {
      m_worker.Report(sync.attach(), &result);
      return reply(Json(result));
    }
    m_waiting_syncs.push_back({now + ToMilliseconds(sync.wait()), sync.epoch(), reply});
  }

  void SetFault(const HttpReply& reply, bool failing, bool leaving) {
    m_worker.SetFailTasks(failing);
    m_worker.SetLeaving(leaving);
    reply(HttpResponse{});
  }

  void SendHistory(const HttpReply& reply) const {
    nlohmann::json history;
    history["worker"] = m_worker.Info().id();
    history["over_capacity"] = m_worker.RejectedForCapacity();
    nlohmann::json events = nlohmann::json::array();
    for (const WorkerHistoryEntry& entry : m_worker.History()) {
      const auto at =
          std::chrono::duration_cast<std::chrono::microseconds>(entry.time.time_since_epoch());
      events.push_back({{"at_us", at.count()},
                        {"request", entry.task.request_id},
                        {"index", entry.task.index},
                        {"attempt", entry.task.attempt},
                        {"started", entry.started}});
    }
    history["events"] = std::move(events);
    HttpResponse response;
    response.body = history.dump();
    reply(response);
  }

  std::mutex m_mutex;
  std::function<void()> m_silence;
  StandinWorker m_worker;
  std::vector<WaitingSync> m_waiting_syncs;
};

struct StandinOptions {
  std::string prefix;
  std::string platform;
  std::uint16_t first_port = 0;
  unsigned count = 0;
  unsigned per_rack = 1;
  unsigned domains = 1;
  schema::WorkerInfo info;
};

std::string WorkerAddress(const StandinOptions& standin_options, unsigned index) {
  return "127.0.0.1:" + std::to_string(standin_options.first_port + index);
}

schema::WorkerInfo InfoOf(const StandinOptions& standin_options, unsigned index) {
  schema::WorkerInfo info = standin_options.info;
  const unsigned rack = index / standin_options.per_rack;
  info.set_id(standin_options.prefix + "-" + std::to_string(index));
  info.set_rack(standin_options.prefix + "-rack-" + std::to_string(rack));
  info.set_failure_domain(standin_options.prefix + "-domain-" +
                          std::to_string(rack % standin_options.domains));
  return info;
}

void RegisterWorkers(HttpClient& client, const StandinOptions& standin_options) {
  schema::Directory directory;
  for (unsigned i = 0; i < standin_options.count; ++i) {
    schema::DirectoryEntry* entry = directory.add_workers();
    entry->set_id(standin_options.prefix + "-" + std::to_string(i));
    entry->set_address(WorkerAddress(standin_options, i));
  }
  HttpRequest request;
  request.method = "POST";
  request.target = "/directory/add";
  request.body = ToJson(directory);
  client.Send(request, std::chrono::seconds(5), [](const Result<HttpResponse>& response) {
    if (!response) std::cerr << Describe(response.error()) << '\n';
  });
}

int Serve(const StandinOptions& standin_options) {
  auto runtime = Runtime::Create(2);
  auto timers = TimerService::Create(*runtime.value());
  std::vector<std::unique_ptr<ServedWorker>> workers;
  std::vector<std::unique_ptr<HttpServer>> servers;
  for (unsigned i = 0; i < standin_options.count; ++i) {
    workers.push_back(std::make_unique<ServedWorker>(InfoOf(standin_options, i)));
    HttpServerOptions server_options;
    server_options.address = WorkerAddress(standin_options, i);
    server_options.max_connections = 60;
    auto server = HttpServer::Create(
        *runtime.value(), server_options,
        [worker = workers.back().get()](const HttpRequest& request, const HttpReply& reply) {
          worker->Handle(request, reply);
        });
    if (!server) {
      std::cerr << Describe(server.error()) << '\n';
      return 1;
    }
    servers.push_back(std::move(server).value());
    workers.back()->OnSilence(
        [http_server = servers.back().get()] { http_server->BlackholeOpenConnections(); });
  }
  timers.value()->Every(kAdvancePeriod, [&](SteadyTime now) {
    for (const auto& worker : workers) worker->Advance(now);
  });
  HttpClientOptions client_options;
  client_options.address = standin_options.platform;
  auto client = HttpClient::Create(*runtime.value(), client_options);
  if (!client) {
    std::cerr << Describe(client.error()) << '\n';
    return 1;
  }
  RegisterWorkers(*client.value(), standin_options);
  runtime.value()->RunUntilTerminated();
  return 0;
}

}  // namespace
}  // namespace citronsill

int main(int argc, char** argv) {
  citronsill::StandinOptions standin_options;
  double processors = 0;
  std::uint64_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  std::uint32_t slots = 0;
  options::options_description description("worker_standin: workers that simulate tasks");
  auto add = description.add_options();
  add("help", "show this text");
  add("platform", options::value(&standin_options.platform)->default_value("127.0.0.1:9000"),
      "IP:port");
  add("prefix", options::value(&standin_options.prefix)->default_value("worker"),
      "prefix of the worker ids");
  add("first-port", options::value(&standin_options.first_port)->default_value(9100),
      "port of the first worker");
  add("count", options::value(&standin_options.count)->default_value(10), "number of workers");
  add("per-rack", options::value(&standin_options.per_rack)->default_value(6), "workers per rack");
  add("domains", options::value(&standin_options.domains)->default_value(4),
      "number of failure domains");
  add("processors", options::value(&processors)->default_value(32), "processors per worker");
  add("memory-mb", options::value(&memory_mb)->default_value(131072), "memory per worker, in MB");
  add("accelerators", options::value(&accelerators)->default_value(0), "accelerators per worker");
  add("slots", options::value(&slots)->default_value(8), "concurrent tasks per worker");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  options::notify(values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  standin_options.info.mutable_capacity()->set_processors(processors);
  standin_options.info.mutable_capacity()->set_memory_mb(memory_mb);
  standin_options.info.mutable_capacity()->set_accelerators(accelerators);
  standin_options.info.set_slots(slots);
  return citronsill::Serve(standin_options);
}
