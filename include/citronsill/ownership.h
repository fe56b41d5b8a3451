/// Which instance owns which partition: one table row for each, with an epoch that only grows.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronsill/ownershipcore.h"
#include "citronsill/result.h"
#include "citronsill/table.h"
#include "citronsill/types.h"

namespace citronsill {

struct OwnershipHooks {
  /// The partition was gained with `epoch`; `streams` may hold live journal entries.
  std::function<void(PartitionId, std::uint64_t epoch, std::vector<std::string> streams)> on_gained;
  /// The partition is no longer owned; nothing may be done under it.
  std::function<void(PartitionId)> on_lost;
  /// The rows were read again after a pause of the process; `OwnedEpoch` is certain again.
  std::function<void()> on_confirmed;
  /// A later start of an instance with the same id has replaced this one.
  std::function<void()> on_superseded;
  /// @returns the instances that gossip holds for live; the own one may be missing.
  std::function<std::vector<LiveMember>()> live_members;
  /// @returns the current time; the steady clock when not set.
  std::function<SteadyTime()> now;
};

/// Result of the assignment function: for each partition, the index of its member.
/// @param members ids, sorted. @remarks Every instance computes the same from the same members; no
/// member gets more than ceil(partition_count / members) partitions.
std::vector<std::size_t> AssignPartitions(const std::vector<std::string>& members,
                                          std::uint32_t partition_count);

/// @returns the partition of a request id or worker id.
PartitionId PartitionOf(std::string_view id, std::uint32_t partition_count);

/// Thread-safe. Hooks are called without a lock held, one at a time, in the order of the changes.
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

  /// @returns the epoch under which this instance owns the partition; none from the moment a pause
  /// of the process can be noticed until the rows were read again.
  [[nodiscard]] std::optional<std::uint64_t> OwnedEpoch(PartitionId partition) const;

  /// @returns the version of the partition's row while this instance owns it and knows the version;
  /// for conditions.
  [[nodiscard]] std::optional<std::uint64_t> OwnedVersion(PartitionId partition) const;

  /// @returns whether ownership is certain: no pause was noticed since the rows were read.
  [[nodiscard]] bool IsCertain() const;

  /// @returns the partitions whose rows name this instance, as far as known, also during a doubt.
  [[nodiscard]] std::vector<PartitionId> Owned() const;

  /// Removes journal streams of other incarnations from the partition's row once nothing in them is
  /// needed any more. Repeated until the row shows it; dropped when the partition is lost.
  void RetireStreams(PartitionId partition, const std::vector<std::string>& streams);

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
