/// One shard as every instance sees it: who its scheduler is, the way to it, and the calls of
/// callers that wait for it. Takes the shard over when its scheduler is gone.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cell/leader.h"
#include "cell/link.h"

namespace citronsill {

/// What an entry knew of the way to the scheduler when it gave a call up.
struct EntryBasis {
  std::string owner;  ///< Instance whose scheduler the shard has, as far as known.
  std::uint64_t term = 0;
  bool is_owner = false;   ///< This instance.
  bool is_loaded = false;  ///< Its scheduler has read the shard; only if it is this instance.
  bool is_linked = false;
  bool was_sent = false;  ///< A scheduler had got the call.
};

/// How a call of a caller ended.
struct CallOutcome {
  schema::Code code{};  ///< CODE_OK, or:
                        ///< CODE_NO_OWNER: this call did nothing, because no scheduler was reached;
                        ///< CODE_OUTCOME_UNKNOWN: it may have been done or may still be;
                        ///< any other: the scheduler refused it, and knows of no earlier call.
  std::string message;
  schema::JobState state{};
  std::uint64_t waiting = 0;
  milliseconds retry_after{0};  ///< 0 when the caller is told nothing.
  /// Who decided on an outcome that is not CODE_OK; neither when there is nothing to say of it.
  std::optional<schema::AnswerBasis> scheduler_basis{};
  std::optional<EntryBasis> entry_basis{};
};
using CallDone = std::function<void(CallOutcome)>;

struct ShardDeps {
  Runtime* runtime = nullptr;
  TimerService* timers = nullptr;
  RowStore* store = nullptr;  ///< With relaying.
  const PlatformServices* platform = nullptr;
  const NodeSettings* settings = nullptr;
  schema::OwnerRow self;
  std::function<LinkPtr(const std::string& address)> connect;
  std::function<void(const std::function<void(const LinkPtr&)>&)> for_each_link;
  /// @returns whether this instance may become a scheduler.
  std::function<bool()> may_claim;
  /// What was last measured of this process.
  std::function<LoopLoad()> loop_load;
};

class Shard {
 public:
  static std::unique_ptr<Shard> Create(std::string name, ShardDeps deps);
  ~Shard();

  [[nodiscard]] const std::string& Name() const;

  /// Passes a call on to the scheduler, now or as soon as there is one.
  /// @param timeout after which the caller gets its final answer.
  void Call(schema::LinkMessage message, milliseconds timeout, CallDone done);

  /// A call of another instance. @returns false when this instance is not the scheduler.
  bool Serve(const LinkPtr& link, const schema::LinkMessage& message);

  void OnLinkOpen(const LinkPtr& link);
  void OnLinkClosed(const LinkPtr& link, const std::string& reason);
  void OnPing(const LinkPtr& link, const schema::Ping& ping);

  [[nodiscard]] bool IsLeader() const;
  /// @returns whether the scheduler can be reached, or could within the last `grace`.
  [[nodiscard]] bool IsServed(milliseconds grace) const;
  /// @returns calls that have no answer yet.
  [[nodiscard]] std::size_t PendingCalls() const;

  /// Gives the shard away when this instance is its scheduler and keeps up with the store; it may
  /// claim it again. The first of the heirs takes it.
  void HandOver();

  /// Gives the shard away when this instance is its scheduler, and claims none any more.
  /// @param answers_until when every call has to have its final answer.
  void Release(SteadyTime answers_until);

 private:
  struct Impl;
  explicit Shard(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
