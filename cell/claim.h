/// Decides when this instance takes over a shard whose scheduler has died or fallen silent. Pure:
/// what is read and written goes through hooks. Correctness never depends on it: a claim is a
/// conditional transaction, and whoever lost a shard can write nothing any more.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cell/store.h"
#include "schema/cell.pb.h"

namespace citronsill {

struct ClaimHooks {
  Clock now;
  /// Reads owner and head row of the shard; the result comes by `OnRows`.
  std::function<void()> read_rows;
  /// Writes both rows if they have these versions; the result comes by `OnClaimed`.
  std::function<void(schema::OwnerRow owner, schema::HeadRow head, std::uint64_t owner_version,
                     std::uint64_t head_version)>
      write_rows;
  /// The shard is owned by this process, from this version of both rows on.
  std::function<void(const schema::OwnerRow&, const schema::HeadRow&, std::uint64_t version)>
      on_gained;
};

/// @returns how good a scheduler an instance makes, in thousandths of a core: its processor share,
/// or less when its link is the narrower of the two.
/// @param link_mbps 0 when not known.
std::uint32_t SchedulingStrength(std::uint32_t processor_milli, std::uint32_t link_mbps);

/// An instance that could take a shard over.
struct Heir {
  std::string instance;
  std::uint32_t strength_milli = 0;  ///< See `SchedulingStrength`.
  std::int64_t started_unix_ms = 0;  ///< Start of its process.
};

/// @returns the names of the heirs, the one that is to go first at the front.
std::vector<std::string> OrderHeirs(std::vector<Heir> heirs);

/// What links tell about the scheduler of the shard.
struct OwnerSigns {
  bool is_linked = false;   ///< A link to it is open and not silent.
  bool has_denied = false;  ///< The process at its address is another one.
  bool is_refused = false;  ///< Connections to its address fail at once.
  SteadyTime heard{};       ///< When it was last heard.
};

class Claimer {
 public:
  /// @param self what this process writes into the owner row; its term is filled in.
  /// @param handicap time by which it lets stronger instances go first.
  Claimer(std::string shard, schema::OwnerRow self, milliseconds handicap, ClaimHooks hooks);

  /// The owner row was read or has changed; no row yet when `version` is 0.
  void OnOwner(const schema::OwnerRow& owner, std::uint64_t version);

  /// @param heirs instances in the order in which they are to take over.
  void SetHeirs(std::vector<std::string> heirs) { m_heirs = std::move(heirs); }

  /// To be called every few tens of milliseconds while this process does not own the shard.
  /// @param may_claim whether this process is ready to be the scheduler.
  void Tick(const OwnerSigns& signs, bool may_claim);

  void OnRows(const Result<std::vector<Row>>& rows);
  void OnClaimed(const Result<CommitOutcome>& result);

  [[nodiscard]] const schema::OwnerRow& Owner() const { return m_owner; }
  [[nodiscard]] bool IsOwn() const {
    return m_owner_version != 0 && m_owner.incarnation() == m_self.incarnation() &&
           !m_owner.released();
  }

 private:
  [[nodiscard]] milliseconds Turn() const;
  [[nodiscard]] milliseconds Patience(const OwnerSigns& signs) const;
  void Read();
  void Claim();

  std::string m_shard;
  schema::OwnerRow m_self;
  milliseconds m_handicap;
  ClaimHooks m_hooks;
  std::vector<std::string> m_heirs;
  bool m_known = false;  // The owner row was read, or is known to be missing.
  schema::OwnerRow m_owner;
  std::uint64_t m_owner_version = 0;
  schema::HeadRow m_head;
  std::uint64_t m_head_version = 0;
  std::optional<SteadyTime> m_head_since;    // The head row was first seen with this version.
  std::optional<SteadyTime> m_vacant_since;  // Since when the owner is known to be gone.
  schema::OwnerRow m_claimed_owner;
  schema::HeadRow m_claimed_head;
  bool m_busy = false;
  bool m_claim_after_read = false;
  bool m_claim_failed = false;  // The last claim, of the owner row as it is known.
  SteadyTime m_next_read{};
  SteadyTime m_read_sent{};
  milliseconds m_read_took{0};  // The last one.
};

}  // namespace citronsill
