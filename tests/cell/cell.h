// Simulation of a cell in model time. Instances claim a shard, schedule, freeze and die; workers
// become unreachable, restart and execute calls late; the store loses replies. Callers submit jobs
// until they are accepted.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cell/claim.h"
#include "cell/commit.h"
#include "cell/limits.h"
#include "cell/scheduler.h"
#include "cell/support.h"
#include "loop.h"
#include "policy.h"
#include "processor.h"
#include "store.h"
#include "worker.h"

namespace citronsill::model {

constexpr milliseconds kMaxLease{6000};

struct NetworkFaults {
  double lost = 0.0;        // Share of calls to workers that are executed without a reply.
  double late = 0.0;        // Share of calls that are executed 2 to 12 s later, without a reply.
  milliseconds latency{2};  // One way.
  milliseconds jitter{0};   // Added to it at random: calls and answers overtake each other.
};

struct WorkerNode {
  std::string id;
  bool listed = true;
  bool draining = false;
  milliseconds hold_delay{0};              // Added to the answer to each hold.
  milliseconds hold_call_delay{0};         // Added to the way of each hold.
  milliseconds call_delay{0};              // Added to the way of each start and stop.
  milliseconds answer_delay{0};            // Added to the way of their answers.
  std::shared_ptr<WorkerProcess> process;  // Current incarnation.
  std::set<int> cut_from;                  // Numbers of the instances that cannot reach it.
  // Start of the incarnation that the list of workers shows; that of the current one if unset.
  std::optional<std::int64_t> listed_born;
};

class Cell;

// One instance: claims the shard when it is vacant, and runs its scheduler.
class Instance {
 public:
  Instance(Cell& cell, int number);

  int number;
  std::uint64_t incarnation = 0;
  bool paused = false;
  bool alive = true;
  bool cut_from_store = false;
  bool has_peer_links = true;  // Whether its links to other instances work.
  int side = 0;                // Its links to instances of another side do not work.
  bool releasing = false;      // The transaction that releases the shard was built.
  std::unique_ptr<Claimer> claimer;
  std::unique_ptr<CommitLog> commits;
  std::unique_ptr<Scheduler> scheduler;
  bool loaded = false;
  bool plan_pending = false;
  // Increases with each start and each scheduler. Events of earlier epochs are dropped.
  std::uint64_t epoch = 0;
  OwnerLinkState link_state;
  SteadyTime earlier_may_lead_until{};   // As of the owner row that its claim wrote.
  std::unique_ptr<Processor> processor;  // Null: events take no processor time and do not queue.
  EventCosts costs;
  SteadyTime leader_since{};  // When it became the scheduler.
  SteadyTime last_ping{};     // When it last sent pings; only used with a processor.
  std::uint64_t passes = 0;   // Number of planning passes.

  void Restart();
  void Kill();
  // Releases the shard, ends, and starts again after a while, as in a rolling restart.
  void Roll(milliseconds down);
  void Pause(milliseconds time);
  void Tick();
  void TickSoon();
  // Runs an event of this instance; while it is paused, after the pause.
  void Deliver(std::uint64_t event_epoch, std::function<void()> event);
  // Runs an event of this instance after a delay, as a timer does.
  void DeliverAfter(milliseconds delay, std::function<void()> event);
  // Adds to the processor time of the current event.
  void Charge(microseconds cost) const {
    if (processor) processor->Charge(cost);
  }
  // @returns the time at which a message sent by the current event leaves.
  [[nodiscard]] SteadyTime SendTime() const;
  [[nodiscard]] bool IsLeading() const { return alive && !paused && scheduler && loaded; }
  void Lose();
  // @returns whether messages between the two instances arrive.
  [[nodiscard]] bool IsLinked(const Instance& other) const {
    return &other != this && has_peer_links && other.has_peer_links && side == other.side;
  }

 private:
  void AskForSupport();
  void Gain(const schema::OwnerRow& owner, const schema::HeadRow& head, std::uint64_t version);
  void Load();
  void LoadRows();
  void ReadWithin(milliseconds latency, microseconds cost, std::function<void()> done,
                  std::function<void()> retry);
  void ReadWorkerList();
  void RequestAdvice(const TaskRef& step, const std::vector<std::string>& workers,
                     AdviceRequestKind kind);
  void ChargeCall(const std::string& worker, bool is_hold);
  void Plan();
  SchedulerHooks MakeSchedulerHooks();
  void PlanSoon();
  template <class Answer>
  void CallWorker(const std::string& worker, std::function<Answer(WorkerProcess&)> call,
                  std::function<void(const Result<Answer>&)> done);
  void SendHold(const std::string& worker, const HoldOrder& order, std::uint64_t id);
  // @returns whether a call gets no answer and is executed seconds later.
  [[nodiscard]] bool IsLate() const;
  // @returns the time of a call or an answer on its way.
  [[nodiscard]] milliseconds Latency() const;

