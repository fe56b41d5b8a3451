/// Group commit of one shard: one transaction at a time, each conditional on the previous one. A
/// scheduler that lost its shard can therefore write nothing, and a transaction whose reply was
/// lost can safely be sent again.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cell/store.h"
#include "schema/cell.pb.h"

namespace citronsill {

inline constexpr const char* kHeadTable = "head";
inline constexpr const char* kOwnerTable = "owner";
/// Key of the head row and of the owner row within the part of their shard.
inline constexpr const char* kShardRowKey = "shard";

struct CommitHooks {
  Clock now;
  std::function<void(milliseconds delay, std::function<void()>)> after;
  /// Runs a function after the current event.
  std::function<void(std::function<void()>)> post;
  /// @returns the next changes to store. Without changes, the transaction only rewrites the head
  /// row, which shows other instances that this scheduler is alive.
  std::function<struct WriteBatch()> take;
  /// Called when the changes up to this position (see `WriteBatch`) are in the store.
  std::function<void(std::uint64_t position)> on_stored;
  /// Called when the store refuses the changes up to this position, and takes a transaction without
  /// them. They have no effect and will not be sent again.
  std::function<void(std::uint64_t position)> on_refused;
  /// Called when another scheduler has taken over: nothing more can be stored.
  std::function<void()> on_lost;
  /// @returns incarnations of the instances that the next transaction names as supporters. May be
  /// empty.
  std::function<std::vector<std::uint64_t>()> supporters = nullptr;
  /// @returns whether all of these instances support this scheduler now.
  std::function<bool(const std::set<std::uint64_t>& incarnations)> is_supported_by = nullptr;
  /// @returns how long the own link takes to carry so many bytes. May be empty.
  std::function<milliseconds(std::size_t bytes)> transfer_time = nullptr;
};

/// @returns when all leases have expired that earlier schedulers of a shard may have granted.
/// @param earlier_may_lead_until until when they may still renew leases.
/// @param lease length of a lease.
SteadyTime EarlierLeasesEnd(SteadyTime now, SteadyTime earlier_may_lead_until, milliseconds lease);

/// Writes the changes of one scheduler to the store in order.
class CommitLog {
 public:
  /// @param head head row as written by the claim of this scheduler.
  /// @param head_version version of the head row.
  /// @param claim_sent when the claim was sent.
  /// @param earlier_may_lead_until until when earlier schedulers may still renew leases; told to
  /// the next one with each transaction.
  CommitLog(std::string shard, schema::HeadRow head, std::uint64_t head_version, RowStore* store,
            SteadyTime claim_sent, SteadyTime earlier_may_lead_until, CommitHooks hooks);
  ~CommitLog();

  /// To be called when there are changes to store. They are taken after the current event, which
  /// may add more of them.
  void Wake();

  /// Writes the head row when nothing was written for `kRenewPeriod`. To be called periodically.
  void Tick();

  /// @returns time since the transaction in flight was first sent if an attempt has failed, or
  /// since the store has refused every transaction; else 0.
  [[nodiscard]] milliseconds FailingFor() const;

  /// @returns for how long the store has answered neither the transaction in flight nor a read, if
  /// an attempt has failed and this is longer than recent transactions took, or since when it has
  /// refused every transaction; else 0.
  [[nodiscard]] milliseconds UnheardFor() const;

  /// @returns the time after which a change that is made now is expected to be in the store: what
  /// the transaction in flight still needs, and the next one.
  [[nodiscard]] milliseconds ExpectedWait() const;

  /// @returns when the last transaction that is known to be in the store was first sent; at first,
  /// the claim.
  [[nodiscard]] SteadyTime Confirmed() const { return m_confirmed; }

  /// @returns whether the scheduler may still send orders to workers. A scheduler that cannot write
  /// may have been replaced. Its successor relies on it sending none after `kLeadWithoutStore`, or
  /// `kLeadUnsupported` if the head row names it as a supporter.
  [[nodiscard]] bool MayLead() const;

  /// @returns incarnations of the instances that have to support the scheduler while it cannot
  /// write.
  [[nodiscard]] const std::set<std::uint64_t>& Supporters() const { return m_supporters; }

  /// Releases the shard with the next transaction, then calls `done`. Changes made after that
  /// transaction was built are not stored. Does nothing once the shard is lost.
  /// @param on_begin called when the transaction is built.
  void Release(schema::OwnerRow owner, std::function<void()> on_begin, std::function<void()> done);

 private:
  void Schedule();
  void StartTransaction();
  void NameSupporters();
  [[nodiscard]] milliseconds AnswerTimeout() const;
  [[nodiscard]] milliseconds SendingTime() const;
  void Send();
  void Probe();
  void OnResult(std::uint64_t sequence, SteadyTime sent, const Result<CommitOutcome>& result);
  void OnProbe(std::uint32_t attempt, SteadyTime sent, const Result<RowPage>& page);
  [[nodiscard]] bool IsCurrent(std::uint64_t sequence) const {
    return !m_lost && m_in_flight && sequence == m_head.sequence();
  }
  void OnConflict(const CommitOutcome& outcome);
  void OnRefused(const Error& reason);
  void RecordLatency(milliseconds took);
  void RecordDuration(milliseconds took);
  void Succeed(std::uint64_t version);
  void NoteFailure(const Error& reason);
  void Lose();

  std::string m_shard;
  schema::HeadRow m_head;
  std::uint64_t m_head_version;
  RowStore* m_store;
  SteadyTime m_earlier_may_lead_until;
  CommitHooks m_hooks;
  RowTransaction m_transaction;    // In flight, or to be sent again.
  std::uint64_t m_position = 0;    // Position up to which the transaction stores changes.
  std::uint32_t m_attempts = 0;    // Attempts to send the transaction.
  std::uint32_t m_unanswered = 0;  // Attempts without a reply.
  std::uint32_t m_failures = 0;    // Attempts that failed or got no reply in time.
  // A slow read showed that the transaction has no effect yet: probe again before sending again.
  bool m_resend_deferred = false;
  bool m_in_flight = false;
  bool m_write_wanted = false;
  bool m_scheduled = false;
  bool m_lost = false;
  // Position of refused changes while a transaction without changes shows whether the store takes
  // any.
  std::optional<std::uint64_t> m_refused_position;
  SteadyTime m_refused_since{};
  bool m_release_wanted = false;
  bool m_releasing = false;  // The transaction in flight releases the shard.
  schema::OwnerRow m_released_owner;
  std::function<void()> m_on_release_begin;
  std::function<void()> m_on_released;
  SteadyTime m_sent{};        // First attempt of the transaction.
  milliseconds m_latency{0};  // Moving average of the time until a reply.
  // Moving average of the time from the first attempt of a transaction until it was known to be
  // stored.
  milliseconds m_duration{0};
  SteadyTime m_heard{};  // Last answer of the store to a transaction or a read.
  SteadyTime m_confirmed;
  // Supporters in all head rows that may be in the store since the last transaction that is known
  // to be.
  std::set<std::uint64_t> m_supporters;
  SteadyTime m_last_write{};
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace citronsill
