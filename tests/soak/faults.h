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
  // @param has_stretches whether the schedule includes periods with few faults or none.
  Faults(Platform* platform, Processes* processes, Callers* callers, std::set<std::string> only,
         bool has_stretches, std::uint64_t seed);

  // Starts faults at random times until `end`. Faults in progress at that time end later.
  void PlayUntil(SteadyTime end);
  // Whether the current period has faults of all kinds.
  [[nodiscard]] bool IsTrouble() const { return m_stretch == Stretch::kTrouble; }
  // Ends the faults that are still in progress.
  void Heal();

  [[nodiscard]] std::size_t Played() const { return m_played; }
  // Adds a line to the log.
  void Note(const std::string& what);
  // @returns the log of the run, one line for each event.
  [[nodiscard]] const std::vector<std::string>& Log() const { return m_log; }
  static std::vector<std::string> Names();

 private:
  // How an event counts as a disruption: as an unplanned one, as a planned one, or not at all.
  enum class Nature { kFault, kRestart, kOrdinary };
  // Periods of a run: with events of all kinds, with restarts and ordinary changes, or with
  // ordinary changes only.
  enum class Stretch { kTrouble, kPlanned, kCalm };
  struct Kind {
    const char* name;
    Nature nature;
    void (Faults::*begin)();
  };
  static const std::vector<Kind>& Kinds();

  void Next(SteadyTime end);
  void NextStretch();
  model::Loop& Draw() { return m_has_stretches ? m_schedule : m_platform->loop; }
  [[nodiscard]] bool IsPlayed(const Kind& kind) const;
  void After(milliseconds delay, std::function<void()> action);
  Processes::Instance* AnyInstance();
  Platform::WorkerHost* AnyWorker();
  Platform::Gate& GateOf(const Processes::Instance& instance);
  std::shared_ptr<Relay> AnyRelay(std::string* name);

  void KillOne();
  void KillAll();
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
  void StoreTurnsOneAway();
  void KillWorker();
  void CutWorker();
  void DrainWorker();
  void WorkerFails();
  void LateOrders();
  void ChangeConfig();
  void Burst();
  void CancelMany();

  Platform* m_platform;
  Processes* m_processes;
  Callers* m_callers;
  std::set<std::string> m_only;
  bool m_has_stretches;
  // Random numbers for the schedule alone, so that a seed gives the same faults again. Those of the
  // platform also depend on the order of calls.
  model::Loop m_schedule;
  Stretch m_stretch = Stretch::kTrouble;
  SteadyTime m_stretch_end{};
  Nature m_nature = Nature::kFault;  // Of the event in progress.
  std::size_t m_played = 0;
  std::vector<std::string> m_log;
  SteadyTime m_began;
};

}  // namespace citronsill::soak