  Cell& m_cell;
  std::unique_ptr<SupportRegister> m_support;  // Of the current scheduler.
  std::vector<std::function<void()>> m_while_paused;
  std::shared_ptr<PolicyService::RequestSlots> m_slots;  // Of the current scheduler.
  PassPacer m_pacer;
  bool m_tick_pending = false;
  std::set<std::pair<std::string, bool>> m_connected;  // Worker; true for hold calls.
};

class Cell {
 public:
  // @param worker_prefix ids of workers are this and a number.
  Cell(std::uint64_t seed, int instances, int workers, Resources capacity,
       const std::string& worker_prefix = "w")
      : loop(seed), store(loop), m_capacity(capacity) {
    history.behavior_of = [this](const TaskRef& task) {
      return behaviors[task.job + std::to_string(task.step)];
    };
    for (int i = 0; i < workers; ++i) {
      WorkerNode node;
      node.id = worker_prefix + std::to_string(i);
      node.process = StartWorkerProcess(node.id);
      nodes[node.id] = node;
    }
    for (int i = 0; i < instances; ++i) {
      this->instances.push_back(std::make_unique<Instance>(*this, i));
      this->instances.back()->Restart();
    }
    Tick();
  }

  Loop loop;
  Store store;
  History history;
  NetworkFaults network;
  std::map<std::string, int> open_submissions;  // Not refused, by job id.
  std::map<std::string, WorkerNode> nodes;
  milliseconds max_lease = kMaxLease;  // Longest lease that workers started from now on grant.
  bool checks_tickets = false;         // Of workers started from now on.
  // While a transaction is late, jobs that none has carried are refused, as for callers whose
  // deadline is near: half of the ids.
  bool refuses_some = false;
  std::size_t max_entries = 97;  // Of a transaction. With more changed jobs, packs are written.
  bool gives_support = true;     // Whether instances support a scheduler without the store.
  std::uint32_t links = 0;  // Number of other instances that exchange pings with the scheduler.
  std::vector<std::unique_ptr<Instance>> instances;
  std::map<std::string, TaskBehavior> behaviors;  // By job id followed by the step number.
  std::set<std::string> accepted;
  std::set<std::string> cancel_sent;      // Jobs with a cancel call, acknowledged or not.
  std::unique_ptr<PolicyService> policy;  // Null: advice requests are not answered.
  CustomerDirectoryPtr customers;         // Of the configuration; null for none.

  // A configuration with these customers comes into force everywhere.
  void SetCustomers(CustomerDirectoryPtr directory) {
    customers = std::move(directory);
    for (const auto& instance : instances) {
      if (instance->scheduler) instance->scheduler->SetCustomers(*customers);
    }
  }

  std::shared_ptr<WorkerProcess> StartWorkerProcess(const std::string& id) {
    const double rate = 0.98 + 0.02 * static_cast<double>(loop.Between(0, 100)) / 100.0;
    auto process = std::make_shared<WorkerProcess>(loop, history, id, m_capacity, rate);
    process->max_lease = max_lease;
    process->checks_tickets = checks_tickets;
    m_worker_processes.push_back(process);
    return process;
  }

  void KillWorker(const std::string& id) { nodes[id].process->Die(); }
  void RestartWorker(const std::string& id) {
    RestartUnlisted(id);
    ListWorkers();
  }
  // The list of workers shows the restart only with the next `ListWorkers`.
  void RestartUnlisted(const std::string& id) {
    nodes[id].process->Die();
    nodes[id].process = StartWorkerProcess(id);
  }

  // Delivers the list of workers to the scheduler.
  void ListWorkers() {
    for (const auto& instance : instances) {
      if (!instance->scheduler || !instance->loaded) continue;
      instance->Deliver(instance->epoch, [this, raw = instance.get()] { SendWorkerList(*raw); });
    }
  }
  void SendWorkerList(Instance& instance) {
    for (const auto& [id, node] : nodes) {
      if (!node.listed) {
        instance.scheduler->Workers().Unlist(id);
        continue;
      }
      WorkerDescription description;
      description.id = id;
      description.service = "pool";
      description.address = id;
      description.capacity = m_capacity;
      description.draining = node.draining;
      description.born_unix_ms = node.listed_born.value_or(node.process->Born());
      instance.scheduler->Workers().Put(description);
    }
  }

