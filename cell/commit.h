/// Group commit of one shard: one transaction at a time, each conditional on the one before it, so
/// that a scheduler that lost its shard can write nothing, and a lost answer does no harm.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cell/store.h"
#include "schema/cell.pb.h"

namespace citronsill {

inline constexpr const char* kHeadTable = "head";
inline constexpr const char* kOwnerTable = "owner";
/// Key of the head and of the owner row in the part of their shard.
inline constexpr const char* kShardRowKey = "shard";

struct CommitHooks {
  Clock now;
  std::function<void(milliseconds delay, std::function<void()>)> after;
  /// Runs an action after the current event.
  std::function<void(std::function<void()>)> post;
  /// @returns the next changes; without any, an empty transaction renews the claim.
  std::function<struct WriteBatch()> take;
  /// The changes up to this position are in the store.
  std::function<void(std::uint64_t position)> on_stored;
  /// Another scheduler has taken over: nothing of this one can be stored any more.
  std::function<void()> on_lost;
};

class CommitLog {
 public:
  /// @param head the head row as this scheduler claimed it.
  /// @param head_version its version.
  CommitLog(std::string shard, schema::HeadRow head, std::uint64_t head_version, RowStore* store,
            CommitHooks hooks);
  ~CommitLog();

  /// There are changes to store. They are taken after the current event, which may go on to make
  /// more of them.
  void Wake();

  /// Writes the head row when nothing was written for a while. To be called periodically.
  void Tick();

  /// @returns how long the store has failed to take the transaction in flight; 0 when it has not.
  [[nodiscard]] milliseconds FailingFor() const;

  /// @returns when the last transaction that is known to be in the store was sent.
  [[nodiscard]] SteadyTime Confirmed() const { return m_confirmed; }

  /// @returns whether the scheduler may still give orders. One that cannot write may have been
  /// replaced; who replaced it relies on its silence from then on.
  [[nodiscard]] bool MayLead() const;

  /// Gives the shard away with the next transaction; then `done` is called. What changes after that
  /// transaction was put together is not stored.
  /// @param on_begin is called when it is put together.
  void Release(schema::OwnerRow owner, std::function<void()> on_begin, std::function<void()> done);

 private:
  void Schedule();
  void Next();
  [[nodiscard]] milliseconds Timeout() const;
  void Send();
  void Probe();
  void OnResult(std::uint64_t sequence, SteadyTime sent, const Result<CommitOutcome>& result);
  void OnProbe(std::uint32_t sending, SteadyTime sent, const Result<RowPage>& page);
  [[nodiscard]] bool IsCurrent(std::uint64_t sequence) const {
    return !m_lost && m_in_flight && sequence == m_head.sequence();
  }
  void OnConflict(const CommitOutcome& outcome);
  void Succeed(std::uint64_t version);
  void NoteFailure(const Error& reason);
  void Lose();

  std::string m_shard;
  schema::HeadRow m_head;
  std::uint64_t m_head_version;
  RowStore* m_store;
  CommitHooks m_hooks;
  RowTransaction m_transaction;  // In flight, or to be sent again.
  std::uint64_t m_position = 0;  // That it stores.
  std::uint32_t m_sendings = 0;  // Of this transaction.
  std::uint32_t m_open = 0;      // Of them, those without an answer.
  std::uint32_t m_failures = 0;  // Of them, those that failed or were not answered in time.
  bool m_probed = false;         // The store answered slowly that it is not there yet.
  bool m_in_flight = false;
  bool m_wanted = false;
  bool m_posted = false;
  bool m_lost = false;
  bool m_release_wanted = false;
  bool m_releasing = false;  // The transaction in flight gives the shard away.
  schema::OwnerRow m_released_owner;
  std::function<void()> m_on_release_begin;
  std::function<void()> m_on_released;
  SteadyTime m_sent{};        // First sending of the transaction.
  milliseconds m_latency{0};  // Moving average of answers.
  SteadyTime m_confirmed{};
  SteadyTime m_last_write{};
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace citronsill
