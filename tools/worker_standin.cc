// Stand-in of workers: one HTTP server for each, all in one process.
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

// One worker with its syncs that wait for news.
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
    if (request.target == "/history") return History(reply);
    reply(BadRequest());
  }

  // Makes the connections that are open now fall silent.
  void OnSilence(std::function<void()> silence) { m_silence = std::move(silence); }

  // Ends what is due and answers the syncs whose wait is over or that have news.
  void Advance(SteadyTime now) {
    std::lock_guard lock(m_mutex);
    m_worker.Advance(now);
    while (!m_waiting.empty() && (m_worker.HasNews() || m_waiting.front().until <= now)) {
      schema::WorkerSyncResult result;
      m_worker.Report(false, &result);
      m_waiting.front().reply(Json(result));
      m_waiting.erase(m_waiting.begin());
    }
  }

 private:
  struct Waiting {
    SteadyTime until;
    std::uint64_t epoch = 0;
    HttpReply reply;
  };

  // Answers the syncs that wait since before an attach: what happens from now on is reported to the
  // instance that has attached, and to no earlier owner.
  void EndWaiting(std::uint64_t epoch) {
    for (const Waiting& waiting : m_waiting) {
      schema::WorkerSyncResult result;
      if (waiting.epoch < epoch) result.set_code(schema::CODE_STALE_EPOCH);
      result.set_epoch(epoch);
      waiting.reply(Json(result));
    }
    m_waiting.clear();
  }

  void Sync(const HttpRequest& request, const HttpReply& reply, SteadyTime now) {
    schema::WorkerSync sync;
    if (!FromJson(request.body, UnknownFields::kIgnore, &sync)) return reply(BadRequest());
    schema::WorkerSyncResult result = m_worker.Sync(sync, now);
    if (result.code() != schema::CODE_OK) return reply(Json(result));
    if (sync.attach()) EndWaiting(sync.epoch());
    if (sync.attach() || m_worker.HasNews()) {
      m_worker.Report(sync.attach(), &result);
      return reply(Json(result));
    }
    m_waiting.push_back({now + ToMilliseconds(sync.wait()), sync.epoch(), reply});
  }

  void SetFault(const HttpReply& reply, bool fail, bool leave) {
    m_worker.SetFailAll(fail);
    m_worker.SetLeaving(leave);
    reply(HttpResponse{});
  }

  void History(const HttpReply& reply) const {
    nlohmann::json history;
    history["worker"] = m_worker.Info().id();
    history["over_capacity"] = m_worker.OverCapacity();
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
  std::vector<Waiting> m_waiting;
};

struct Plan {
  std::string prefix;
  std::string platform;
  std::uint16_t first_port = 0;
  unsigned count = 0;
  unsigned per_rack = 1;
  unsigned domains = 1;
  schema::WorkerInfo info;
};

std::string Address(const Plan& plan, unsigned index) {
  return "127.0.0.1:" + std::to_string(plan.first_port + index);
}

schema::WorkerInfo InfoOf(const Plan& plan, unsigned index) {
  schema::WorkerInfo info = plan.info;
  const unsigned rack = index / plan.per_rack;
  info.set_id(plan.prefix + "-" + std::to_string(index));
  info.set_rack(plan.prefix + "-rack-" + std::to_string(rack));
  info.set_failure_domain(plan.prefix + "-domain-" + std::to_string(rack % plan.domains));
  return info;
}

void RegisterWorkers(HttpClient& client, const Plan& plan) {
  schema::Directory directory;
  for (unsigned i = 0; i < plan.count; ++i) {
    schema::DirectoryEntry* entry = directory.add_workers();
    entry->set_id(plan.prefix + "-" + std::to_string(i));
    entry->set_address(Address(plan, i));
  }
  HttpRequest request;
  request.method = "POST";
  request.target = "/directory/add";
  request.body = ToJson(directory);
  client.Send(request, std::chrono::seconds(5), [](const Result<HttpResponse>& response) {
    if (!response) std::cerr << Describe(response.error()) << '\n';
  });
}

int Serve(const Plan& plan) {
  auto runtime = Runtime::Create(2);
  auto timers = TimerService::Create(*runtime.value());
  std::vector<std::unique_ptr<ServedWorker>> workers;
  std::vector<std::unique_ptr<HttpServer>> servers;
  for (unsigned i = 0; i < plan.count; ++i) {
    workers.push_back(std::make_unique<ServedWorker>(InfoOf(plan, i)));
    HttpServerOptions server_options;
    server_options.address = Address(plan, i);
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
    workers.back()->OnSilence([open = servers.back().get()] { open->BlackholeOpenConnections(); });
  }
  timers.value()->Every(kAdvancePeriod, [&](SteadyTime now) {
    for (const auto& worker : workers) worker->Advance(now);
  });
  HttpClientOptions client_options;
  client_options.address = plan.platform;
  auto client = HttpClient::Create(*runtime.value(), client_options);
  if (!client) {
    std::cerr << Describe(client.error()) << '\n';
    return 1;
  }
  RegisterWorkers(*client.value(), plan);
  runtime.value()->RunUntilTerminated();
  return 0;
}

}  // namespace
}  // namespace citronsill

int main(int argc, char** argv) {
  citronsill::Plan plan;
  double processors = 0;
  std::uint64_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  std::uint32_t slots = 0;
  options::options_description description("worker_standin: workers that run tasks in model time");
  auto add = description.add_options();
  add("help", "show this text");
  add("platform", options::value(&plan.platform)->default_value("127.0.0.1:9000"), "IP:port");
  add("prefix", options::value(&plan.prefix)->default_value("worker"), "start of the worker ids");
  add("first-port", options::value(&plan.first_port)->default_value(9100),
      "port of the first worker");
  add("count", options::value(&plan.count)->default_value(10), "number of workers");
  add("per-rack", options::value(&plan.per_rack)->default_value(6), "workers in a rack");
  add("domains", options::value(&plan.domains)->default_value(4), "failure domains");
  add("processors", options::value(&processors)->default_value(32), "processors of a worker");
  add("memory-mb", options::value(&memory_mb)->default_value(131072), "memory of a worker");
  add("accelerators", options::value(&accelerators)->default_value(0), "accelerators of a worker");
  add("slots", options::value(&slots)->default_value(8), "tasks at a time on a worker");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  options::notify(values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  plan.info.mutable_capacity()->set_processors(processors);
  plan.info.mutable_capacity()->set_memory_mb(memory_mb);
  plan.info.mutable_capacity()->set_accelerators(accelerators);
  plan.info.set_slots(slots);
  return citronsill::Serve(plan);
}
