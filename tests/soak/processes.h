// The instances of a cell as processes, and their relays. Only processes that were started here are
// signalled, by their ids.
#pragma once

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "platform.h"
#include "throttle.h"

namespace citronsill::soak {

struct ProcessOptions {
  std::string program;    // Path of citronsill_node.
  std::string directory;  // For settings and logs.
  int base_port = 0;      // The ports from here on are free, ten an instance.
  double share = 1.0;     // Of its processor that each instance has, all the time.
};

class Processes {
 public:
  struct Instance {
    int number = 0;
    std::shared_ptr<Relay> ingress;
    std::shared_ptr<Relay> link;
    pid_t pid = 0;
    bool frozen = false;
    bool was_frozen = false;   // Since it was told to end.
    bool killed = false;       // By a signal of ours.
    double share = 1.0;        // Of its processor, as long as it is set up.
    double fault_share = 1.0;  // Of its processor, while a fault lasts.
    std::optional<SteadyTime> told_to_end;
    // Times of the model, for checks of what callers see.
    std::optional<SteadyTime> terminated_at;
    std::optional<SteadyTime> reloaded_at;
    SteadyTime start_at{};  // A process that has ended is started again then.
  };

  static Result<std::unique_ptr<Processes>> Create(Runtime& runtime, TimerService& timers,
                                                   Platform* platform, ProcessOptions options);
  ~Processes();

  std::vector<std::unique_ptr<Instance>> instances;

  [[nodiscard]] std::vector<std::string> Entries() const;
  // @returns the instance that the store names as the scheduler, null for none.
  Instance* Scheduler();

  void Kill(Instance* instance, milliseconds down);
  void Terminate(Instance* instance, milliseconds down);
  void Freeze(Instance* instance);
  void Thaw(Instance* instance);
  // Gives an instance a share of its processor from now on, for a fault; 1 ends it.
  void Slow(Instance* instance, double share);
  // Gives an instance a share of its processor as long as the cell runs.
  void SetUpSlow(Instance* instance, double share);
  // Writes the settings anew, with other seeds, and tells the process.
  void Reload(Instance* instance);

 private:
  Processes(Platform* platform, ProcessOptions options);
  Result<void> Begin(Runtime& runtime, TimerService& timers);
  void WriteSettings(const Instance& instance);
  void Start(Instance* instance);
  void Watch(Instance* instance);
  void ApplyShare(const Instance& instance);

  Platform* m_platform;
  ProcessOptions m_options;
  Throttle m_throttle;
};

}  // namespace citronsill::soak
