// Simulation of a cell of 350 workers under the load of a grown site, in model time, with instances
// that have a share of a core. Checks the guarantees to callers against what the workers do.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <numbers>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell.h"

namespace citronsill::model {

using std::chrono::seconds;

// Parameters of one kind of jobs. The values are those of the site jkanu-grown.
struct JobKind {
  const char* name;
  std::uint32_t priority;
  std::uint32_t attempts;
  double per_s;                  // Submissions per second.
  double work_ms;                // Run time of a task: mean...
  double max_work_ms;            // ...and maximum.
  double steps;                  // Mean number of steps.
  double width;                  // Number of tasks of a step: mean,
  double width_spread;           // spread...
  double max_width;              // ...and maximum.
  double milli;                  // Processors of a task in thousandths of a core: mean...
  double max_milli;              // ...and maximum.
  double memory_mb;              // Memory of a task: mean...
  double max_memory_mb;          // ...and maximum.
  double duration_spread;        // Spread of run times within a step.
  double estimate_error_spread;  // Spread of the error of estimates.
  double gang_share;             // Share of gang jobs.
  double stretch;                // Objective of a job: this many times its longest chain of work...
  std::int64_t objective_offset_ms;  // ...plus this.
  int lasting;                       // Number of long-running jobs.
  std::int64_t every_ms;             // Interval of timed jobs.
  std::int64_t decide_us;            // Policy service: time for an advice request,
  std::int64_t each_us;              // additional time for each worker in it,
  double allowed;                    // share of workers that may run a step.
};

// Run times are limited to 1.5 times their mean. The site has run times of up to seven times the
// mean, which would only make the tests longer.
inline constexpr std::array<JobKind, 3> kJobKinds{{
    {.name = "hull-fairing",
     .priority = 1,
     .attempts = 3,
     .per_s = 3.32,
     .work_ms = 5300,
     .max_work_ms = 8000,
     .steps = 1.2,
     .width = 20,
     .width_spread = 0.8,
     .max_width = 120,
     .milli = 4500,
     .max_milli = 7600,
     .memory_mb = 6300,
     .max_memory_mb = 13000,
     .duration_spread = 0.3,
     .estimate_error_spread = 0.2,
     .gang_share = 1.0,
     .stretch = 2.2,
     .objective_offset_ms = 1000,
     .lasting = 18,
     .every_ms = 4500,
     .decide_us = 702000,
     .each_us = 10140,
     .allowed = 0.3},
    {.name = "lashing-check",
     .priority = 2,
     .attempts = 4,
     .per_s = 8.69,
     .work_ms = 2300,
     .max_work_ms = 3500,
     .steps = 1.5,
     .width = 25,
     .width_spread = 0.8,
     .max_width = 150,
     .milli = 1700,
     .max_milli = 5200,
     .memory_mb = 1800,
     .max_memory_mb = 5300,
     .duration_spread = 0.15,
     .estimate_error_spread = 0.5,
     .gang_share = 0.0,
     .stretch = 4.0,
     .objective_offset_ms = 3000,
     .lasting = 25,
     .every_ms = 3000,
     .decide_us = 130000,
     .each_us = 1820,
     .allowed = 0.45},
    {.name = "cut-list",
     .priority = 0,
     .attempts = 3,
     .per_s = 77.9,
     .work_ms = 850,
     .max_work_ms = 1300,
     .steps = 1.0,
     .width = 3.2,
     .width_spread = 0.8,
     .max_width = 19,
     .milli = 2500,
     .max_milli = 7400,
     .memory_mb = 3600,
     .max_memory_mb = 11000,
     .duration_spread = 0.15,
     .estimate_error_spread = 0.2,
     .gang_share = 0.3,
     .stretch = 1.5,
     .objective_offset_ms = 250,
     .lasting = 0,
     .every_ms = 3000,
     .decide_us = 14300,
     .each_us = 208,
     .allowed = 0.7},
}};

struct GrownOptions {
  // Shares of a core, by instance. The first instance is the first scheduler.
  std::vector<double> shares{0.5, 0.5, 0.5};
  double load = 1.0;  // Factor on the rates of `kJobKinds`.
  // Amplitude of the wave of submissions, which has a period of 13 s, relative to the mean rate.
  double wave_amplitude = 0.55;
  double burst = 1.0;               // Factor on the rate of `burst_kind` for 4 s.
  int burst_kind = 2;               // Index in `kJobKinds`.
  milliseconds burst_at{8000};      // Start of the burst.
  double timed = 0.0;               // Share of timed jobs, with 6 occurrences.
  milliseconds transaction{5};      // Duration of a transaction in the store.
  milliseconds latency{1};          // One-way latency to workers and to the store.
  bool lasting = false;             // Whether long-running jobs are submitted.
  milliseconds submissions{20000};  // Duration of the submissions.
  std::uint64_t seed = 1;
};

// Violations of guarantees to callers, and load of the scheduler.
struct GrownReport {
  std::size_t accepted = 0;
  std::size_t submitted = 0;
  std::size_t given_up = 0;      // Jobs that were refused or not answered five times.
  std::size_t waited = 0;        // Jobs of which no task ran for 3 s although workers were free.
  std::size_t starved = 0;       // Those of them for which the policy service is not the reason.
  std::size_t lasting_away = 0;  // Times that a long-running task was away for too long.
  std::size_t unknown = 0;       // Times that an accepted job was unknown.
  std::size_t unanswered = 0;    // State queries without an answer for 3 s.
  std::size_t late = 0;          // Jobs that ended too late, or never.
  milliseconds max_lag{0};       // Of the scheduler's event loop.
  std::size_t max_waiting_units = 0;
  std::string first;  // Description of the first failure.

