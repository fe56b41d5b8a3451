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
  Faults(Platform* platform, Processes* processes, Callers* callers, std::set<std::string> only);

  // Begins faults at random moments until `end`; those that last end a little later.
  void PlayUntil(SteadyTime end);
  // Ends all that is still wrong.
  void Heal();

  // What was done, one line each.
  [[nodiscard]] const std::vector<std::string>& Log() const { return m_log; }
  static std::vector<std::string> Names();

 private:
  struct Kind {
    const char* name;
    void (Faults::*begin)();
  };
  static const std::vector<Kind>& Kinds();

  void Next(SteadyTime end);
  void Note(const std::string& what);
  void After(milliseconds delay, std::function<void()> action);
  Processes::Instance* AnyInstance();
  Platform::WorkerHost* AnyWorker();
  Platform::Gate& GateOf(const Processes::Instance& instance);
  std::shared_ptr<Relay> AnyRelay(std::string* name);

  void KillOne();
  void KillAll();
  void Freeze();
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
  std::vector<std::string> m_log;
  SteadyTime m_began;
};

}  // namespace citronsill::soak
