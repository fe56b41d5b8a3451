// Simulated platform as servers on loopback: the store and the workers of the model and a policy
// service, in real time. Faults of the platform itself are injected here; network faults are
// injected by the relays in front of the servers.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../cell/loop.h"
#include "../cell/store.h"
#include "../cell/worker.h"
#include "citronsill/http.h"
#include "citronsill/timer.h"
#include "customers.h"
#include "relay.h"

namespace citronsill::soak {

// How the store responds to one instance: normally, with status 503, or not at all.
enum class StoreBehavior { kAvailable, kBusy, kSilent };

struct WorkerFaults {
  double late = 0.0;  // Share of calls that are executed 2 to 12 s later, without an answer.
  double lost = 0.0;  // Share of calls whose answer is lost.
  bool holds_orders = false;    // The network delivers orders only 300 to 900 ms later.
  bool holds_all = false;       // With `holds_orders`: hold calls as well.
  bool delays_answers = false;  // Answers take up to 400 ms and overtake each other.
  bool fails_tasks = false;     // All tasks that the worker starts fail.
};

// A server in this process and the relay through which the instances connect to it.
struct Endpoint {
  std::unique_ptr<HttpServer> server;
  std::shared_ptr<Relay> relay;
  [[nodiscard]] std::string Address() const { return "127.0.0.1:" + std::to_string(relay->Port()); }
};

class Platform {
 public:
  // The store and the policy service for one instance, on ports of their own so that they can fail
  // for it alone.
  struct InstanceServices {
    Endpoint store;
    Endpoint advice;
    StoreBehavior behavior = StoreBehavior::kAvailable;
    // When the policy service is free again; it handles one call at a time for each instance.
    SteadyTime advice_free_at{};
  };
  struct WorkerHost {
    std::size_t number = 0;
    std::string id;
    Endpoint endpoint;
    std::shared_ptr<model::WorkerProcess> incarnation;  // Current process of the worker.
    std::uint64_t born_unix_ms = 0;
    bool draining = false;
    WorkerFaults faults;
    // Hooks that answer the waiting hold calls. They are called when a task ends.
    std::vector<std::function<void()>> holds;
  };

  // @param customers number of customers in the configuration; without any, calls need no key.
  static Result<std::unique_ptr<Platform>> Create(Runtime& runtime, TimerService& timers,
                                                  std::uint64_t seed, int instances, int workers,
                                                  milliseconds max_lease, int customers);

  model::Loop loop;
  model::Store store;
  model::History history;
  std::unique_ptr<Customers> customers;  // Null if the configuration has none.
  int idle_routes = 0;  // Queues that no caller uses, in each configuration but the first one.
  std::vector<std::unique_ptr<InstanceServices>> instance_services;  // Indexed by instance number.
  std::vector<std::unique_ptr<WorkerHost>> workers;
  std::function<model::TaskBehavior(const TaskRef&)> actual_behavior;  // Actual behavior of a task.
  // Whether a task runs until its job is cancelled.
  std::function<bool(const TaskRef&)> is_long_running;
  // Whether a task's queue has advice, so that its starts need a ticket.
  std::function<bool(const TaskRef&)> has_advice;

  struct DisruptionTimes {
    SteadyTime any_until{};         // End of the last disruption, planned ones included.
    SteadyTime unplanned_until{};   // End of the last unplanned disruption.
    SteadyTime configured_at{};     // When the configuration was last written.
    milliseconds longest_stall{0};  // Longest stall of this process.
  };
  DisruptionTimes disruptions;
  std::vector<std::string> pending_log_lines;  // Lines to be added to the fault log.
  // Records a disruption that lasts until the given time.
  void RecordDisruption(SteadyTime until, bool is_planned);