  [[nodiscard]] std::string Text() const {
    const auto number = [](std::size_t value) { return std::to_string(value); };
    return number(accepted) + " of " + number(submitted) + " jobs accepted, " + number(given_up) +
           " given up, " + number(waited) + " waited 3 s, " + number(starved) + " starved, " +
           number(late) + " late, " + number(unknown) + " unknown, " + number(lasting_away) +
           " lasting tasks away, " + number(unanswered) + " questions unanswered, longest lag " +
           std::to_string(max_lag.count()) + " ms, at most " + number(max_waiting_units) +
           " waiting units; first: " + (first.empty() ? "none" : first);
  }
};

class GrownCell {
 public:
  static constexpr std::uint32_t kInstances = 43;
  static constexpr int kWorkers = 350;
  static constexpr milliseconds kFinish{14000};  // `finish_s` of the site.
  static constexpr milliseconds kStarved{3000};  // Longest wait of a task that could run.
  // In addition, a gang may have to wait for two advice requests: one finds the allowed workers,
  // and one renews the tickets, whose validity is shorter than the duration of an advice request of
  // the slowest kind.
  static constexpr int kAdviceRequests = 2;
  static constexpr milliseconds kLastingAway{6000};  // Maximum time without a long-running task.
  static constexpr milliseconds kAfterFault{4000};   // No guarantees hold this long after a fault.
  static constexpr milliseconds kCallerPatience{3000};  // `deadline_ms` of the site.
  static constexpr milliseconds kCheckPeriod{500};
  static constexpr int kTries = 5;  // `retries` of the site, plus the first attempt.

  explicit GrownCell(GrownOptions grown_options)
      : options(std::move(grown_options)),
        cell(options.seed, static_cast<int>(options.shares.size()), kWorkers,
             Resources{16000, 32768, 0}) {
    for (std::size_t i = 0; i < options.shares.size(); ++i) {
      cell.instances[i]->processor = std::make_unique<Processor>(cell.loop, options.shares[i]);
    }
    cell.links = kInstances - 1;
    cell.policy = std::make_unique<PolicyService>(cell.loop, kInstances);
    cell.policy->terms = [this](const TaskRef& step) { return m_jobs.at(step.job)->terms; };
    cell.store.keeps_history = false;
    cell.store.faults.latency = options.transaction + 2 * options.latency;
    cell.network.latency = options.latency;
    cell.history.behavior_of = [this](const TaskRef& task) { return BehaviorOf(task); };
    cell.history.on_phase = [this](const TaskRef& task, TaskPhase phase) { OnPhase(task, phase); };
    m_began = cell.loop.Now() + kWarmUp;
    m_guarantees_from = m_began + kAfterFault;
  }

  GrownOptions options;
  Cell cell;
  GrownReport report;

  // Runs the submissions and then the time until every job must have ended.
  void Run() {
    cell.loop.At(m_began, [this] {
      if (options.lasting) SubmitLasting();
      Generate();
    });
    cell.loop.At(m_began, [this] { Check(); });
    cell.loop.RunUntil(End() + kFinish + m_longest_chain + kCheckPeriod);
    // The longest chain is only known after the submissions.
    cell.loop.RunUntil(End() + kFinish + m_longest_chain + kCheckPeriod);
    for (const std::string& violation : cell.history.violations) NoteFirst(violation);
  }

