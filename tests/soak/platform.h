// The users' platform as servers on loopback: the store, the workers and the policy service of the
// model, in real time. Faults of the platform itself are switched on here; faults of the network
// are those of the relays in front of it.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "../cell/loop.h"
#include "../cell/store.h"
#include "../cell/worker.h"
#include "citronsill/http.h"
#include "citronsill/timer.h"
#include "relay.h"

namespace citronsill::soak {

// How the store treats one instance.
enum class StoreManner { kServes, kBusy, kSilent };

struct WorkerFaults {
  double late = 0.0;         // Share of orders that are carried out 2 to 12 s later, unanswered.
  double lost = 0.0;         // Share of orders whose answer is lost.
  bool fails_tasks = false;  // All that it starts fails.
};

// A server in this process and the relay by which the instances reach it.
struct Endpoint {
  std::unique_ptr<HttpServer> server;
  std::shared_ptr<Relay> relay;
  [[nodiscard]] std::string Address() const { return "127.0.0.1:" + std::to_string(relay->Port()); }
};

class Platform {
 public:
  // What one instance is told: its own ports, so that it can be turned away alone.
  struct Gate {
    Endpoint store;
    Endpoint advice;
    StoreManner manner = StoreManner::kServes;
    SteadyTime advice_free{};  // The policy service takes one call at a time from an instance.
  };
  struct WorkerHost {
    std::size_t number = 0;
    std::string id;
    Endpoint endpoint;
    std::shared_ptr<model::WorkerProcess> incarnation;
    std::uint64_t born_unix_ms = 0;
    bool draining = false;
    WorkerFaults faults;
    std::vector<std::function<void()>> holds;  // That wait for an end.
  };

  static Result<std::unique_ptr<Platform>> Create(Runtime& runtime, TimerService& timers,
                                                  std::uint64_t seed, int instances, int workers);

  model::Loop loop;
  model::Store store;
  model::History history;
  std::vector<std::unique_ptr<Gate>> gates;  // By instance.
  std::vector<std::unique_ptr<WorkerHost>> workers;
  std::function<model::TaskBehavior(const TaskRef&)> truth;  // Of the jobs of the callers.
  std::function<bool(const TaskRef&)> lasts;  // Whether a task runs until its job is cancelled.

  // When the last disruption ends or ended. `disturbed` has restarts and terminations, too.
  struct Calm {
    SteadyTime disturbed{};
    SteadyTime unplanned{};
    SteadyTime configured{};  // When the configuration was last written.
    milliseconds stall{0};    // Longest time in which this process itself stood still.
  };
  Calm calm;
  std::vector<std::string> notes;  // For the log of faults.
  // Notes a disruption that lasts until then.
  void Disturb(SteadyTime until, bool is_planned);

  // Writes a new version of the configuration, with `idle` queues that nobody uses.
  void WriteConfig(int idle);
  // Writes what a worker says of itself, or takes it off the list.
  void List(const WorkerHost& worker, bool listed);
  void KillWorker(WorkerHost* worker);
  void StartWorker(WorkerHost* worker);
  // @returns whether the queue's policy lets a worker run a step, named as in orders.
  [[nodiscard]] bool IsAllowed(const std::string& step, const WorkerHost& worker) const;
  static Resources Capacity();

  // Called with the task when a worker starts a run on an order that was not late.
  std::function<void(const TaskRef&)> on_start;

 private:
  Platform(Runtime& runtime, TimerService& timers, std::uint64_t seed);
  Result<void> Begin(int instances, int workers);
  Result<Endpoint> Serve(HttpHandler handler);
  void Advance();
  void NeverAnswer(const HttpReply& reply);
  void HandleStore(Gate& gate, const HttpRequest& request, const HttpReply& reply);
  void HandleTransaction(const HttpRequest& request, const HttpReply& reply);
  void HandleRead(const HttpRequest& request, const HttpReply& reply);
  void HandleFeed(const HttpRequest& request, const HttpReply& reply);
  void AnswerFeeds();
  void HandleAdvice(Gate& gate, const HttpRequest& request, const HttpReply& reply);
  void HandleWorker(WorkerHost& worker, const HttpRequest& request, const HttpReply& reply);
  HttpResponse Obey(WorkerHost& worker, const HttpRequest& request, bool is_late);
  void HandleHold(WorkerHost& worker, const HttpRequest& request, const HttpReply& reply);

  struct Feed {
    std::string table;
    std::uint64_t after = 0;
    SteadyTime until;
    HttpReply reply;
  };
  struct IssuedTicket {
    std::string step;
    std::string worker;
    std::uint64_t born_unix_ms = 0;
    SteadyTime until;
  };

  Runtime& m_runtime;
  TimerService& m_timers;
  SteadyTime m_began;
  std::list<Feed> m_feeds;
  std::map<std::string, IssuedTicket> m_tickets;
  std::map<std::string, WorkerHost*> m_by_id;
  std::uint64_t m_config_version = 0;
  std::uint64_t m_last_ticket = 0;
  std::uint64_t m_last_id = 0;
  bool m_starts_fail = false;  // On the worker that is being told to start a task.
  std::vector<std::shared_ptr<model::WorkerProcess>>
      m_incarnations;  // Kept, for events that refer to them.
};

}  // namespace citronsill::soak
