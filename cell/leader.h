/// Runs the scheduler of one shard: connects its decisions to the store, the workers and the other
/// instances, from the moment the shard was claimed until it is lost or given away.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cell/commit.h"
#include "cell/lanes.h"
#include "cell/overload.h"
#include "cell/scheduler.h"
#include "cell/settings.h"
#include "citronsill/runtime.h"
#include "citronsill/timer.h"

namespace citronsill {

struct LeaderOptions {
  std::string shard;
  schema::OwnerRow owner;  ///< As it was claimed.
  schema::HeadRow head;
  std::uint64_t version = 0;     ///< Of both rows.
  bool earlier_is_gone = false;  ///< The process that owned the shard before has ended.
};

struct LeaderHooks {
  /// The shard has another scheduler, or a worker has seen a higher fence.
  std::function<void()> on_lost;
  /// What was last measured of this process, for logs.
  std::function<LoopLoad()> loop_load;
};

class Leader {
 public:
  using Reply = std::function<void(schema::CallReply)>;

  /// @param platform and the rest outlive the leader.
  static std::unique_ptr<Leader> Create(Runtime& runtime, TimerService& timers, RowStore* store,
                                        const PlatformServices& platform,
                                        const NodeSettings& settings, LeaderOptions options,
                                        LeaderHooks hooks);
  ~Leader();

  /// Carries out a call of a caller's entry: submit, cancel, state or waiting.
  void Handle(const schema::LinkMessage& message, Reply reply);

  /// An instance can ask the policy service, or cannot any more.
  void AddLane(const LinkPtr& link);
  void RemoveLane(const LinkPtr& link);

  /// Gives the shard away; `done` is called when everything is stored.
  void Release(std::function<void()> done);

  /// @returns whether it has loaded the shard for a while and the store answers.
  [[nodiscard]] bool IsCalm() const;

  /// @returns whether it has loaded what the store keeps.
  [[nodiscard]] bool IsLoaded() const;

 private:
  struct Impl;
  explicit Leader(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