  // Records a fault: no guarantees hold for `kAfterFault`.
  void Fault() { m_guarantees_from = cell.loop.Now() + kAfterFault; }

  // @returns number of workers on which the current scheduler may start tasks.
  std::size_t Attached() {
    Instance* leader = cell.Leader();
    if (leader == nullptr) return 0;
    const auto& workers = leader->scheduler->Workers().Workers();
    return static_cast<std::size_t>(
        std::count_if(workers.begin(), workers.end(),
                      [](const auto& entry) { return entry.second->TakesWork(); }));
  }

  // Runs an action at this time after the first submission.
  void At(milliseconds time, std::function<void()> action) {
    cell.loop.At(m_began + time, std::move(action));
  }

 private:
  struct JobRecord {
    schema::JobSpec spec;
    PolicyTerms terms;
    TaskBehavior behavior;
    double duration_spread = 0.0;
    bool lasting = false;
    bool accepted = false;
    bool late = false;
    int tries = 0;
    SteadyTime starved_since;  // Since when it could run but has no running task; 0 if not.
    bool waited = false;
    bool starved = false;
    milliseconds chain{0};  // Longest chain of work of all occurrences, from the first submission.
    int running = 0;
    // Phases of tasks, by occurrence and step.
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<TaskPhase>> phases;
    std::vector<SteadyTime> away_since;  // When long-running tasks stopped running; 0 if running.
  };

  static constexpr milliseconds kWarmUp{2000};  // Time for the first scheduler to attach workers.
  static constexpr milliseconds kSubmitPeriod{10};  // Time between batches of submissions.
  static constexpr double kWavePeriodS = 13.0;
  static constexpr double kWavePhase = 0.22;
  static constexpr milliseconds kLastingRun{3'600'000};

  [[nodiscard]] SteadyTime End() const { return m_began + options.submissions; }

  void NoteFirst(const std::string& what) {
    if (!report.first.empty()) return;
    const auto at = std::chrono::duration_cast<milliseconds>(cell.loop.Now() - m_began);
    report.first = what + " at " + std::to_string(at.count()) + " ms";
  }

  // ---- Load

  // @returns a random number from an approximately log-normal distribution, limited to `most`.
  double Spread(double mean, double spread, double most) {
    double normal = -6.0;
    for (int i = 0; i < 12; ++i) normal += static_cast<double>(cell.loop.Between(0, 9999)) / 1e4;
    const double sigma = std::sqrt(std::log(1.0 + spread * spread));
    return std::min(most, mean * std::exp(sigma * normal - sigma * sigma / 2.0));
  }

  [[nodiscard]] double RateFactor() const {
    const double t = std::chrono::duration<double>(cell.loop.Now() - m_began).count();
    return 1.0 + options.wave_amplitude *
                     std::sin(2.0 * std::numbers::pi * (t / kWavePeriodS + kWavePhase));
  }

  [[nodiscard]] bool IsBurst(int kind) const {
    const auto at = cell.loop.Now() - m_began;
    return kind == options.burst_kind && at >= options.burst_at &&
           at < options.burst_at + seconds(4);
  }

  void Generate() {
    if (cell.loop.Now() >= End()) return;
    for (int kind = 0; kind < static_cast<int>(kJobKinds.size()); ++kind) {
      const double rate = kJobKinds[kind].per_s * options.load * RateFactor() *
                          (IsBurst(kind) ? options.burst : 1.0);
      m_submissions_due[kind] += rate * std::chrono::duration<double>(kSubmitPeriod).count();
      for (; m_submissions_due[kind] >= 1.0; m_submissions_due[kind] -= 1.0) {
        Submit(MakeRecord(kJobKinds[kind], false, cell.loop.Chance(options.timed)));
      }
    }
    cell.loop.After(kSubmitPeriod, [this] { Generate(); });
  }

  void SubmitLasting() {
    for (const JobKind& kind : kJobKinds) {
      for (int i = 0; i < kind.lasting; ++i) Submit(MakeRecord(kind, true, false));
    }
  }

