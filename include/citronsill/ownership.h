/// Partition ownership: each partition has one table row, which names its owner and an epoch that
/// only increases.
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
  /// This instance now owns the partition under `epoch`. `streams` names the journal streams that
  /// may hold entries of the partition that are still needed.
  std::function<void(PartitionId, std::uint64_t epoch, std::vector<std::string> streams)> on_gained;
  /// This instance no longer owns the partition and must not act as its owner.
  std::function<void(PartitionId)> on_lost;
  /// The rows were read again after a pause of the process; `IsCertain` is true again.
  std::function<void()> on_confirmed;
  /// Another process with the same instance id has replaced this one.
  std::function<void()> on_superseded;
  /// @returns the instances that gossip considers live; this instance may be missing.
  std::function<std::vector<LiveMember>()> live_members;
  /// @returns the current time; the steady clock when not set.
  std::function<SteadyTime()> now;
};

/// Assigns partitions to members.
/// @param members sorted ids.
/// @returns for each partition, the index of its member.
/// @remarks Every instance computes the same result from the same members. No member gets more than
/// ceil(partition_count / members) partitions.
std::vector<std::size_t> AssignPartitions(const std::vector<std::string>& members,
                                          std::uint32_t partition_count);

/// @returns the partition that a request id or worker id belongs to.
PartitionId PartitionOf(std::string_view id, std::uint32_t partition_count);

/// Claims, keeps and hands over partitions for one instance. Thread-safe. Hooks are called without
/// a lock held, one at a time, in the order of the changes.
class Ownership {
 public:
  /// @param self the row of this instance: id, incarnation, addresses.
  /// @returns CODE_INVALID_FIELD unless there are 1 to 4096 partitions.
  static Result<std::unique_ptr<Ownership>> Create(Table& table, const schema::InstanceRow& self,
                                                   const OwnershipOptions& options,
                                                   OwnershipHooks hooks);
  ~Ownership();

  /// Starts what is due: heartbeat, scan, claims, hand-overs. Does not wait for the table.
  void Tick(SteadyTime now);

  /// From the next tick on, hands all partitions over to other live instances and claims none.
  void Leave();

  /// @returns the owner with the highest epoch known from rows and gossip; none if none is known.
  [[nodiscard]] std::optional<schema::PartitionOwner> OwnerOf(PartitionId partition) const;

  /// @returns the epoch under which this instance owns the partition. None from the moment a pause
  /// of the process can be detected until the rows have been read again.
  [[nodiscard]] std::optional<std::uint64_t> OwnedEpoch(PartitionId partition) const;

  /// @returns the version of the partition's row, for conditions of transactions; none unless this
  /// instance owns the partition and knows the version.
  [[nodiscard]] std::optional<std::uint64_t> OwnedVersion(PartitionId partition) const;

  /// @returns whether `Owned` can be relied on: no pause of the process was detected since the rows
  /// were last read, and no other process has replaced this one.
  [[nodiscard]] bool IsCertain() const;

  /// @returns the partitions whose rows name this instance as far as known, even while `IsCertain`
  /// is false.
  [[nodiscard]] std::vector<PartitionId> Owned() const;

  /// Removes journal streams of other incarnations from the partition's row, once none of their
  /// entries is needed any more. Retried until the row no longer names them; abandoned when the
  /// partition is lost.
  void RetireStreams(PartitionId partition, const std::vector<std::string>& streams);

  /// @returns the known owners, to be sent by gossip.
  [[nodiscard]] std::vector<schema::PartitionOwner> Owners() const;

  /// Takes over owners received by gossip that have a higher epoch than the known ones.
  void MergeOwners(const std::vector<schema::PartitionOwner>& owners);

  /// Reports that a condition on the partition's row failed, or that a worker knows a higher epoch.
  /// Drops the partition, or only suspends it when this instance has just removed streams from the
  /// row, and reads the row again.
  void OnFenced(PartitionId partition);

  /// @returns whether the last access to the table succeeded.
  [[nodiscard]] bool IsTableUp() const;

 private:
  struct Impl;
  explicit Ownership(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
