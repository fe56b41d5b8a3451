/// One instance of a cell: accepts calls of callers, forwards them to the scheduler of the shard,
/// and can become the scheduler itself.
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
  /// @param limits limits on links; null for none.
  /// @returns CODE_INVALID_FIELD or CODE_SETTINGS_INVALID when `LinkService` cannot listen on the
  /// link address.
  static Result<std::unique_ptr<Node>> Create(Runtime& runtime, TimerService& timers,
                                              NodeSettings settings, PlatformServices platform,
                                              ConnectionLimitsPtr limits = nullptr);
  ~Node();

  /// @returns the configuration in force, null when none has been received yet.
  [[nodiscard]] CellConfigPtr Config() const;

  /// @returns whether the configuration in force was the newest one at most `kMaxConfigAge` ago.
  [[nodiscard]] bool IsConfigCurrent() const;

  /// @param handler called with the current configuration, if any, and with each later one.
  void OnConfig(std::function<void(const CellConfig&)> handler);

  /// Calls of callers. `timeout` is the time until the final answer is needed.
  void Submit(schema::JobSpec spec, milliseconds timeout, CallDone done);
  /// @param customer customer of the caller; empty to reach jobs of any customer.
  void Cancel(const std::string& id, const std::string& customer, milliseconds timeout,
              CallDone done);
  void State(const std::string& id, const std::string& customer, milliseconds timeout,
             CallDone done);
  void QueryWaitingJobCount(const std::string& queue, milliseconds timeout, CallDone done);

  /// @returns whether the load balancer should send callers here: the node is not draining, has a
  /// configuration, and could reach the scheduler of each shard within the last `kReadyGrace`.
  [[nodiscard]] bool IsReady() const;

  /// Releases the shards of this instance; calls are still served. @param done called when no shard
  /// is owned and no call is pending.
  void Drain(std::function<void()> done);

  /// Applies the settings that may change while the process runs.
  void Reload(const NodeSettings& settings);

 private:
  struct Impl;
  explicit Node(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
