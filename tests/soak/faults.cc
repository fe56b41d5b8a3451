#include "faults.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

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
// Shares of a processor in thousandths, of an instance that is slow.
constexpr std::int64_t kLeastShare = 50;
constexpr std::int64_t kMostShare = 250;
// Calm has to last over 7 s before the checks of waiting tasks begin, which take another 6 s.
constexpr std::int64_t kLeastCalmMs = 10000;
constexpr std::int64_t kMostCalmMs = 15000;
constexpr std::int64_t kLeastTroubleMs = 5000;
constexpr std::int64_t kMostTroubleMs = 10000;
constexpr milliseconds kHealthyLatency{4};
constexpr milliseconds kSlowLatency{250};

}  // namespace

const std::vector<Faults::Kind>& Faults::Kinds() {
  static const std::vector<Kind> kinds{
      {"kill", Nature::kFault, &Faults::KillOne},
      {"kill_all", Nature::kFault, &Faults::KillAll},
      {"freeze", Nature::kFault, &Faults::Freeze},
      {"terminate", Nature::kRestart, &Faults::Terminate},
      {"rolling_restart", Nature::kRestart, &Faults::RollingRestart},
      {"reload", Nature::kOrdinary, &Faults::Reload},
      {"one_way", Nature::kFault, &Faults::LoseOneWay},
      {"silence", Nature::kFault, &Faults::Silence},
      {"reset", Nature::kFault, &Faults::Reset},
      {"delay", Nature::kFault, &Faults::Delay},
      {"refuse", Nature::kFault, &Faults::Refuse},
      {"store_down", Nature::kFault, &Faults::StoreDown},
      {"store_slow", Nature::kFault, &Faults::StoreSlow},
      {"store_lost", Nature::kFault, &Faults::StoreLosesAnswers},
      {"store_late", Nature::kFault, &Faults::StoreWritesLate},
      {"store_forgets", Nature::kFault, &Faults::StoreForgets},
      {"store_turns_away", Nature::kFault, &Faults::StoreTurnsOneAway},
      {"worker_kill", Nature::kFault, &Faults::KillWorker},
      {"worker_cut", Nature::kFault, &Faults::CutWorker},
      {"worker_drain", Nature::kFault, &Faults::DrainWorker},
      {"worker_fails", Nature::kFault, &Faults::WorkerFails},
      {"late_orders", Nature::kFault, &Faults::LateOrders},
      {"config", Nature::kOrdinary, &Faults::ChangeConfig},
      {"burst", Nature::kOrdinary, &Faults::Burst},
      {"cancel", Nature::kOrdinary, &Faults::CancelMany},
      {"slow", Nature::kFault, &Faults::Slow}};
  return kinds;
}

std::vector<std::string> Faults::Names() {
  std::vector<std::string> names;
  for (const Kind& kind : Kinds()) names.emplace_back(kind.name);
  return names;
}

Faults::Faults(Platform* platform, Processes* processes, Callers* callers,
               std::set<std::string> only, bool has_stretches, std::uint64_t seed)
    : m_platform(platform),
      m_processes(processes),
      m_callers(callers),
      m_only(std::move(only)),
      m_has_stretches(has_stretches),
      m_schedule(seed),
      m_began(platform->loop.Now()) {}

void Faults::PlayUntil(SteadyTime end) {
  const std::int64_t stretch = IsTrouble() ? 1 : 2;  // Fewer things happen in calmer stretches.
  m_platform->loop.After(stretch * Draw().Delay(kLeastGapMs, kMostGapMs),
                         [this, end] { Next(end); });
}

void Faults::NextStretch() {
  model::Loop& loop = m_platform->loop;
  if (!m_has_stretches || loop.Now() < m_stretch_end) return;
  const char* name = "";
  if (m_stretch_end == SteadyTime{} || m_stretch == Stretch::kCalm) {
    m_stretch = Draw().Chance(0.7) ? Stretch::kTrouble : Stretch::kPlanned;
    m_stretch_end = loop.Now() + Draw().Delay(kLeastTroubleMs, kMostTroubleMs);
    name = IsTrouble() ? "trouble" : "planned work";
  } else {
    m_stretch = Stretch::kCalm;
    m_stretch_end =
        std::max(loop.Now(), m_platform->calm.disturbed) + Draw().Delay(kLeastCalmMs, kMostCalmMs);
    name = "calm";
  }
  Note(fmt::format("stretch of {}", name));
}

bool Faults::IsPlayed(const Kind& kind) const {
  if (!m_only.empty() && !m_only.contains(kind.name)) return false;
  // Schedules without stretches are those of seeds that failed before there were slow instances.
  if (!m_has_stretches && m_only.empty() && kind.begin == &Faults::Slow) return false;
  return IsTrouble() || kind.nature == Nature::kOrdinary ||
         (m_stretch == Stretch::kPlanned && kind.nature == Nature::kRestart);
}