  // Writes a new version of the configuration.
  // @param idle_queues number of additional queues that no caller uses.
  void WriteConfig(int idle_queues);
  [[nodiscard]] std::uint64_t ConfigVersion() const { return m_config_version; }
  // @returns the name of the queue that only this version of the configuration has.
  static std::string NewestQueue(std::uint64_t version);
  // @returns the name of the queue with the same terms as another one, but without advice.
  static std::string WithoutAdvice(const std::string& queue) { return queue + "-open"; }
  // Writes or removes the row that describes a worker.
  void SetListed(const WorkerHost& worker, bool listed);
  void KillWorker(WorkerHost* worker);
  // Starts a new incarnation under the previous id or, in half of the cases, a new one.
  void StartWorker(WorkerHost* worker);
  // Starts a new incarnation under the previous id.
  // @param list_delay time until the worker's row in the store shows it; without one, the caller
  // lists it.
  void RestartWorker(WorkerHost* worker, std::optional<milliseconds> list_delay);
  // @returns whether a worker may run the task: the policy service decides on queues with advice.
  [[nodiscard]] bool IsAllowed(const TaskRef& task, const WorkerHost& worker) const;
  static Resources Capacity();

  // Called when a worker starts a run of the task, except for orders that a fault delayed.
  std::function<void(const TaskRef&)> on_start;

 private:
  Platform(Runtime& runtime, TimerService& timers, std::uint64_t seed);
  Result<void> Begin(int instances, int workers);
  Result<Endpoint> Serve(HttpHandler handler);
  void Advance();
  void LeaveUnanswered(const HttpReply& reply);
  void HandleStore(InstanceServices& services, const HttpRequest& request, const HttpReply& reply);
  void HandleTransaction(const HttpRequest& request, const HttpReply& reply);
  void HandleRead(const HttpRequest& request, const HttpReply& reply);
  void HandleFeed(const HttpRequest& request, const HttpReply& reply);
  void AnswerFeeds();
  void HandleAdvice(InstanceServices& services, const HttpRequest& request, const HttpReply& reply);
  void StartIncarnation(WorkerHost* worker);
  [[nodiscard]] bool IsStepAllowed(const std::string& step, const WorkerHost& worker) const;
  void HandleWorker(WorkerHost& worker, const HttpRequest& request, const HttpReply& reply);
  // @param received_by the incarnation that the call reached.
  void HoldBack(WorkerHost& worker, const HttpRequest& request, const HttpReply& reply,
                const std::shared_ptr<model::WorkerProcess>& received_by, milliseconds delay);
  void ExecuteLate(WorkerHost& worker, const HttpRequest& request);
  // @param received_by the incarnation that the call reached, which need not be the one that
  // executes it.
  // @param is_late whether the network held the call back.
  HttpResponse Execute(WorkerHost& worker, const HttpRequest& request,
                       const std::shared_ptr<model::WorkerProcess>& received_by, bool is_late);
  void HandleHold(WorkerHost& worker, const HttpRequest& request, const HttpReply& reply);

  // Waiting call for the changes of a table since a version.
  struct Feed {
    std::string table;
    std::uint64_t after = 0;
    SteadyTime until;
    HttpReply reply;
  };
  // Permission to start a step on one incarnation of a worker.
  struct IssuedTicket {
    std::string step;
    std::string worker;
    std::uint64_t born_unix_ms = 0;
    SteadyTime until;
  };

  Runtime& m_runtime;
  TimerService& m_timers;
  SteadyTime m_start;
  std::list<Feed> m_feeds;
  std::map<std::string, IssuedTicket> m_tickets;
  std::map<std::string, WorkerHost*> m_by_id;
  std::uint64_t m_config_version = 0;
  std::uint64_t m_last_ticket = 0;
  std::uint64_t m_last_id = 0;
  milliseconds m_max_lease{6000};
  bool m_starts_fail = false;  // Whether the start being executed is on a worker that fails tasks.
  // All processes of workers so far, kept alive for events that refer to them.
  std::vector<std::shared_ptr<model::WorkerProcess>> m_incarnations;
};

}  // namespace citronsill::soak
