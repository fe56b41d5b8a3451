/// Runs the scheduler of one shard from the claim of the shard until it is lost or released, and
/// connects it to the store, the workers and the other instances.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cell/advice_client.h"
#include "cell/commit.h"
#include "cell/overload.h"
#include "cell/scheduler.h"
#include "cell/settings.h"
#include "citronsill/runtime.h"
#include "citronsill/timer.h"

namespace citronsill {

struct LeaderOptions {
  std::string shard;
  schema::OwnerRow owner;     ///< As written by the claim.
  schema::HeadRow head;       ///< As written by the claim.
  std::uint64_t version = 0;  ///< Version of both rows.
  SteadyTime claim_sent{};    ///< When the claim was sent.
};

struct LeaderHooks {
  /// The shard has another scheduler, or a worker has seen a higher fence.
  std::function<void()> on_lost;
  /// @returns the latest load measurement of this process, for logs.
  std::function<LoopLoad()> loop_load;
  /// @returns incarnations of the instances that the next head row names as supporters.
  std::function<std::vector<std::uint64_t>()> supporters;
  /// @returns the configuration in force, null when there is none yet.
  std::function<CellConfigPtr()> config;
};

/// The scheduler of one shard while this instance owns it.
class Leader {
 public:
  using Reply = std::function<void(schema::CallReply)>;

  /// @param platform like the other references and pointers, must outlive the leader.
  static std::unique_ptr<Leader> Create(Runtime& runtime, TimerService& timers, RowStore* store,
                                        const PlatformServices& platform,
                                        const NodeSettings& settings, LeaderOptions options,
                                        LeaderHooks hooks);
  ~Leader();

  /// Handles a call forwarded by an entry instance: submit, cancel, state or waiting.
  void Handle(const schema::LinkMessage& message, Reply reply);

  /// Adds or removes the link to an instance that can ask the policy service.
  void AddAdviceLink(const LinkPtr& link);
  void RemoveAdviceLink(const LinkPtr& link);

  /// @returns the request to send to other instances while the store does not answer; else none.
  [[nodiscard]] std::optional<schema::SupportRequest> MakeSupportRequest() const;
  /// An instance has granted a request.
  void OnSupport(std::uint64_t incarnation, const schema::SupportGrant& grant);

  /// Releases the shard; `done` is called when the release is in the store. It is not called when
  /// the shard is lost before.
  void Release(std::function<void()> done);

  /// @returns whether it has been the scheduler for at least `kHandOverAfter`, has loaded the
  /// shard, and the store answers.
  [[nodiscard]] bool IsReadyToHandOver() const;

  /// @returns whether it has loaded the shard from the store.
  [[nodiscard]] bool IsLoaded() const;

 private:
  struct Impl;
  explicit Leader(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