void Faults::Next(SteadyTime end) {
  if (m_platform->loop.Now() >= end) return;
  NextStretch();
  std::vector<Kind> kinds;
  std::copy_if(Kinds().begin(), Kinds().end(), std::back_inserter(kinds),
               [this](const Kind& kind) { return IsPlayed(kind); });
  if (!kinds.empty()) {
    const auto drawn = Draw().Between(0, static_cast<std::int64_t>(kinds.size()) - 1);
    const Kind& kind = kinds[static_cast<std::size_t>(drawn)];
    m_nature = kind.nature;
    if (m_nature != Nature::kOrdinary) {
      m_platform->Disturb(m_platform->loop.Now(), m_nature == Nature::kRestart);
    }
    (this->*kind.begin)();
    ++m_played;
  }
  PlayUntil(end);
}

void Faults::Heal() {
  Note("heal");
  m_stretch = Stretch::kCalm;
  for (const auto& instance : m_processes->instances) {
    m_processes->Thaw(instance.get());
    m_processes->Slow(instance.get(), 1.0);
    GateOf(*instance).manner = StoreManner::kServes;
  }
  m_platform->store.faults = {};
  m_platform->store.faults.latency = kHealthyLatency;
  for (const auto& worker : m_platform->workers) {
    worker->faults = {};
    if (worker->incarnation->dead) m_platform->StartWorker(worker.get());
  }
}

void Faults::Note(const std::string& what) {
  const auto at = std::chrono::duration_cast<milliseconds>(m_platform->loop.Now() - m_began);
  m_log.push_back(fmt::format("{:6} ms {}", at.count(), what));
}

void Faults::After(milliseconds delay, std::function<void()> action) {
  const Nature nature = m_nature;
  if (nature != Nature::kOrdinary) {
    m_platform->Disturb(m_platform->loop.Now() + delay, nature == Nature::kRestart);
  }
  m_platform->loop.After(delay, [this, nature, action = std::move(action)] {
    m_nature = nature;
    action();
  });
}

// The scheduler half of the time: its faults matter most.
Processes::Instance* Faults::AnyInstance() {
  Processes::Instance* scheduler = m_processes->Scheduler();
  if (scheduler != nullptr && Draw().Chance(0.5)) return scheduler;
  const auto last = static_cast<std::int64_t>(m_processes->instances.size()) - 1;
  return m_processes->instances[static_cast<std::size_t>(Draw().Between(0, last))].get();
}

Platform::WorkerHost* Faults::AnyWorker() {
  const auto last = static_cast<std::int64_t>(m_platform->workers.size()) - 1;
  return m_platform->workers[static_cast<std::size_t>(Draw().Between(0, last))].get();
}

Platform::Gate& Faults::GateOf(const Processes::Instance& instance) {
  return *m_platform->gates[static_cast<std::size_t>(instance.number)];
}

