/// A small deployment on loopback for the review cases: real nodes as processes beside stand-ins of
/// the store, the workers and the clients.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

#include "platform.h"

namespace review {

/// Exit code of a case that could not run.
inline constexpr int kExitNotRun = 2;

/// One process of the system, started with the command of the deploy file.
struct Node {
  std::string name;
  std::string settings_path;
  std::string log_path;
  std::uint16_t ingress = 0;
  std::uint16_t ready = 0;
  std::uint16_t link = 0;
  std::uint16_t metrics = 0;
  std::size_t store_access = 0;
  std::unique_ptr<Proxy> link_proxy;  ///< Through it, the other nodes reach this one.
  pid_t pid = 0;
  bool is_ready = false;
};

struct Options {
  std::string program;  ///< Path of citronsill_node.
  std::string folder;   ///< Temporary folder.
  std::string record;   ///< Path of record.txt.
  bool trouble = true;
};

struct Queue {
  std::string name;
  int priority = 2;
  int attempts = 3;
};

class Cell {
 public:
  Cell(const Options& options, int nodes)
      : record(options.record), store(io, record), runs(record), m_options(options) {
    std::filesystem::create_directories(m_options.folder);
    for (int i = 0; i < nodes; ++i) AddNode(i);
    for (const auto& node : this->nodes) WriteSettings(*node);
    WriteConfig();
  }

  ~Cell() {
    for (const auto& node : nodes) Signal(*node, SIGKILL);
    for (const auto& node : nodes) Reap(*node);
  }

  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  asio::io_context io;
  Record record;
  Store store;
  Runs runs;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Node>> nodes;

  void AddWorker(const std::string& id, Worker::Kind kind) {
    workers.push_back(std::make_unique<Worker>(io, store, runs, "order-desk", id, std::move(kind)));
  }

  void Start(Node& node) {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, node.log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, node.log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::string program = m_options.program;
    std::string variable = "CITRONSILL_CONFIG=" + node.settings_path;
    std::string path = "PATH=/usr/bin:/bin";
    char* const arguments[] = {program.data(), nullptr};
    char* const variables[] = {variable.data(), path.data(), nullptr};
    const int failed =
        posix_spawn(&node.pid, program.c_str(), &actions, nullptr, arguments, variables);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) throw std::runtime_error("cannot start " + program);
    // For the script, in case that this process is killed.
    std::ofstream(m_options.folder + "/pids", std::ios::app) << node.pid << std::endl;
    record.Line("node " + node.name + " started");
  }

  void Signal(Node& node, int number) {
    if (node.pid <= 0) return;
    ::kill(node.pid, number);
    record.Line("signal " + std::to_string(number) + " to node " + node.name);
  }

  /// Waits for the end of a process that was told to end.
  void Reap(Node& node) {
    if (node.pid <= 0) return;
    int status = 0;
    ::waitpid(node.pid, &status, 0);
    node.pid = 0;
  }

  /// @returns whether the process has ended by itself.
  bool HasEnded(Node& node) {
    if (node.pid <= 0) return false;
    int status = 0;
    if (::waitpid(node.pid, &status, WNOHANG) != node.pid) return false;
    node.pid = 0;
    record.Line("node " + node.name + " ended, status " + std::to_string(status));
    return true;
  }

  /// Runs stand-ins and clients for some time.
  void RunFor(milliseconds time) { io.run_for(time); }

  /// Runs until the condition holds. @returns whether it did within the time.
  bool RunUntil(const std::function<bool()>& condition, milliseconds time) {
    const SteadyTime until = Now() + time;
    while (!condition()) {
      if (Now() >= until) return false;
      io.run_for(milliseconds(10));
    }
    return true;
  }

  /// Starts all nodes and waits until each is ready; ends the case when they are not.
  void StartAll() {
    for (const auto& node : nodes) Start(*node);
    PollReadiness();
    const auto all_ready = [this] {
      return std::all_of(nodes.begin(), nodes.end(),
                         [](const auto& node) { return node->is_ready; });
    };
    if (!RunUntil(all_ready, milliseconds(20000))) {
      throw std::runtime_error("the nodes did not get ready");
    }
    // The scheduler gets to know the workers.
    RunFor(milliseconds(1500));
  }

  /// A job of one client.
  struct Job {
    std::string id;
    std::string queue;
    std::string body;
    bool accepted = false;
    bool is_over = false;  ///< All attempts have ended.
    int attempts = 0;
    int tasks = 0;  ///< Number of tasks of all steps and occurrences.
    /// Number of tasks whose turn has come when nothing of the job runs; all if empty.
    std::function<int()> due;
    std::string state;         ///< Last state that was answered.
    unsigned last_status = 0;  ///< Status of the last GET; 0 for no answer.
    SteadyTime accepted_at;
  };

