// A seeded random schedule of faults, consecutive and overlapping. Each fault ends by itself.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "callers.h"
#include "processes.h"

namespace citronsill::soak {

class Faults {
 public:
  // @param only names of the faults to inject; empty for all.
  // @param has_periods whether the schedule includes periods with few faults or none.
  Faults(Platform* platform, Processes* processes, Callers* callers, std::set<std::string> only,
         bool has_periods, std::uint64_t seed);

  // Starts faults at random times until `end`. Faults in progress at that time end later.
  void ScheduleUntil(SteadyTime end);
  // Whether the current period has faults of all kinds.
  [[nodiscard]] bool IsFaultPeriod() const { return m_period == Period::kFaults; }
  // Ends the faults that are still in progress.
  void Heal();

  // @returns the number of events begun, including ordinary changes.
  [[nodiscard]] std::size_t FaultCount() const { return m_fault_count; }
  // Adds a line with the time to the log.
  void LogEvent(const std::string& what);
  // @returns the log of the run, one line for each event.
  [[nodiscard]] const std::vector<std::string>& Log() const { return m_log; }
  // @returns the names of all faults, as in the option `only`.
  static std::vector<std::string> Names();

 private:
  // How an event counts as a disruption: restarts are planned ones, ordinary changes such as a new
  // configuration are none, and all other faults are unplanned ones.
  enum class Disruption { kUnplanned, kPlanned, kNone };
  // Periods of a run: with events of all kinds, with restarts and ordinary changes, or with
  // ordinary changes only.
  enum class Period { kFaults, kMaintenance, kCalm };
  struct Kind {
    const char* name;
    Disruption disruption;
    void (Faults::*begin)();
  };
  static const std::vector<Kind>& Kinds();

  void BeginNext(SteadyTime end);
  // Begins the next period if the current one is over.
  void AdvancePeriod();
  // Random numbers for the schedule: without periods those of the platform, so that earlier seeds
  // keep their faults.
  model::Loop& Random() { return m_has_periods ? m_schedule_random : m_platform->loop; }
  [[nodiscard]] bool IsEnabled(const Kind& kind) const;
  // Runs an action after `delay` and records the disruption in progress as lasting until then.
  void After(milliseconds delay, std::function<void()> action);
  Processes::Instance* RandomInstance();
  Platform::WorkerHost* RandomWorker();
  // Picks a worker that runs a long-running task, if there is one.
  Platform::WorkerHost* RandomLastingWorker();
  Platform::InstanceServices& ServicesOf(const Processes::Instance& instance);
  std::shared_ptr<Relay> RandomRelay(std::string* name);

  void KillOne();
  void KillAll();
  void LoseSchedulerAndWorker();
  void Freeze();
  void Slow();
  void Terminate();
  void RollingRestart();
  void Reload();
  void LoseOneWay();
  void Silence();
  void Reset();
  void Delay();
  void Refuse();
  void StoreDown();
  void StoreSlow();
  void StoreLosesAnswers();
  void StoreWritesLate();
  void StoreForgets();
  void StoreRefusesInstance();
  void StoreSilent();
  void KillWorker();
  void DisconnectWorker();
  void DrainWorker();
  void WorkerFails();
  void LateOrders();
  void HeldRestart();
  void Recut();
  void RestartCutKill();
  // Restarts a worker `restarts` times under its id while calls are held back, then cuts it off.
  // @param cut_end time from now to the end of the cut.
  void RestartAndCut(Platform::WorkerHost* worker, std::int64_t restarts, milliseconds cut_end);
  void ListAfterRestart(Platform::WorkerHost* worker, milliseconds start_at, milliseconds cut_end);
  void LoseScheduler();
  void RestartWhileHeld(Platform::WorkerHost* worker, std::int64_t restarts);
  void ChangeConfig();
  void ChangeCustomers();
  void Burst();
  void CancelMany();

  Platform* m_platform;
  Processes* m_processes;
  Callers* m_callers;
  std::set<std::string> m_only;
  bool m_has_periods;
  // Used only for its random numbers, so that a seed gives the same faults again. Those of the
  // platform also depend on the order of calls.
  model::Loop m_schedule_random;
  Period m_period = Period::kFaults;
  SteadyTime m_period_end{};
  Disruption m_disruption = Disruption::kUnplanned;  // Of the event whose code is running.
  bool m_is_store_silent = false;                    // By `StoreSilent`.
  std::size_t m_series = 0;                          // Of `RestartCutKill`, in progress.
  std::size_t m_fault_count = 0;
  std::vector<std::string> m_log;
  SteadyTime m_start;
};

}  // namespace citronsill::soak
