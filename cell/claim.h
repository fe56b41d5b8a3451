/// Decides when this instance takes over a shard whose scheduler has died or become unreachable.
/// Does no I/O itself: reads and writes go through hooks. Correctness does not depend on the
/// timing: a claim is a conditional transaction, and an instance that lost a shard can no longer
/// write to it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cell/limits.h"
#include "cell/store.h"
#include "schema/cell.pb.h"

namespace citronsill {

struct ClaimHooks {
  Clock now;
  /// Reads the owner row and the head row of the shard; the result is passed to `OnRows`.
  std::function<void()> read_rows;
  /// Writes both rows in one transaction if their current versions are `owner_version` and
  /// `head_version`; the result is passed to `OnClaimed`.
  std::function<void(schema::OwnerRow owner, schema::HeadRow head, std::uint64_t owner_version,
                     std::uint64_t head_version)>
      write_rows;
  /// Called when this process has become the owner. Both rows have version `version`.
  std::function<void(const schema::OwnerRow&, const schema::HeadRow&, std::uint64_t version)>
      on_gained;
};

/// @returns the scheduling capacity of an instance in thousandths of a core: its processor share,
/// or less when its network link is the bottleneck.
/// @param link_mbps bandwidth in Mbit/s; 0 when unknown.
std::uint32_t SchedulingStrength(std::uint32_t processor_milli, std::uint32_t link_mbps);

/// An instance that can take over a shard.
struct Successor {
  std::string instance;
  std::uint32_t strength_milli = 0;  ///< See `SchedulingStrength`.
  std::int64_t started_unix_ms = 0;  ///< When its process was started.
  std::uint64_t incarnation = 0;
  bool gives_support = false;  ///< Whether it answers to `SupportRequest`.
};

/// @returns the instance names of the successors in the order in which they claim the shard.
std::vector<std::string> OrderSuccessors(std::vector<Successor> successors);

/// State of the current owner of the shard as seen from the links of this instance.
struct OwnerLinkState {
  bool is_linked = false;   ///< A link to the owner is open and not silent.
  bool has_denied = false;  ///< A different process answered at its address.
  bool is_refused = false;  ///< Connections to its address are refused immediately.
  SteadyTime heard{};       ///< When its last message arrived.
  /// Silence that counts as a sign of its failure.
  milliseconds silence_limit = kOwnerLinkSilence;
};

/// @returns for how long schedulers before the one that wrote this row may still renew leases: an
/// `OwnerRow` or a `HeadRow`. Counts from the time at which the row was written, or a later one.
template <class Row>
milliseconds TimePassedOn(const Row& row) {
  return row.has_earlier_may_lead_ms() ? milliseconds(row.earlier_may_lead_ms())
                                       : kLeadWithoutStore;
}

/// Claims one shard on behalf of this process.
class Claimer {
 public:
  /// @param self owner row that this process writes with a claim; the term is filled in.
  /// @param default_delay claim delay while this instance is not on the list of successors; longer
  /// for weaker instances.
  Claimer(std::string shard, schema::OwnerRow self, milliseconds default_delay, ClaimHooks hooks);

  /// To be called when the owner row was read or has changed. Version 0: there is no row yet.
  void OnOwner(const schema::OwnerRow& owner, std::uint64_t version);

  /// @param successors instance names in the order in which they claim the shard.
  void SetSuccessors(std::vector<std::string> successors) { m_successors = std::move(successors); }

  /// The owner asks this process not to claim the shard for `kSupportTime`.
  /// @param term term of the owner that asks.
  /// @returns whether that is granted.
  bool GrantSupport(std::uint64_t term);

  /// To be called every few tens of milliseconds while this process does not own the shard.
  /// @param may_claim whether this process is ready to become the scheduler.
  void Tick(const OwnerLinkState& link_state, bool may_claim);

  void OnRows(const Result<std::vector<Row>>& rows);
  void OnClaimed(const Result<CommitOutcome>& result);

  [[nodiscard]] const schema::OwnerRow& Owner() const { return m_owner; }
  /// @returns when the latest claim was sent first. Others may have claimed the shard since.
  [[nodiscard]] SteadyTime ClaimSent() const { return m_claim_sent; }
  [[nodiscard]] bool IsOwn() const {
    return m_owner_version != 0 && m_owner.incarnation() == m_self.incarnation() &&
           !m_owner.released();
  }

 private:
  [[nodiscard]] milliseconds ClaimDelay() const;
  [[nodiscard]] bool IsListed() const;
  [[nodiscard]] milliseconds SilenceLimit(const OwnerLinkState& link_state) const;
  [[nodiscard]] bool IsSupporter() const;
  [[nodiscard]] milliseconds EarlierMayLead() const;
  void ReadOwnership();
  void Claim();

  std::string m_shard;
  schema::OwnerRow m_self;
  milliseconds m_default_delay;
  ClaimHooks m_hooks;
  std::vector<std::string> m_successors;
  bool m_owner_known = false;  // The owner row was read, or is known not to exist.
  schema::OwnerRow m_owner;
  std::uint64_t m_owner_version = 0;
  schema::HeadRow m_head;
  std::uint64_t m_head_version = 0;
  std::optional<SteadyTime> m_head_since;    // When `m_head_version` was first read.
  std::optional<SteadyTime> m_vacant_since;  // Since when the shard is known to have no owner.
  schema::OwnerRow m_claimed_owner;
  schema::HeadRow m_claimed_head;
  std::uint64_t m_claimed_head_version = 0;
  bool m_claim_unanswered = false;
  SteadyTime m_claim_sent{};
  bool m_owner_denied = false;      // The process that wrote the owner row has ended.
  bool m_busy = false;              // A read or a claim has no reply yet.
  bool m_claim_after_read = false;  // Claim when the current read shows no change of the rows.
  bool m_claim_failed = false;      // The last claim failed, with the owner row still unchanged.
  SteadyTime m_supports_until{};    // This process does not claim the shard before this time.
  SteadyTime m_next_read{};         // Earliest time of the next read of a silent owner's rows.
  SteadyTime m_read_sent{};
  milliseconds m_read_took{0};  // Duration of the last read.
};

}  // namespace citronsill