  /// Hands a job in, with up to four retries at other nodes.
  std::shared_ptr<Job> Submit(const std::string& id, const std::string& queue,
                              const std::string& body, const TaskModel& model, int tasks) {
    auto job = std::make_shared<Job>();
    job->tasks = tasks;
    job->id = id;
    job->queue = queue;
    job->body = body;
    runs.models[id] = model;
    jobs.push_back(job);
    Attempt(job);
    return job;
  }

  /// @returns whether nothing of the job runs though a task's turn has come, there is room for it
  /// twice over and under half of the workers' processors are in use.
  [[nodiscard]] bool IsIdle(const Job& job) {
    const TaskModel& model = runs.models.at(job.id);
    int done = 0;
    for (auto task = runs.done.lower_bound(job.id + "."); task != runs.done.end(); ++task) {
      if (!task->first.starts_with(job.id + ".")) break;
      ++done;
    }
    const int due = job.due ? job.due() : job.tasks;
    if (done >= due || runs.running_of_job[job.id] > 0) return false;
    std::int64_t used = 0;
    std::int64_t all = 0;
    std::int64_t places = 0;
    for (const auto& worker : workers) {
      if (!worker->IsUp()) continue;
      const std::int64_t cpu = worker->GetKind().cpu;
      used += worker->UsedCpu();
      all += cpu;
      if (worker->HasLabel(model.required_label)) places += (cpu - worker->UsedCpu()) / model.cpu;
    }
    return places >= 2 && 2 * used < all;
  }

  /// Asks a node for the state of a job.
  void Ask(const std::shared_ptr<Job>& job, std::size_t node,
           const std::function<void(unsigned)>& done = nullptr) {
    Call(io, nodes[node]->ingress, "GET", "/" + job->queue + "/" + job->id, kHost, "", kDeadline,
         [this, job, node, done](unsigned status, const std::string& body) {
           job->last_status = status;
           if (status == 200) {
             const auto from = body.find(R"("state":")");
             if (from != std::string::npos) {
               job->state = body.substr(from + 9, body.find('"', from + 9) - from - 9);
             }
           }
           record.Line("GET " + job->id + " at " + nodes[node]->name + " -> " +
                       std::to_string(status) + " " + body);
           if (done) done(status);
         });
  }

  std::vector<std::shared_ptr<Job>> jobs;
  std::vector<Queue> queues;

  /// Connections between nodes go through proxies, so that single nodes can be cut off.
  void Cut(Node& node) {
    store.SetCut(node.store_access, true);
    m_cut_off.insert(node.name);
    record.Line("node " + node.name + " cut off from the store and the other nodes");
  }

  void Heal(Node& node) {
    store.SetCut(node.store_access, false);
    m_cut_off.erase(node.name);
    for (const auto& other : nodes) other->link_proxy->CloseAll();
    record.Line("node " + node.name + " connected again");
  }

  /// @returns the node whose log shows that it became the scheduler last.
  Node* Scheduler() {
    Node* found = nullptr;
    std::string latest;
    for (const auto& node : nodes) {
      std::ifstream log(node->log_path);
      for (std::string line; std::getline(log, line);) {
        if (line.find("event=shard-loaded") == std::string::npos) continue;
        const std::string time = line.substr(0, line.find(' '));
        if (time >= latest) {
          latest = time;
          found = node.get();
        }
      }
    }
    return found;
  }

  static constexpr const char* kHost = "order.example";
  static constexpr milliseconds kDeadline{3000};

 private:
  void AddNode(int number) {
    auto node = std::make_unique<Node>();
    node->name = "front-" + std::to_string(number + 1);
    node->settings_path = m_options.folder + "/" + node->name + ".json";
    node->log_path = m_options.folder + "/" + node->name + ".log";
    node->ingress = FreePort(io);
    node->ready = FreePort(io);
    node->link = FreePort(io);
    node->metrics = FreePort(io);
    node->store_access = store.AddAccess();
    node->link_proxy = std::make_unique<Proxy>(io, node->link, node->name, m_cut_off);
    nodes.push_back(std::move(node));
  }