  JobRecord* MakeRecord(const JobKind& kind, bool lasting, bool timed) {
    auto record = std::make_unique<JobRecord>();
    schema::JobSpec& spec = record->spec;
    spec.set_id(std::string(lasting ? "lasting-" : "") + kind.name + "-" +
                std::to_string(m_jobs.size()));
    spec.set_payload(std::string(kind.priority == 0 ? 250 : 600, 'x'));
    schema::QueueSpec* queue = spec.mutable_queue();
    queue->set_name(kind.name);
    queue->set_service("pool");
    queue->set_priority(kind.priority);
    queue->set_max_attempts(kind.attempts);
    queue->set_stretch(kind.stretch);
    queue->set_target_ms(kind.objective_offset_ms);
    queue->mutable_advice()->set_decide_us(kind.decide_us);
    queue->mutable_advice()->set_each_us(kind.each_us);
    queue->mutable_advice()->set_valid_ms(1500);
    record->terms = {true, milliseconds(kind.decide_us / 1000),
                     std::chrono::microseconds(kind.each_us), milliseconds(1500), kind.allowed};
    record->lasting = lasting;
    record->duration_spread = kind.duration_spread;
    const bool is_gang = !lasting && cell.loop.Chance(kind.gang_share);
    const double work = std::max(100.0, Spread(kind.work_ms, 0.5, kind.max_work_ms));
    record->behavior.duration =
        lasting ? kLastingRun : milliseconds(static_cast<std::int64_t>(work));
    record->behavior.size = {
        static_cast<std::int64_t>(std::max(100.0, Spread(kind.milli, 0.4, kind.max_milli))),
        static_cast<std::int64_t>(std::max(100.0, Spread(kind.memory_mb, 0.5, kind.max_memory_mb))),
        0};
    record->behavior.gang = is_gang;
    const int steps = lasting ? 1 : 1 + (cell.loop.Chance(kind.steps - 1.0) ? 1 : 0);
    const double max_width = lasting ? 4.0 : kind.max_width;
    for (int number = 0; number < steps; ++number) {
      schema::StepSpec* step = spec.add_steps();
      step->set_task_count(static_cast<std::uint32_t>(
          std::max(1.0, Spread(kind.width, kind.width_spread, max_width))));
      step->mutable_size()->set_processors_milli(record->behavior.size.processors_milli);
      step->mutable_size()->set_memory_mb(record->behavior.size.memory_mb);
      step->set_estimate_ms(
          static_cast<std::int64_t>(Spread(work, kind.estimate_error_spread, 10.0 * work)));
      step->set_gang(is_gang);
      step->set_long_running(lasting);
      if (number > 0) step->add_after(static_cast<std::uint32_t>(number - 1));
    }
    if (lasting) record->away_since.resize(spec.steps(0).task_count());
    record->chain = record->behavior.duration * 2 * steps;
    if (timed) {
      spec.set_occurrences(6);
      spec.set_first_start_unix_ms(UnixMs() + 1000);
      spec.set_interval_ms(kind.every_ms);
      record->chain += milliseconds(1000 + 5 * kind.every_ms);
    }
    if (!lasting) m_longest_chain = std::max(m_longest_chain, record->chain);
    ++report.submitted;
    JobRecord* raw = record.get();
    m_jobs[spec.id()] = std::move(record);
    return raw;
  }

  [[nodiscard]] std::int64_t UnixMs() const {
    return std::chrono::duration_cast<milliseconds>(cell.loop.Now().time_since_epoch()).count();
  }

  // Submits a job until it is accepted or has been tried `kTries` times.
  void Submit(JobRecord* job) {
    if (job->accepted) return;
    cell.history.submitted.insert(job->spec.id());
    if (job->tries >= kTries) {
      ++report.given_up;
      return;
    }
    Instance* leader = cell.Leader();
    if (leader == nullptr) return RetrySubmit(job, milliseconds(300), job->tries);
    ++job->tries;
    leader->Deliver(leader->epoch, [this, leader, job] {
      leader->Charge(leader->costs.submission);
      leader->scheduler->Submit(job->spec, milliseconds(0),
                                [this, job, tries = job->tries](const auto& result) {
                                  if (!result) return RetrySubmit(job, milliseconds(1000), tries);
                                  if (!job->accepted) ++report.accepted;
                                  job->accepted = true;
                                });
    });
    RetrySubmit(job, kCallerPatience, job->tries);
  }

  // @param tries number of attempts so far. Does nothing if there was another attempt meanwhile.
  void RetrySubmit(JobRecord* job, milliseconds delay, int tries) {
    cell.loop.After(delay, [this, job, tries] {
      if (job->tries == tries) Submit(job);
    });
  }