// A path of an instance to callers, other instances, the store or the policy service, or of all of
// them to a worker.
std::shared_ptr<Relay> Faults::AnyRelay(std::string* name) {
  Processes::Instance* instance = AnyInstance();
  const std::string of = fmt::format("n-{}", instance->number);
  switch (Draw().Between(0, 4)) {
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
  m_processes->Kill(instance, Draw().Delay(100, kMostDownMs));
}

void Faults::KillAll() {
  Note("kill all instances");
  for (const auto& instance : m_processes->instances) {
    m_processes->Kill(instance.get(), Draw().Delay(300, kMostDownMs));
  }
}

void Faults::Freeze() {
  Processes::Instance* instance = AnyInstance();
  const milliseconds time = Draw().Delay(kLeastMs, kMostMs);
  Note(fmt::format("freeze n-{} for {} ms", instance->number, time.count()));
  m_processes->Freeze(instance);
  After(time, [this, instance] { m_processes->Thaw(instance); });
}

// Its event loop lags as on a machine that is overloaded.
void Faults::Slow() {
  Processes::Instance* instance = AnyInstance();
  const double share = static_cast<double>(Draw().Between(kLeastShare, kMostShare)) / 1000.0;
  const milliseconds time = Draw().Delay(kLeastMs, kMostMs);
  Note(fmt::format("n-{} has {:.0f}% of its processor for {} ms", instance->number, 100 * share,
                   time.count()));
  m_processes->Slow(instance, share);
  After(time, [this, instance] { m_processes->Slow(instance, 1.0); });
}

void Faults::Terminate() {
  Processes::Instance* instance = AnyInstance();
  Note(fmt::format("terminate n-{}", instance->number));
  m_processes->Terminate(instance, Draw().Delay(0, kMostDownMs));
}

void Faults::RollingRestart() {
  Note("rolling restart");
  milliseconds at{0};
  for (const auto& instance : m_processes->instances) {
    After(at, [this, raw = instance.get()] { m_processes->Terminate(raw, milliseconds(0)); });
    at += Draw().Delay(800, 2000);
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
  const Loss loss = losses[Draw().Between(0, 2)];
  const milliseconds time = Draw().Delay(kLeastMs, kMostMs);
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
  const milliseconds delay = Draw().Delay(20, 400);
  Note(fmt::format("delay by {} ms: {}", delay.count(), name));
  relay->SetDelay(delay);
  After(Draw().Delay(kLeastMs, kMostMs), [relay] { relay->SetDelay(milliseconds(0)); });
}

void Faults::Refuse() {
  std::string name;
  const std::shared_ptr<Relay> relay = AnyRelay(&name);
  Note("refuse: " + name);
  relay->SetRefusing(true);
  relay->Reset();
  After(Draw().Delay(kLeastMs, kMostMs), [relay] { relay->SetRefusing(false); });
}

// ---- The store

void Faults::StoreDown() {
  Note("store down");
  m_platform->store.faults.down = true;
  After(Draw().Delay(kLeastMs, kMostMs), [this] { m_platform->store.faults.down = false; });
}

void Faults::StoreSlow() {
  Note("store slow");
  m_platform->store.faults.latency = kSlowLatency;
  After(Draw().Delay(kLeastMs, kMostMs),
        [this] { m_platform->store.faults.latency = kHealthyLatency; });
}

void Faults::StoreLosesAnswers() {
  Note("store loses answers");
  m_platform->store.faults.lost = 0.3;
  After(Draw().Delay(kLeastMs, kMostMs), [this] { m_platform->store.faults.lost = 0.0; });
}

void Faults::StoreWritesLate() {
  Note("store writes late");
  m_platform->Disturb(m_platform->loop.Now() + 2 * milliseconds(kMostMs), false);
  m_platform->store.faults.late = 0.2;
  After(Draw().Delay(kLeastMs, kMostMs), [this] { m_platform->store.faults.late = 0.0; });
}

void Faults::StoreForgets() {
  Note("store forgets its history");
  m_platform->store.DropHistory();
}

void Faults::StoreTurnsOneAway() {
  Processes::Instance* instance = AnyInstance();
  const bool is_silent = Draw().Chance(0.5);
  Note(fmt::format("store {} n-{}", is_silent ? "ignores" : "refuses", instance->number));
  Platform::Gate& gate = GateOf(*instance);
  gate.manner = is_silent ? StoreManner::kSilent : StoreManner::kBusy;
  After(Draw().Delay(kLeastMs, kMostMs), [&gate] { gate.manner = StoreManner::kServes; });
}

// ---- Workers

void Faults::KillWorker() {
  Platform::WorkerHost* worker = AnyWorker();
  Note("kill worker " + worker->id);
  m_platform->KillWorker(worker);
  After(Draw().Delay(300, kMostMs), [this, worker] {
    if (worker->incarnation->dead) m_platform->StartWorker(worker);
  });
}

void Faults::CutWorker() {
  Platform::WorkerHost* worker = AnyWorker();
  const std::shared_ptr<Relay> relay = worker->endpoint.relay;
  const bool is_new_incarnation = Draw().Chance(0.3);
  Note(fmt::format("cut worker {}{}", worker->id,
                   is_new_incarnation ? ", reborn behind the cut" : ""));
  relay->SetLoss(Loss::kBoth);
  if (is_new_incarnation) {
    After(milliseconds(400), [this, worker] { m_platform->StartWorker(worker); });
  }
  After(Draw().Delay(kLeastMs, 2 * kMostMs), [relay] {
    relay->SetLoss(Loss::kNone);
    relay->Reset();
  });
}

void Faults::DrainWorker() {
  Platform::WorkerHost* worker = AnyWorker();
  if (worker->incarnation->dead || worker->draining) return;
  Note("drain worker " + worker->id);
  worker->draining = true;
  m_platform->List(*worker, true);
  After(milliseconds(3000), [this, worker, id = worker->id] {
    if (worker->id != id || !worker->draining) return;
    m_platform->KillWorker(worker);
    m_platform->List(*worker, false);
    After(milliseconds(1000), [this, worker] {
      if (worker->incarnation->dead) m_platform->StartWorker(worker);
    });
  });
}

void Faults::WorkerFails() {
  Platform::WorkerHost* worker = AnyWorker();
  Note("worker fails all that it starts: " + worker->id);
  worker->faults.fails_tasks = true;
  After(Draw().Delay(kLeastMs, kMostMs), [worker] { worker->faults.fails_tasks = false; });
}

void Faults::LateOrders() {
  Note("orders carried out late, answers lost");
  // Those of its end are carried out up to 12 s later.
  m_platform->Disturb(m_platform->loop.Now() + 3 * milliseconds(kMostMs), false);
  for (const auto& worker : m_platform->workers) {
    worker->faults.late = 0.06;
    worker->faults.lost = 0.06;
  }
  After(Draw().Delay(kLeastMs, kMostMs), [this] {
    for (const auto& worker : m_platform->workers) {
      worker->faults.late = 0.0;
      worker->faults.lost = 0.0;
    }
  });
}

// ---- Operators and callers

void Faults::ChangeConfig() {
  Note("configuration changes");
  m_platform->WriteConfig(static_cast<int>(Draw().Between(0, 5)));
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
