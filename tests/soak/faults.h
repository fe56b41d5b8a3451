// A seeded schedule of faults, in series and overlapping. Each fault ends by itself.
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
  // @param only names of the faults to play; empty for all.
  // @param has_stretches whether stretches with few faults or none are part of the schedule.
  Faults(Platform* platform, Processes* processes, Callers* callers, std::set<std::string> only,
         bool has_stretches, std::uint64_t seed);

  // Begins faults at random moments until `end`; those that last end a little later.
  void PlayUntil(SteadyTime end);
  // Whether faults of all kinds are played now, and not a calmer stretch.
  [[nodiscard]] bool IsTrouble() const { return m_stretch == Stretch::kTrouble; }
  // Ends all that is still wrong.
  void Heal();

  [[nodiscard]] std::size_t Played() const { return m_played; }
  // What was done, one line each.
  // Adds a line to the log.
  void Note(const std::string& what);
  [[nodiscard]] const std::vector<std::string>& Log() const { return m_log; }
  static std::vector<std::string> Names();

 private:
  // Whether what is done is a disruption: ordinary changes are none, and restarts are planned ones.
  enum class Nature { kFault, kRestart, kOrdinary };
  // What is played in a part of the run: everything, planned work, or ordinary changes.
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
  // Its random numbers are those of the schedule alone, so that a seed gives the same faults again;
  // the platform's also depend on the order of calls.
  model::Loop m_schedule;
  Stretch m_stretch = Stretch::kTrouble;
  SteadyTime m_stretch_end{};
  Nature m_nature = Nature::kFault;  // Of what is being done.
  std::size_t m_played = 0;
  std::vector<std::string> m_log;
  SteadyTime m_began;
};

}  // namespace citronsill::soak
