/// One shard as seen by an instance: its current owner, the link to the owner, and the pending
/// calls of callers. Takes the shard over when its scheduler has failed.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cell/leader.h"
#include "cell/link.h"

namespace citronsill {

/// What the instance that received a call knew about the scheduler when it gave the call up.
struct EntryBasis {
  std::string owner;  ///< Instance that owns the shard, as far as known.
  std::uint64_t term = 0;
  bool is_owner = false;   ///< This instance owns the shard.
  bool is_loaded = false;  ///< This instance owns the shard and has loaded it.
  bool is_linked = false;  ///< The link to the owner is open.
  bool was_sent = false;   ///< The call was sent to a scheduler.
};

/// Result of a caller's call.
struct CallOutcome {
  schema::Code code{};  ///< CODE_OK, or:
                        ///< CODE_NO_OWNER: no effect, because no scheduler was reached;
                        ///< CODE_OUTCOME_UNKNOWN: it may have taken effect or still may;
                        ///< any other: the scheduler refused it and accepted no earlier call.
  std::string message;
  schema::JobState state{};
  std::uint64_t waiting = 0;
  milliseconds retry_after{0};  ///< When the caller should retry; 0 for no hint.
  /// State of the scheduler or of the entry that decided on a failed call; both may be absent.
  std::optional<schema::AnswerBasis> scheduler_basis{};
  std::optional<EntryBasis> entry_basis{};
};
using CallDone = std::function<void(CallOutcome)>;

struct ShardDeps {
  Runtime* runtime = nullptr;
  TimerService* timers = nullptr;
  RowStore* store = nullptr;  ///< Relays calls while the own connection fails.
  const PlatformServices* platform = nullptr;
  const NodeSettings* settings = nullptr;
  schema::OwnerRow self;
  std::function<LinkPtr(const std::string& address)> connect;
  std::function<void(const std::function<void(const LinkPtr&)>&)> for_each_link;
  /// @returns whether this instance may become a scheduler.
  std::function<bool()> may_claim;
  /// @returns the latest load measurement of this process.
  std::function<LoopLoad()> loop_load;
  /// @returns incarnations of the instances that a scheduler here names as supporters.
  std::function<std::vector<std::uint64_t>()> supporters;
  /// @returns the configuration in force, null when there is none yet.
  std::function<CellConfigPtr()> config;
};

/// One shard of the cell as seen by this instance.
class Shard {
 public:
  static std::unique_ptr<Shard> Create(std::string name, ShardDeps deps);
  ~Shard();

  [[nodiscard]] const std::string& Name() const;

  /// Forwards a call to the scheduler, now or as soon as there is one.
  /// @param timeout time after which the caller gets its final answer.
  void Call(schema::LinkMessage message, milliseconds timeout, CallDone done);

  /// Handles a call of another instance. @returns false when this instance is not the scheduler.
  bool Serve(const LinkPtr& link, const schema::LinkMessage& message);

  void OnLinkOpen(const LinkPtr& link);
  void OnLinkClosed(const LinkPtr& link, const std::string& reason);
  void OnPing(const LinkPtr& link, const schema::Ping& ping);
  /// Adds requests for support, or grants of those of the peer, to the next ping.
  void AddToPing(const LinkPtr& link, schema::Ping* ping);

  [[nodiscard]] bool IsLeader() const;
  /// @returns whether the scheduler could be reached within the last `grace`.
  [[nodiscard]] bool IsServed(milliseconds grace) const;
  /// @returns number of calls without an answer.
  [[nodiscard]] std::size_t PendingCalls() const;

  /// Releases the shard to the first successor if this instance has been its scheduler for at least
  /// `kHandOverAfter`, has loaded it, and the store answers. This instance may claim it again after
  /// `kClaimAfterHandOver`.
  void HandOver();

  /// Releases the shard if this instance is its scheduler, and claims it no more.
  /// @param answers_until deadline for the final answers of all calls.
  void Release(SteadyTime answers_until);

 private:
  struct Impl;
  explicit Shard(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
