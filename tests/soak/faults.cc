#include "faults.h"

#include <fmt/format.h>

#include <algorithm>

namespace citronsill::soak {
namespace {

// Time between the beginnings of two faults: most last longer, so that they overlap.
constexpr std::int64_t kLeastGapMs = 200;
constexpr std::int64_t kMostGapMs = 2500;
// Faults last as long as those of the platform's sheets: 1 to 6 s.
constexpr std::int64_t kLeastMs = 800;
constexpr std::int64_t kMostMs = 6000;
// Time between a process's end and its next start.
constexpr std::int64_t kMostDownMs = 2000;
constexpr milliseconds kHealthyLatency{4};
constexpr milliseconds kSlowLatency{250};

}  // namespace

const std::vector<Faults::Kind>& Faults::Kinds() {
  static const std::vector<Kind> kinds{{"kill", &Faults::KillOne},
                                       {"kill_all", &Faults::KillAll},
                                       {"freeze", &Faults::Freeze},
                                       {"terminate", &Faults::Terminate},
                                       {"rolling_restart", &Faults::RollingRestart},
                                       {"reload", &Faults::Reload},
                                       {"one_way", &Faults::LoseOneWay},
                                       {"silence", &Faults::Silence},
                                       {"reset", &Faults::Reset},
                                       {"delay", &Faults::Delay},
                                       {"refuse", &Faults::Refuse},
                                       {"store_down", &Faults::StoreDown},
                                       {"store_slow", &Faults::StoreSlow},
                                       {"store_lost", &Faults::StoreLosesAnswers},
                                       {"store_late", &Faults::StoreWritesLate},
                                       {"store_forgets", &Faults::StoreForgets},
                                       {"store_turns_away", &Faults::StoreTurnsOneAway},
                                       {"worker_kill", &Faults::KillWorker},
                                       {"worker_cut", &Faults::CutWorker},
                                       {"worker_drain", &Faults::DrainWorker},
                                       {"worker_fails", &Faults::WorkerFails},
                                       {"late_orders", &Faults::LateOrders},
                                       {"config", &Faults::ChangeConfig},
                                       {"burst", &Faults::Burst},
                                       {"cancel", &Faults::CancelMany}};
  return kinds;
}

std::vector<std::string> Faults::Names() {
  std::vector<std::string> names;
  for (const Kind& kind : Kinds()) names.emplace_back(kind.name);
  return names;
}

Faults::Faults(Platform* platform, Processes* processes, Callers* callers,
               std::set<std::string> only)
    : m_platform(platform),
      m_processes(processes),
      m_callers(callers),
      m_only(std::move(only)),
      m_began(platform->loop.Now()) {}

void Faults::PlayUntil(SteadyTime end) {
  After(m_platform->loop.Delay(kLeastGapMs, kMostGapMs), [this, end] { Next(end); });
}

void Faults::Next(SteadyTime end) {
  if (m_platform->loop.Now() >= end) return;
  std::vector<Kind> kinds;
  for (const Kind& kind : Kinds()) {
    if (m_only.empty() || m_only.contains(kind.name)) kinds.push_back(kind);
  }
  const auto drawn = m_platform->loop.Between(0, static_cast<std::int64_t>(kinds.size()) - 1);
  (this->*kinds[static_cast<std::size_t>(drawn)].begin)();
  PlayUntil(end);
}

void Faults::Heal() {
  Note("heal");
  for (const auto& instance : m_processes->instances) {
    m_processes->Thaw(instance.get());
    GateOf(*instance).manner = StoreManner::kServes;
  }
  m_platform->store.faults = {};
  m_platform->store.faults.latency = kHealthyLatency;
  for (const auto& worker : m_platform->workers) {
    worker->faults = {};
    if (worker->life->dead) m_platform->StartWorker(worker.get());
  }
}

void Faults::Note(const std::string& what) {
  const auto at = std::chrono::duration_cast<milliseconds>(m_platform->loop.Now() - m_began);
  m_log.push_back(fmt::format("{:6} ms {}", at.count(), what));
}

void Faults::After(milliseconds delay, std::function<void()> action) {
  m_platform->loop.After(delay, std::move(action));
}

// The scheduler half of the time: its faults matter most.
Processes::Instance* Faults::AnyInstance() {
  Processes::Instance* scheduler = m_processes->Scheduler();
  if (scheduler != nullptr && m_platform->loop.Chance(0.5)) return scheduler;
  const auto last = static_cast<std::int64_t>(m_processes->instances.size()) - 1;
  return m_processes->instances[static_cast<std::size_t>(m_platform->loop.Between(0, last))].get();
}

Platform::WorkerHost* Faults::AnyWorker() {
  const auto last = static_cast<std::int64_t>(m_platform->workers.size()) - 1;
  return m_platform->workers[static_cast<std::size_t>(m_platform->loop.Between(0, last))].get();
}

Platform::Gate& Faults::GateOf(const Processes::Instance& instance) {
  return *m_platform->gates[static_cast<std::size_t>(instance.number)];
}

// A path of an instance to callers, other instances, the store or the policy service, or of all of
// them to a worker.
std::shared_ptr<Relay> Faults::AnyRelay(std::string* name) {
  Processes::Instance* instance = AnyInstance();
  const std::string of = fmt::format("n-{}", instance->number);
  switch (m_platform->loop.Between(0, 4)) {
    case 0:
      *name = "callers to " + of;
      return instance->ingress;
    case 1:
      *name = "instances to " + of;
      return instance->link;
    case 2:
      *name = of + " to the store";
      return GateOf(*instance).store.relay;
    case 3:
      *name = of + " to the policy service";
      return GateOf(*instance).advice.relay;
    default:
      break;
  }
  const Platform::WorkerHost* worker = AnyWorker();
  *name = "instances to worker " + worker->id;
  return worker->endpoint.relay;
}

// ---- Processes

void Faults::KillOne() {
  Processes::Instance* instance = AnyInstance();
  Note(fmt::format("kill n-{}", instance->number));
  m_processes->Kill(instance, m_platform->loop.Delay(100, kMostDownMs));
}

void Faults::KillAll() {
  Note("kill all instances");
  for (const auto& instance : m_processes->instances) {
    m_processes->Kill(instance.get(), m_platform->loop.Delay(300, kMostDownMs));
  }
}

void Faults::Freeze() {
  Processes::Instance* instance = AnyInstance();
  const milliseconds time = m_platform->loop.Delay(kLeastMs, kMostMs);
  Note(fmt::format("freeze n-{} for {} ms", instance->number, time.count()));
  m_processes->Freeze(instance);
  After(time, [this, instance] { m_processes->Thaw(instance); });
}

void Faults::Terminate() {
  Processes::Instance* instance = AnyInstance();
  Note(fmt::format("terminate n-{}", instance->number));
  m_processes->Terminate(instance, m_platform->loop.Delay(0, kMostDownMs));
}

void Faults::RollingRestart() {
  Note("rolling restart");
  milliseconds at{0};
  for (const auto& instance : m_processes->instances) {
    After(at, [this, raw = instance.get()] { m_processes->Terminate(raw, milliseconds(0)); });
    at += m_platform->loop.Delay(800, 2000);
  }
}

void Faults::Reload() {
  Processes::Instance* instance = AnyInstance();
  Note(fmt::format("reload n-{}", instance->number));
  m_processes->Reload(instance);
}

// ---- The network

void Faults::LoseOneWay() {
  std::string name;
  const std::shared_ptr<Relay> relay = AnyRelay(&name);
  const Loss losses[] = {Loss::kForward, Loss::kBackward, Loss::kBoth};
  const Loss loss = losses[m_platform->loop.Between(0, 2)];
  const milliseconds time = m_platform->loop.Delay(kLeastMs, kMostMs);
  Note(fmt::format("lose {} for {} ms: {}",
                   loss == Loss::kBoth      ? "both ways"
                   : loss == Loss::kForward ? "forward"
                                            : "back",
                   time.count(), name));
  relay->SetLoss(loss);
  After(time, [relay] {
    relay->SetLoss(Loss::kNone);
    // What was lost cannot be made up for: a connection with a gap is of no use.
    relay->Reset();
  });
}

void Faults::Silence() {
  std::string name;
  const std::shared_ptr<Relay> relay = AnyRelay(&name);
  Note("silence what is open: " + name);
  relay->SilenceOpen();
}

void Faults::Reset() {
  std::string name;
  const std::shared_ptr<Relay> relay = AnyRelay(&name);
  Note("reset: " + name);
  relay->Reset();
}

void Faults::Delay() {
  std::string name;
  const std::shared_ptr<Relay> relay = AnyRelay(&name);
  const milliseconds delay = m_platform->loop.Delay(20, 400);
  Note(fmt::format("delay by {} ms: {}", delay.count(), name));
  relay->SetDelay(delay);
  After(m_platform->loop.Delay(kLeastMs, kMostMs), [relay] { relay->SetDelay(milliseconds(0)); });
}

void Faults::Refuse() {
  std::string name;
  const std::shared_ptr<Relay> relay = AnyRelay(&name);
  Note("refuse: " + name);
  relay->SetRefusing(true);
  relay->Reset();
  After(m_platform->loop.Delay(kLeastMs, kMostMs), [relay] { relay->SetRefusing(false); });
}

// ---- The store

void Faults::StoreDown() {
  Note("store down");
  m_platform->store.faults.down = true;
  After(m_platform->loop.Delay(kLeastMs, kMostMs),
        [this] { m_platform->store.faults.down = false; });
}

void Faults::StoreSlow() {
  Note("store slow");
  m_platform->store.faults.latency = kSlowLatency;
  After(m_platform->loop.Delay(kLeastMs, kMostMs),
        [this] { m_platform->store.faults.latency = kHealthyLatency; });
}

void Faults::StoreLosesAnswers() {
  Note("store loses answers");
  m_platform->store.faults.lost = 0.3;
  After(m_platform->loop.Delay(kLeastMs, kMostMs), [this] { m_platform->store.faults.lost = 0.0; });
}

void Faults::StoreWritesLate() {
  Note("store writes late");
  m_platform->store.faults.late = 0.2;
  After(m_platform->loop.Delay(kLeastMs, kMostMs), [this] { m_platform->store.faults.late = 0.0; });
}

void Faults::StoreForgets() {
  Note("store forgets its history");
  m_platform->store.DropHistory();
}

void Faults::StoreTurnsOneAway() {
  Processes::Instance* instance = AnyInstance();
  const bool is_silent = m_platform->loop.Chance(0.5);
  Note(fmt::format("store {} n-{}", is_silent ? "ignores" : "refuses", instance->number));
  Platform::Gate& gate = GateOf(*instance);
  gate.manner = is_silent ? StoreManner::kSilent : StoreManner::kBusy;
  After(m_platform->loop.Delay(kLeastMs, kMostMs), [&gate] { gate.manner = StoreManner::kServes; });
}

// ---- Workers

void Faults::KillWorker() {
  Platform::WorkerHost* worker = AnyWorker();
  Note("kill worker " + worker->id);
  m_platform->KillWorker(worker);
  After(m_platform->loop.Delay(300, kMostMs), [this, worker] {
    if (worker->life->dead) m_platform->StartWorker(worker);
  });
}

void Faults::CutWorker() {
  Platform::WorkerHost* worker = AnyWorker();
  const std::shared_ptr<Relay> relay = worker->endpoint.relay;
  const bool is_reborn = m_platform->loop.Chance(0.3);
  Note(fmt::format("cut worker {}{}", worker->id, is_reborn ? ", reborn behind the cut" : ""));
  relay->SetLoss(Loss::kBoth);
  if (is_reborn) {
    After(milliseconds(400), [this, worker] { m_platform->StartWorker(worker); });
  }
  After(m_platform->loop.Delay(kLeastMs, 2 * kMostMs), [relay] {
    relay->SetLoss(Loss::kNone);
    relay->Reset();
  });
}

void Faults::DrainWorker() {
  Platform::WorkerHost* worker = AnyWorker();
  if (worker->life->dead || worker->draining) return;
  Note("drain worker " + worker->id);
  worker->draining = true;
  m_platform->List(*worker, true);
  After(milliseconds(3000), [this, worker, id = worker->id] {
    if (worker->id != id || !worker->draining) return;
    m_platform->KillWorker(worker);
    m_platform->List(*worker, false);
    After(milliseconds(1000), [this, worker] {
      if (worker->life->dead) m_platform->StartWorker(worker);
    });
  });
}

void Faults::WorkerFails() {
  Platform::WorkerHost* worker = AnyWorker();
  Note("worker fails all that it starts: " + worker->id);
  worker->faults.fails_tasks = true;
  After(m_platform->loop.Delay(kLeastMs, kMostMs),
        [worker] { worker->faults.fails_tasks = false; });
}

void Faults::LateOrders() {
  Note("orders carried out late, answers lost");
  for (const auto& worker : m_platform->workers) {
    worker->faults.late = 0.06;
    worker->faults.lost = 0.06;
  }
  After(m_platform->loop.Delay(kLeastMs, kMostMs), [this] {
    for (const auto& worker : m_platform->workers) {
      worker->faults.late = 0.0;
      worker->faults.lost = 0.0;
    }
  });
}

// ---- Operators and callers

void Faults::ChangeConfig() {
  Note("configuration changes");
  m_platform->WriteConfig(static_cast<int>(m_platform->loop.Between(0, 5)));
}

void Faults::Burst() {
  Note("burst");
  for (int i = 0; i < 25; ++i) After(milliseconds(20 * i), [this] { m_callers->Submit(); });
}

void Faults::CancelMany() {
  Note("a third of the jobs is cancelled");
  m_callers->CancelSome(0.33);
}

}  // namespace citronsill::soak