  Instance* Leader() {
    for (const auto& instance : instances) {
      if (instance->IsLeading()) return instance.get();
    }
    return nullptr;
  }

  // Submits a job, and again until it is accepted.
  void Submit(const schema::JobSpec& spec) {
    history.submitted.insert(spec.id());
    Instance* leader = Leader();
    const auto retry = [this, spec] {
      loop.After(milliseconds(300), [this, spec] {
        if (!accepted.contains(spec.id())) Submit(spec);
      });
    };
    if (leader == nullptr) return retry();
    // The caller retries once: when it is refused, or when it gets no answer in time.
    const auto is_retried = std::make_shared<bool>(false);
    const auto retry_once = [this, spec, is_retried] {
      if (!accepted.contains(spec.id()) && !std::exchange(*is_retried, true)) Submit(spec);
    };
    loop.After(milliseconds(3000), retry_once);
    ++open_submissions[spec.id()];
    leader->scheduler->Submit(spec, milliseconds(0), [this, spec, retry_once](const auto& result) {
      if (result) {
        accepted.insert(spec.id());
        return;
      }
      // What was refused, and is not submitted otherwise, must not run.
      const bool is_open = --open_submissions[spec.id()] > 0 || accepted.contains(spec.id());
      if (!is_open) history.submitted.erase(spec.id());
      loop.After(loop.Delay(10, 600), retry_once);
    });
  }

  void Cancel(const std::string& id) {
    cancel_sent.insert(id);
    Instance* leader = Leader();
    if (leader == nullptr) {
      loop.After(milliseconds(300), [this, id] { Cancel(id); });
      return;
    }
    leader->scheduler->Cancel(id, [](const auto&) {});
  }

  // Makes a job of equal tasks whose steps run one after another.
  schema::JobSpec MakeJob(const std::string& id, std::uint32_t tasks, TaskBehavior behavior,
                          int steps = 1) {
    schema::JobSpec spec;
    spec.set_id(id);
    spec.mutable_queue()->set_name("queue");
    spec.mutable_queue()->set_service("pool");
    spec.mutable_queue()->set_max_attempts(static_cast<std::uint32_t>(history.max_attempts));
    spec.mutable_queue()->set_stretch(2.0);
    spec.mutable_queue()->set_target_ms(1000);
    spec.mutable_queue()->set_priority(1);
    for (int number = 0; number < steps; ++number) {
      schema::StepSpec* step = spec.add_steps();
      step->set_task_count(tasks);
      step->mutable_size()->set_processors_milli(behavior.size.processors_milli);
      step->mutable_size()->set_memory_mb(behavior.size.memory_mb);
      step->set_estimate_ms(behavior.duration.count());
      step->set_gang(behavior.gang);
      if (number > 0) step->add_after(static_cast<std::uint32_t>(number - 1));
      behaviors[id + std::to_string(number)] = behavior;
    }
    return spec;
  }

  // @returns the state of a job as a caller sees it, none without a scheduler.
  std::optional<schema::JobState> State(const std::string& id) {
    Instance* leader = Leader();
    return leader == nullptr ? std::nullopt : leader->scheduler->State(id);
  }

 private:
  void Tick() {
    for (const auto& instance : instances) {
      if (instance->alive) instance->TickSoon();
    }
    loop.After(milliseconds(50), [this] { Tick(); });
  }

