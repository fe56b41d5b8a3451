/// One instance of a cell: takes callers' calls, passes them to the scheduler, and is ready to be
/// the scheduler itself.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cell/settings.h"
#include "cell/shard.h"
#include "citronsill/runtime.h"
#include "citronsill/timer.h"

namespace citronsill {

class Node {
 public:
  static Result<std::unique_ptr<Node>> Create(Runtime& runtime, TimerService& timers,
                                              NodeSettings settings, PlatformServices platform);
  ~Node();

  /// @returns the configuration in force, null when none is known yet.
  [[nodiscard]] CellConfigPtr Config() const;

  /// @param handler is called with each configuration that comes into force, and with the present
  /// one.
  void OnConfig(std::function<void(const CellConfig&)> handler);

  /// Calls of callers. `timeout` is the time that the caller waits.
  void Submit(schema::JobSpec spec, milliseconds timeout, CallDone done);
  void Cancel(const std::string& id, milliseconds timeout, CallDone done);
  void State(const std::string& id, milliseconds timeout, CallDone done);
  void Waiting(const std::string& queue, milliseconds timeout, CallDone done);

  /// @returns whether the load balancer should send callers here.
  [[nodiscard]] bool IsReady() const;

  /// Gives its duties away; calls are still served. @param done is called when nothing waits.
  void Drain(std::function<void()> done);

  /// Takes over settings that may change while the process runs.
  void Reload(const NodeSettings& settings);

 private:
  struct Impl;
  explicit Node(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