  static std::string At(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

  void WriteSettings(const Node& node) {
    json::object settings;
    settings["instance"] = node.name;
    settings["failure_domain"] = "zone-a";
    settings["region"] = "region-a";
    settings["ingress_address"] = At(node.ingress);
    settings["readiness_address"] = At(node.ready);
    settings["link_address"] = At(node.link);
    settings["link_advertised_address"] = At(node.link_proxy->Port());
    settings["metrics_address"] = At(node.metrics);
    settings["seeds"] = json::array{};
    settings["processor_share"] = 0.25;
    settings["link_mbps"] = 1000.0;
    settings["worker_drain_ms"] = 2000;
    settings["max_lease_ms"] = 10000;
    settings["gang_time_ms"] = 3000;
    settings["keep_finished_s"] = 120;
    settings["drain_time_s"] = 6;
    settings["advice_address"] = "";
    settings["store_address"] = At(store.Port(node.store_access));
    std::ofstream(node.settings_path) << json::serialize(settings);
  }

  void WriteConfig() {
    json::array routes;
    for (const char* name : {"batch", "quick"}) {
      json::object route;
      route["name"] = std::string("r-") + name;
      route["host"] = kHost;
      route["prefix"] = std::string("/") + name + "/";
      route["kind"] = "non_idempotent";
      route["timeoutMs"] = kDeadline.count();
      route["targetDurationMs"] = 1000;
      route["priority"] = std::string(name) == "quick" ? 0 : 2;
      route["service"] = "order-desk";
      route["attempts"] = 3;
      route["stretch"] = 4.0;
      routes.push_back(std::move(route));
    }
    json::object service;
    service["name"] = "order-desk";
    service["healthPath"] = "/health";
    service["maxConns"] = 64;
    service["protocol"] = "h1";
    service["tls"] = false;
    service["admissionCheck"] = false;
    json::object limits;
    limits["maxHeaderBytes"] = 16384;
    limits["maxBodyBytes"] = 262144;
    limits["headerTimeoutMs"] = 3000;
    limits["idleTimeoutMs"] = 15000;
    json::object config;
    config["version"] = 7;
    config["routes"] = std::move(routes);
    config["services"] = json::array{std::move(service)};
    config["limits"] = std::move(limits);
    store.Put("op", "config", json::serialize(config));
  }

  void Attempt(const std::shared_ptr<Job>& job) {
    constexpr int kMaxAttempts = 5;
    const std::size_t node =
        (std::hash<std::string>{}(job->id) + static_cast<std::size_t>(job->attempts)) %
        nodes.size();
    ++job->attempts;
    Call(io, nodes[node]->ingress, "POST", "/" + job->queue + "/" + job->id, kHost, job->body,
         kDeadline, [this, job, node](unsigned status, const std::string& body) {
           record.Line("POST " + job->id + " at " + nodes[node]->name + " -> " +
                       std::to_string(status) + " " + body);
           if (status == 200) {
             job->accepted = true;
             job->accepted_at = Now();
           }
           job->is_over = status == 200 || job->attempts >= kMaxAttempts;
           if (job->is_over) return;
           auto timer = std::make_shared<asio::steady_timer>(io, milliseconds(500));
           timer->async_wait([this, timer, job](error_code error) {
             if (!error) Attempt(job);
           });
         });
  }

  // The platform asks each node once a second.
  void PollReadiness() {
    for (const auto& node : nodes) {
      Call(io, node->ready, "GET", "/api/readiness", "ready", "", milliseconds(900),
           [this, raw = node.get()](unsigned status, const std::string&) {
             const bool is_ready = status == 200;
             if (is_ready != raw->is_ready) {
               record.Line("readiness of " + raw->name + " -> " + std::to_string(status));
             }
             raw->is_ready = is_ready;
           });
    }
    auto timer = std::make_shared<asio::steady_timer>(io, milliseconds(1000));
    timer->async_wait([this, timer](error_code error) {
      if (!error) PollReadiness();
    });
  }

  Options m_options;
  std::set<std::string> m_cut_off;  // Names of the nodes that are cut off.
};

/// @returns the body of a job with one step.
inline std::string OneStep(int count, const TaskModel& model, const std::string& more = "") {
  std::string body = R"({"spec":"review","steps":[{"count":)" + std::to_string(count) +
                     R"(,"cpu":)" + std::to_string(model.cpu) + R"(,"memMb":)" +
                     std::to_string(model.mem_mb) + R"(,"estimateMs":)" +
                     std::to_string(model.work.count());
  if (model.checkpoints) body += R"(,"checkpoint":true)";
  if (!model.required_label.empty()) body += R"(,"requiredLabel":")" + model.required_label + "\"";
  return body + "}]" + more + "}";
}

}  // namespace review