  // ---- Behavior of tasks

  TaskBehavior BehaviorOf(const TaskRef& task) {
    const JobRecord& job = *m_jobs.at(task.job);
    TaskBehavior behavior = job.behavior;
    if (job.lasting || behavior.gang) return behavior;
    const std::uint64_t hash =
        StableHash(task.job + std::to_string(task.step) + "/" + std::to_string(task.index));
    const double factor =
        1.0 + job.duration_spread * (static_cast<double>(hash % 2001) / 1000.0 - 1.0);
    behavior.duration = milliseconds(
        static_cast<std::int64_t>(static_cast<double>(behavior.duration.count()) * factor));
    return behavior;
  }

  std::vector<TaskPhase>& PhasesOf(JobRecord* job, std::uint32_t occurrence, std::uint32_t step) {
    std::vector<TaskPhase>& phases = job->phases[{occurrence, step}];
    if (phases.empty()) {
      phases.resize(job->spec.steps(static_cast<int>(step)).task_count(), TaskPhase::kNotRunning);
    }
    return phases;
  }

  void OnPhase(const TaskRef& task, TaskPhase phase) {
    JobRecord* job = m_jobs.at(task.job).get();
    std::vector<TaskPhase>& phases = PhasesOf(job, task.occurrence, task.step);
    TaskPhase& known = phases[task.index];
    if (known == TaskPhase::kAcknowledged) return;
    job->running += (phase == TaskPhase::kRunning ? 1 : 0) - (known == TaskPhase::kRunning ? 1 : 0);
    known = phase;
    if (phase == TaskPhase::kRunning) job->starved_since = {};
    if (job->lasting) {
      job->away_since[task.index] = phase == TaskPhase::kRunning ? SteadyTime{} : cell.loop.Now();
    }
    // The members of a gang end together: one acknowledged end counts for all of them.
    if (phase == TaskPhase::kAcknowledged && job->behavior.gang) {
      job->running -=
          static_cast<int>(std::count(phases.begin(), phases.end(), TaskPhase::kRunning));
      std::fill(phases.begin(), phases.end(), TaskPhase::kAcknowledged);
    }
  }

  static bool IsOver(const std::vector<TaskPhase>& phases) {
    return std::all_of(phases.begin(), phases.end(),
                       [](TaskPhase phase) { return phase == TaskPhase::kAcknowledged; });
  }

  // @returns occurrence and step of a task that is ready to run but does not, none if there is
  // none.
  std::optional<std::pair<std::uint32_t, std::uint32_t>> FindWaitingStep(JobRecord* job) {
    const std::uint32_t occurrences = std::max(1U, job->spec.occurrences());
    for (std::uint32_t occurrence = 0; occurrence < occurrences; ++occurrence) {
      const std::int64_t due = job->spec.first_start_unix_ms() +
                               job->spec.interval_ms() * static_cast<std::int64_t>(occurrence);
      if (job->spec.occurrences() > 0 && UnixMs() < due) break;
      for (int number = 0; number < job->spec.steps_size(); ++number) {
        const auto step = static_cast<std::uint32_t>(number);
        const std::vector<TaskPhase>& phases = PhasesOf(job, occurrence, step);
        if (std::count(phases.begin(), phases.end(), TaskPhase::kNotRunning) > 0) {
          return std::pair(occurrence, step);
        }
        if (!IsOver(phases)) break;  // Later steps have to wait for this one.
      }
    }
    return std::nullopt;
  }

  // @returns whether twice the tasks of a step fit on the workers that may run them.
  bool HasRoomTwice(const JobRecord& job, std::uint32_t step) {
    const std::uint32_t tasks =
        job.behavior.gang ? job.spec.steps(static_cast<int>(step)).task_count() : 1;
    std::int64_t fitting_tasks = 0;
    for (const auto& [id, free] : m_free) {
      const std::int64_t count = std::min(
          free.processors_milli / std::max<std::int64_t>(1, job.behavior.size.processors_milli),
          free.memory_mb / std::max<std::int64_t>(1, job.behavior.size.memory_mb));
      if (count <= 0 || !IsAllowed(job.terms, TaskRef{job.spec.id(), 0, step, 0}, id)) continue;
      fitting_tasks += count;
      if (fitting_tasks >= 2 * static_cast<std::int64_t>(tasks)) return true;
    }
    return false;
  }

  // ---- Checks