  Resources m_capacity;
  // All incarnations of all workers. They stay alive for events that refer to them.
  std::vector<std::shared_ptr<WorkerProcess>> m_worker_processes;
};

// ---- Instance

inline Instance::Instance(Cell& cell, int n) : number(n), m_cell(cell) {}

inline void Instance::Deliver(std::uint64_t event_epoch, std::function<void()> event) {
  const auto run = [this, event_epoch, event = std::move(event)] {
    if (alive && epoch == event_epoch) event();
  };
  if (processor) {
    processor->Arrive(run);
  } else if (paused) {
    m_while_paused.push_back(run);
  } else {
    run();
  }
}

inline void Instance::DeliverAfter(milliseconds delay, std::function<void()> event) {
  if (!processor) {
    m_cell.loop.After(delay, [this, at = epoch, event = std::move(event)] { Deliver(at, event); });
    return;
  }
  processor->At(SendTime() + delay, [this, at = epoch, event = std::move(event)] {
    if (alive && epoch == at) event();
  });
}

inline SteadyTime Instance::SendTime() const {
  return processor ? processor->Now() : m_cell.loop.Now();
}

inline void Instance::TickSoon() {
  if (!processor) return Deliver(epoch, [this] { Tick(); });
  if (std::exchange(m_tick_pending, true)) return;
  processor->At(m_cell.loop.Now(), [this] {
    m_tick_pending = false;
    if (alive) Tick();
  });
}

inline void Instance::Restart() {
  ++epoch;
  alive = true;
  incarnation = static_cast<std::uint64_t>(m_cell.loop.Between(1, 1'000'000'000));
  scheduler.reset();
  commits.reset();
  loaded = false;
  link_state = {};
  schema::OwnerRow self;
  self.set_instance("i" + std::to_string(number));
  self.set_incarnation(incarnation);
  ClaimHooks hooks;
  hooks.now = [this] { return m_cell.loop.Now(); };
  hooks.read_rows = [this] {
    m_cell.loop.After(milliseconds(6), [this, at = epoch] {
      Deliver(at, [this] {
        if (m_cell.store.faults.down || cut_from_store) {
          return claimer->OnRows(Error{schema::CODE_TABLE_UNAVAILABLE, "down"});
        }
        std::vector<Row> rows = m_cell.store.Read(kOwnerTable, "s0").rows;
        for (const Row& row : m_cell.store.Read(kHeadTable, "s0").rows) rows.push_back(row);
        claimer->OnRows(rows);
      });
    });
  };
  hooks.write_rows = [this](const schema::OwnerRow& owner, const schema::HeadRow& head,
                            std::uint64_t owner_version, std::uint64_t head_version) {
    const RowKey owner_key{kOwnerTable, "s0", kShardRowKey};
    const RowKey head_key{kHeadTable, "s0", kShardRowKey};
    RowTransaction transaction;
    transaction.conditions = {{owner_key, owner_version}, {head_key, head_version}};
    transaction.writes = {Row{owner_key, owner.SerializeAsString()},
                          Row{head_key, head.SerializeAsString()}};
    m_cell.store.Commit(transaction, milliseconds(500), [this, at = epoch](const auto& result) {
      Deliver(at, [this, result] { claimer->OnClaimed(result); });
    });
  };
  hooks.on_gained = [this](const schema::OwnerRow& owner, const schema::HeadRow& head,
                           std::uint64_t version) { Gain(owner, head, version); };
  claimer = std::make_unique<Claimer>("s0", self, milliseconds(50 * number), std::move(hooks));
}

inline void Instance::Kill() {
  ++epoch;
  alive = false;
  loaded = false;
  paused = false;
  m_while_paused.clear();
  if (processor) processor->Clear();
  m_tick_pending = false;
  scheduler.reset();
  commits.reset();
}

inline void Instance::Roll(milliseconds down) {
  if (!scheduler) return;
  schema::OwnerRow owner = claimer->Owner();
  owner.set_released(true);
  commits->Release(
      owner, [this] { releasing = true; },
      [this, down] {
        m_cell.loop.After(milliseconds(0), [this, down, at = epoch] {
          if (epoch != at) return;
          Kill();
          m_cell.loop.After(down, [this] {
            if (!alive) Restart();
          });
        });
      });
}

inline void Instance::Pause(milliseconds time) {
  if (!alive || paused) return;
  paused = true;
  if (processor) processor->Freeze();
  m_cell.loop.After(time, [this, at = epoch] {
    if (epoch != at && !paused) return;
    paused = false;
    if (processor) processor->Resume();
    std::vector<std::function<void()>> events;
    events.swap(m_while_paused);
    for (const auto& event : events) event();
  });
}

inline void Instance::Lose() {
  ++epoch;
  scheduler.reset();
  commits.reset();
  loaded = false;
}

inline void Instance::Tick() {
  if (!cut_from_store && !m_cell.store.faults.down) {
    const RowPage page = m_cell.store.Read(kOwnerTable, "s0");
    if (page.rows.empty()) claimer->OnOwner({}, 0);
    for (const Row& row : page.rows) {
      schema::OwnerRow owner;
      owner.ParseFromString(row.value);
      claimer->OnOwner(owner, row.version);
    }
  }
  last_ping = m_cell.loop.Now();
  if (scheduler) {
    if (!claimer->IsOwn()) return Lose();
    Charge(costs.tick + costs.link_ping * static_cast<int>(m_cell.links) / 2);
    commits->Tick();
    AskForSupport();
    if (loaded) {
      if (commits->FailingFor() > kRefuseAfterStoreSilence) {
        scheduler->RefuseUnsent(Error{schema::CODE_TABLE_UNAVAILABLE, "down"});
      } else if (m_cell.refuses_some && commits->FailingFor() > milliseconds(0)) {
        scheduler->RefuseUnsent(Error{schema::CODE_TABLE_UNAVAILABLE, "late"},
                                [](const std::string& id) { return StableHash(id) % 2 == 0; });
      }
      scheduler->Tick();
      PlanSoon();
    }
    return;
  }
  link_state = {};
  for (const auto& other : m_cell.instances) {
    if ("i" + std::to_string(other->number) != claimer->Owner().instance()) continue;
    const bool is_same = other->incarnation == claimer->Owner().incarnation();
    const bool has_link = IsLinked(*other);
    link_state.has_denied = other->alive && !other->paused && !is_same && has_link;
    link_state.is_refused = !other->alive && has_link;
    link_state.is_linked = other->alive && !other->paused && is_same && has_link;
    if (other->processor && m_cell.loop.Now() > other->last_ping + kLinkSilence) {
      link_state.is_linked = false;
    }
    if (link_state.is_linked)
      link_state.heard = other->processor ? other->last_ping : m_cell.loop.Now();
  }
  claimer->Tick(link_state, true);
}

// Requests and grants travel with the pings.
inline void Instance::AskForSupport() {
  if (!m_cell.gives_support || m_cell.loop.Now() < commits->Confirmed() + kAskSupportAfter) return;
  const std::uint64_t number = m_support->RequestNumber();
  const std::uint64_t term = claimer->Owner().term();
  for (const auto& other : m_cell.instances) {
    if (!other->alive || !IsLinked(*other)) continue;
    m_cell.loop.After(m_cell.loop.Delay(2, 100), [this, peer = other.get(), number, term,
                                                  at = epoch, peer_at = other->epoch] {
      peer->Deliver(peer_at, [this, peer, number, term, at] {
        const bool is_granted = peer->claimer->GrantSupport(term);
        if (!is_granted || !IsLinked(*peer)) return;
        m_cell.loop.After(
            m_cell.loop.Delay(2, 100), [this, at, number, incarnation = peer->incarnation] {
              Deliver(at, [this, number, incarnation] { m_support->OnGrant(incarnation, number); });
            });
      });
    });
  }
}

inline void Instance::PlanSoon() {
  if (plan_pending) return;
  plan_pending = true;
  if (processor) {
    return DeliverAfter(m_pacer.Delay(SendTime()), [this] {
      plan_pending = false;
      if (scheduler && loaded) Plan();
    });
  }
  m_cell.loop.After(milliseconds(4), [this, at = epoch] {
    plan_pending = false;
    Deliver(at, [this] {
      if (scheduler && loaded) Plan();
    });
  });
}

inline void Instance::Plan() {
  const SteadyTime began = SendTime();
  ++passes;
  const std::size_t orders = scheduler->Workers().OrderCount();
  scheduler->Plan();
  const std::size_t now = scheduler->Workers().OrderCount();
  const std::size_t placed = now - std::min(now, orders);
  if (processor) Charge(PlanCost(costs, CountPlanWork(*scheduler), placed));
  m_pacer.OnPass(began, SendTime());
}

inline void Instance::Gain(const schema::OwnerRow& owner, const schema::HeadRow& head,
                           std::uint64_t version) {
  if (scheduler) return;
  ++epoch;
  plan_pending = false;
  releasing = false;
  earlier_may_lead_until = m_cell.loop.Now() + TimePassedOn(owner);
  leader_since = m_cell.loop.Now();
  m_connected.clear();
  if (m_cell.policy)
    m_slots = std::make_shared<PolicyService::RequestSlots>(m_cell.policy->MakeRequestSlots());
  SchedulerOptions options;
  options.shard = "s0";
  options.term = owner.term();
  options.lease = std::min(kLease, kMaxLease);
  options.max_lease = m_cell.max_lease;
  options.gang_time = milliseconds(3000);
  options.keep_finished = milliseconds(120000);
  scheduler = std::make_unique<Scheduler>(options, MakeSchedulerHooks());
  if (m_cell.customers) scheduler->SetCustomers(*m_cell.customers);
  CommitHooks hooks;
  hooks.now = [this] { return m_cell.loop.Now(); };
  hooks.after = [this](milliseconds delay, std::function<void()> action) {
    DeliverAfter(delay, std::move(action));
  };
  hooks.post = [this](std::function<void()> action) {
    if (processor) {
      return processor->Post([this, at = epoch, action] {
        if (alive && epoch == at) action();
      });
    }
    m_cell.loop.After(milliseconds(0), [this, at = epoch, action] { Deliver(at, action); });
  };
  hooks.take = [this] {
    WriteBatch batch = loaded ? scheduler->TakeBatch(m_cell.max_entries, 600000) : WriteBatch{};
    const auto entries = static_cast<int>(batch.writes.size() + batch.removals.size());
    Charge(costs.transaction + costs.transaction_entry * entries);
    return batch;
  };
  m_support = std::make_unique<SupportRegister>([this] { return m_cell.loop.Now(); });
  hooks.supporters = [this] {
    std::vector<std::uint64_t> supporters;
    for (const auto& other : m_cell.instances) {
      const bool is_supporter = m_cell.gives_support && other->alive && IsLinked(*other);
      if (is_supporter) supporters.push_back(other->incarnation);
    }
    return supporters;
  };
  hooks.is_supported_by = [this](const std::set<std::uint64_t>& incarnations) {
    return m_support->IsSupportedBy(incarnations);
  };
  hooks.on_stored = [this](std::uint64_t position) { scheduler->OnStored(position); };
  hooks.on_refused = [this](std::uint64_t position) { scheduler->OnRefused(position); };
  hooks.on_lost = [this] {
    m_cell.loop.After(milliseconds(0), [this, at = epoch] { Deliver(at, [this] { Lose(); }); });
  };
  // Each instance has its own access to the store, which can be cut off for this instance only.
  struct InstanceStore : RowStore {
    Instance* self = nullptr;
    Cell* cell = nullptr;
    void Commit(RowTransaction transaction, milliseconds timeout,
                std::function<void(Result<CommitOutcome>)> done) override {
      auto deliver = [self = self, at = self->epoch, done](const Result<CommitOutcome>& result) {
        self->Deliver(at, [self, done, result] {
          self->Charge(self->costs.store_answer);
          done(result);
        });
      };
      if (self->cut_from_store) {
        cell->loop.After(timeout, [deliver] {
          deliver(Error{schema::CODE_COMMIT_UNKNOWN, "cut"});
        });
        return;
      }
      cell->store.Commit(transaction, timeout, deliver);
    }
    void Read(RowRange range, milliseconds timeout,
              std::function<void(Result<RowPage>)> done) override {
      auto deliver = [self = self, at = self->epoch, done](const Result<RowPage>& result) {
        self->Deliver(at, [self, done, result] {
          self->Charge(self->costs.store_answer);
          done(result);
        });
      };
      const bool fails = self->cut_from_store || cell->store.faults.down;
      cell->loop.After(self->cut_from_store ? timeout : cell->store.faults.latency,
                       [cell = cell, deliver, fails, range] {
                         if (fails) return deliver(Error{schema::CODE_TABLE_UNAVAILABLE, "down"});
                         deliver(cell->store.Read(range.table, range.part));
                       });
    }
    void Follow(std::string, std::uint64_t, milliseconds,
                std::function<void(Result<RowPage>)>) override {}
  };
  static std::vector<std::unique_ptr<InstanceStore>> instance_stores;
  instance_stores.push_back(std::make_unique<InstanceStore>());
  instance_stores.back()->self = this;
  instance_stores.back()->cell = &m_cell;
  commits =
      std::make_unique<CommitLog>("s0", head, version, instance_stores.back().get(),
                                  claimer->ClaimSent(), earlier_may_lead_until, std::move(hooks));
  Load();
}

// Reads from the store. As in the real instance, the reply counts unless its time-out runs first.
// @param cost processor time for handling the reply.
// @param retry called when the read has to be repeated.
inline void Instance::ReadWithin(milliseconds latency, microseconds cost,
                                 std::function<void()> done, std::function<void()> retry) {
  auto answered = std::make_shared<bool>(false);
  m_cell.loop.At(SendTime() + latency, [this, at = epoch, answered, cost, done] {
    Deliver(at, [this, answered, cost, done] {
      if (std::exchange(*answered, true)) return;
      Charge(costs.store_answer + cost);
      done();
    });
  });
  DeliverAfter(kStoreReadTimeout, [this, answered, retry = std::move(retry)] {
    if (std::exchange(*answered, true)) return;
    DeliverAfter(kFollowRetryMin, retry);
  });
}

inline void Instance::Load() {
  if (!processor) {
    m_cell.loop.After(milliseconds(10),
                      [this, at = epoch] { Deliver(at, [this] { LoadRows(); }); });
    return;
  }
  std::size_t rows = 0;
  for (const char* table : {kJobTable, kProgressTable, kFinishedTable, kPackTable, kLeaseTable}) {
    rows += m_cell.store.Read(table, "s0").rows.size();
  }
  const auto pages = static_cast<int>(1 + rows / kMaxRowsPerRead);
  ReadWithin(
      m_cell.store.faults.latency * pages, costs.row_read * static_cast<int>(rows),
      [this] { LoadRows(); }, [this] { Load(); });
}

inline void Instance::LoadRows() {
  if (m_cell.store.faults.down || cut_from_store) return Load();
  const auto rows = [this](const char* table) { return m_cell.store.Read(table, "s0").rows; };
  scheduler->Restore(
      ResolveRows({rows(kJobTable), rows(kProgressTable), rows(kFinishedTable), rows(kPackTable),
                   rows(kLeaseTable)}),
      EarlierLeasesEnd(m_cell.loop.Now(), earlier_may_lead_until, std::min(kLease, kMaxLease)));
  loaded = true;
  if (processor) {
    ReadWorkerList();
  } else {
    m_cell.SendWorkerList(*this);
  }
  commits->Wake();
  PlanSoon();
}

inline void Instance::ReadWorkerList() {
  ReadWithin(
      m_cell.store.faults.latency, costs.row_read * static_cast<int>(m_cell.nodes.size()),
      [this] { m_cell.SendWorkerList(*this); }, [this] { ReadWorkerList(); });
}

inline void Instance::ChargeCall(const std::string& worker, bool is_hold) {
  if (!processor) return;
  Charge(costs.call_sent);
  if (m_connected.emplace(worker, is_hold).second) Charge(costs.connection);
}

inline bool Instance::IsLate() const {
  return m_cell.network.late > 0 && m_cell.loop.Chance(m_cell.network.late);
}

inline milliseconds Instance::Latency() const {
  const NetworkFaults& network = m_cell.network;
  if (network.jitter.count() == 0) return network.latency;
  return network.latency + m_cell.loop.Delay(0, network.jitter.count());
}

// A call is executed by the incarnation that runs when it arrives, whichever it was sent to.
template <class Answer>
void Instance::CallWorker(const std::string& worker, std::function<Answer(WorkerProcess&)> call,
                          std::function<void(const Result<Answer>&)> done) {
  Loop& loop = m_cell.loop;
  const WorkerNode& node = m_cell.nodes[worker];
  ChargeCall(worker, false);
  auto answered = std::make_shared<bool>(false);
  const auto complete = [this, answered, done](const Result<Answer>& result) {
    if (std::exchange(*answered, true)) return;
    Charge(costs.call_answer);
    done(result);
  };
  const auto deliver = [this, at = epoch, complete](const Result<Answer>& result) {
    Deliver(at, [complete, result] { complete(result); });
  };
  const auto unanswered = [this, complete] {
    DeliverAfter(scheduler->Workers().Calls().Timeout(), [complete] {
      complete(Error{schema::CODE_WORKER_UNREACHABLE, "no answer"});
    });
  };
  if (IsLate()) {
    loop.After(loop.Delay(2000, 12000), [this, &node, call, sent_to = node.process] {
      if (node.process->dead) return;
      m_cell.history.late_on_next_incarnation = node.process != sent_to;
      call(*node.process);
      m_cell.history.late_on_next_incarnation = false;
    });
    return unanswered();
  }
  if (node.process->dead || node.cut_from.contains(number)) return unanswered();
  const bool is_lost = m_cell.network.lost > 0 && loop.Chance(m_cell.network.lost);
  loop.At(SendTime() + Latency() + node.call_delay, [&loop, &node, call, deliver, is_lost, this] {
    if (node.process->dead) return;
    const Answer answer = call(*node.process);
    if (is_lost) return;
    loop.After(Latency() + node.answer_delay, [deliver, answer] { deliver(answer); });
  });
  unanswered();
}

inline void Instance::SendHold(const std::string& worker, const HoldOrder& order,
                               std::uint64_t id) {
  Loop& loop = m_cell.loop;
  const WorkerNode& node = m_cell.nodes[worker];
  auto answered = std::make_shared<bool>(false);
  ChargeCall(worker, true);
  const auto complete = [this, answered, id](const Result<HoldAnswer>& result) {
    if (std::exchange(*answered, true)) return;
    const std::size_t runs =
        result ? result.value().running.size() + result.value().ended.size() : 0;
    Charge(costs.call_answer + costs.run_listed * static_cast<int>(runs));
    scheduler->Workers().OnHold(id, result);
  };
  const auto deliver = [this, at = epoch, complete](const Result<HoldAnswer>& result) {
    Deliver(at, [complete, result] { complete(result); });
  };
  DeliverAfter(order.wait + order.timeout, [complete] {
    complete(Error{schema::CODE_WORKER_UNREACHABLE, "no answer"});
  });
  if (IsLate()) {
    loop.After(loop.Delay(2000, 12000), [&node, order] {
      if (!node.process->dead && !node.process->is_unhealthy) node.process->Hold(order);
    });
    return;
  }
  if (node.process->dead || node.cut_from.contains(number)) return;
  const bool is_lost = m_cell.network.lost > 0 && loop.Chance(m_cell.network.lost);
  const SteadyTime arrival = SendTime() + Latency() + node.hold_call_delay;
  loop.At(arrival, [this, &loop, &node, order, deliver, is_lost] {
    const std::shared_ptr<WorkerProcess> process = node.process;
    if (process->dead) return;
    if (process->is_unhealthy) {
      return loop.After(Latency(), [deliver] {
        deliver(Error{schema::CODE_WORKER_UNREACHABLE, "status 503"});
      });
    }
    const std::optional<HoldAnswer> answer = process->Hold(order);
    if (is_lost) return;
    if (answer) {
      loop.After(Latency() + node.hold_delay, [deliver, answer] { deliver(*answer); });
      return;
    }
    auto woken = std::make_shared<bool>(false);
    const auto wake = [this, &loop, &node, process, deliver, woken] {
      if (std::exchange(*woken, true) || process->dead) return;
      if (node.cut_from.contains(number)) return;
      loop.After(Latency() + node.hold_delay,
                 [deliver, status = process->Status()] { deliver(status); });
    };
    process->on_end = wake;
    loop.After(order.wait, wake);
  });
}

inline void Instance::RequestAdvice(const TaskRef& step, const std::vector<std::string>& workers,
                                    AdviceRequestKind kind) {
  if (!m_slots) return;
  Charge(costs.call_sent);
  if (m_slots->Counts().free == 0) {
    return scheduler->OnAdvice(
        step, workers,
        Error{schema::CODE_OVERLOADED, "no request slot of the policy service is free"});
  }
  m_slots->Add(kind, 1);
  auto answered = std::make_shared<bool>(false);
  const auto complete = [this, answered, step, workers, kind](const Result<AdviceAnswer>& result) {
    if (std::exchange(*answered, true)) return;
    Charge(costs.call_answer + costs.asked_worker * static_cast<int>(workers.size()));
    m_slots->Add(kind, -1U);
    scheduler->OnAdvice(step, workers, result);
  };
  m_cell.policy->Ask(SendTime(), step, workers, [this, at = epoch, complete](const auto& answer) {
    Deliver(at, [complete, answer] { complete(answer); });
  });
  DeliverAfter(kAdviceTimeout, [complete] {
    complete(Error{schema::CODE_OVERLOADED, "no answer in time"});
  });
}

inline SchedulerHooks Instance::MakeSchedulerHooks() {
  SchedulerHooks hooks;
  hooks.now = [this] { return m_cell.loop.Now(); };
  hooks.wall = [this] {
    return WallTime(std::chrono::duration_cast<milliseconds>(m_cell.loop.Now().time_since_epoch()));
  };
  hooks.may_lead = [this] { return !releasing && commits->MayLead(); };
  hooks.start = [this](const Worker& worker, const StartOrder& order, std::uint64_t id) {
    CallWorker<StartAnswer>(
        worker.description.id, [order](WorkerProcess& process) { return process.Start(order); },
        [this, id](const Result<StartAnswer>& result) {
          scheduler->Workers().OnStart(id, result);
        });
  };
  hooks.stop = [this](const Worker& worker, const TaskRef& task, std::uint64_t run,
                      std::uint64_t id) {
    CallWorker<StopAnswer>(
        worker.description.id,
        [task, run, fence = worker.fence](WorkerProcess& process) {
          return process.Stop(task, run, fence);
        },
        [this, id](const Result<StopAnswer>& result) { scheduler->Workers().OnStop(id, result); });
  };
  hooks.hold = [this](const Worker& worker, const HoldOrder& order, std::uint64_t id) {
    SendHold(worker.description.id, order, id);
  };
  hooks.request_advice = [this](const TaskRef& step, const std::vector<std::string>& workers,
                                AdviceRequestKind kind) { RequestAdvice(step, workers, kind); };
  hooks.advice_capacity = [this] { return m_slots ? m_slots->Counts() : AdviceCapacity{}; };
  hooks.has_writes = [this] {
    if (commits) commits->Wake();
  };
  hooks.plan_soon = [this] { PlanSoon(); };
  hooks.on_superseded = [this] {
    m_cell.loop.After(milliseconds(0), [this, at = epoch] { Deliver(at, [this] { Lose(); }); });
  };
  return hooks;
}

}  // namespace citronsill::model
