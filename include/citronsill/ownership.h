/// Which instance owns which partition: one table row for each, with an epoch that only grows.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronsill/result.h"
#include "citronsill/table.h"
#include "citronsill/types.h"

namespace citronsill {

struct OwnershipOptions {
  std::uint32_t partition_count = 64;
  std::chrono::milliseconds owner_timeout{6000};  ///< A row unchanged for this long may be taken.
  std::chrono::milliseconds heartbeat_period{2000};  ///< Period of the own instance row.
  std::chrono::milliseconds scan_period{2000};       ///< Period of reading all rows.
  std::chrono::milliseconds pause_threshold{2000};   ///< Gap between ticks that asks for a re-read.
};

struct OwnershipHooks {
  /// The partition was gained with `epoch`; `streams` may hold live journal entries.
  std::function<void(PartitionId, std::uint64_t epoch, std::vector<std::string> streams)> on_gained;
  /// The partition is no longer owned; nothing may be done under it.
  std::function<void(PartitionId)> on_lost;
  /// @returns ids of the instances that gossip holds for live, the own one included.
  std::function<std::vector<std::string>()> live_members;
};

/// Result of the assignment function: for each partition, the index of its member.
/// @param members ids, sorted. @remarks Every instance computes the same from the same members; no
/// member gets more than ceil(partition_count / members) partitions.
std::vector<std::size_t> AssignPartitions(const std::vector<std::string>& members,
                                          std::uint32_t partition_count);

/// @returns the partition of a request id or worker id.
PartitionId PartitionOf(std::string_view id, std::uint32_t partition_count);

/// Thread-safe. Hooks are called without a lock held.
class Ownership {
 public:
  /// @param self the own instance row: id, incarnation, addresses.
  static Result<std::unique_ptr<Ownership>> Create(Table& table, const schema::InstanceRow& self,
                                                   const OwnershipOptions& options,
                                                   OwnershipHooks hooks);
  ~Ownership();

  /// Does what is due: heartbeat, scan, claims, hand-overs. Returns at once.
  void Tick(SteadyTime now);

  /// Hands all partitions over to other live instances and claims none any more.
  void Leave();

  /// @returns the owner with the highest epoch that was heard of.
  [[nodiscard]] std::optional<schema::PartitionOwner> OwnerOf(PartitionId partition) const;

  /// @returns the epoch under which this instance owns the partition.
  [[nodiscard]] std::optional<std::uint64_t> OwnedEpoch(PartitionId partition) const;

  /// @returns the version of the partition's row while this instance owns it; for conditions.
  [[nodiscard]] std::optional<std::uint64_t> OwnedVersion(PartitionId partition) const;

  [[nodiscard]] std::vector<PartitionId> Owned() const;

  /// Owners for gossip, and owners heard by gossip.
  [[nodiscard]] std::vector<schema::PartitionOwner> Owners() const;
  void MergeOwners(const std::vector<schema::PartitionOwner>& owners);

  /// A condition on the partition's row failed, or a worker knows a higher epoch: drops the
  /// partition and reads its row again.
  void OnFenced(PartitionId partition);

  /// @returns whether the last access to the table succeeded.
  [[nodiscard]] bool IsTableUp() const;

 private:
  struct Impl;
  explicit Ownership(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