  void Check() {
    const SteadyTime now = cell.loop.Now();
    const bool guarantees_hold = now >= m_guarantees_from;
    UpdateFreeResources();
    Instance* leader = cell.Leader();
    if (leader != nullptr) {
      report.max_waiting_units =
          std::max(report.max_waiting_units, leader->scheduler->LastLoad().waiting_units);
      report.max_lag = std::max(report.max_lag, leader->processor->TakeLag());
      QueryState(leader);
    }
    for (auto& [id, job] : m_jobs) {
      if (!job->accepted || job->late) continue;
      const auto state = leader != nullptr ? leader->scheduler->State(id) : std::nullopt;
      if (leader != nullptr && !state) {
        ++report.unknown;
        NoteFirst("unknown job " + id);
      }
      if (job->lasting) {
        CheckLasting(job.get(), guarantees_hold);
      } else if (state == schema::JOB_STATE_SUCCEEDED) {
        continue;
      } else if (now > End() + kFinish + job->chain) {
        job->late = true;
        ++report.late;
        NoteFirst("job " + id + " has not ended");
      }
      CheckStarved(job.get(), guarantees_hold);
    }
    cell.loop.After(kCheckPeriod, [this] { Check(); });
  }

  void UpdateFreeResources() {
    m_free.clear();
    Resources all;
    Resources free;
    for (const auto& [id, node] : cell.nodes) {
      if (node.process->dead) continue;
      m_free.emplace_back(id, node.process->Free());
      all += kCapacity;
      free += m_free.back().second;
    }
    m_is_half_free =
        2 * free.processors_milli > all.processors_milli && 2 * free.memory_mb > all.memory_mb;
  }

  // @returns how long the policy service takes for an advice request with the maximum number of
  // workers.
  static milliseconds AdviceRequestTime(const PolicyTerms& terms) {
    constexpr int kMaxWorkersPerRequest = 100;
    return terms.decide +
           std::chrono::duration_cast<milliseconds>(terms.each * kMaxWorkersPerRequest);
  }

  void CheckStarved(JobRecord* job, bool guarantees_hold) {
    const SteadyTime now = cell.loop.Now();
    const auto waiting = guarantees_hold && m_is_half_free && job->running == 0
                             ? FindWaitingStep(job)
                             : std::nullopt;
    if (!waiting || !HasRoomTwice(*job, waiting->second)) {
      job->starved_since = {};
      return;
    }
    if (job->starved_since == SteadyTime{}) job->starved_since = now;
    if (now < job->starved_since + kStarved || job->starved) return;
    if (!std::exchange(job->waited, true)) ++report.waited;
    if (now < job->starved_since + kStarved + kAdviceRequests * AdviceRequestTime(job->terms))
      return;
    job->starved = true;
    ++report.starved;
    NoteFirst("starved job " + job->spec.id() + " step " + std::to_string(waiting->second));
  }

  void CheckLasting(JobRecord* job, bool guarantees_hold) {
    if (!guarantees_hold) return;
    for (std::size_t index = 0; index < job->away_since.size(); ++index) {
      const SteadyTime since = job->away_since[index];
      if (since == SteadyTime{} || cell.loop.Now() < since + kLastingAway) continue;
      job->away_since[index] = SteadyTime{};
      ++report.lasting_away;
      NoteFirst("lasting task away: " + job->spec.id() + "." + std::to_string(index));
    }
  }

  // Simulates a caller that queries the state of a job.
  void QueryState(Instance* leader) {
    auto answered = std::make_shared<bool>(false);
    leader->Deliver(leader->epoch, [leader, answered] {
      leader->Charge(leader->costs.link_ping);
      *answered = true;
    });
    cell.loop.After(kCallerPatience, [this, answered] {
      if (*answered || cell.loop.Now() < m_guarantees_from + kCallerPatience) return;
      ++report.unanswered;
      NoteFirst("a question for a state was not answered");
    });
  }

  static constexpr Resources kCapacity{16000, 32768, 0};

  SteadyTime m_began;
  SteadyTime m_guarantees_from;  // Guarantees hold from this time on.
  std::map<std::string, std::unique_ptr<JobRecord>> m_jobs;
  // Number of submissions due, by kind; fractional.
  std::array<double, kJobKinds.size()> m_submissions_due{};
  milliseconds m_longest_chain{0};
  std::vector<std::pair<std::string, Resources>> m_free;  // Free resources, by worker.
  bool m_is_half_free = false;                            // More than half of the cell is free.
};

}  // namespace citronsill::model
