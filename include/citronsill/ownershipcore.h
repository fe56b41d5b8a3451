/// Decisions about partition ownership, as a state machine without table access, threads or a
/// clock, so that tests can explore its states. `Ownership` executes its commands.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "citronsill/types.h"

namespace citronsill {

struct OwnershipOptions {
  std::uint32_t partition_count = 64;
  /// An owner may be replaced when its instance row is unchanged for longer than this.
  std::chrono::milliseconds owner_timeout{6000};
  std::chrono::milliseconds heartbeat_period{2000};  ///< Between writes of the own instance row.
  std::chrono::milliseconds scan_period{30000};      ///< Between reads of all rows.
  /// Least time between two reads of one instance row, and between scans after a failed one or
  /// while ownership is uncertain.
  std::chrono::milliseconds watch_period{2000};
  std::chrono::milliseconds watch_silence{1000};    ///< Silence in gossip before a row is read.
  std::chrono::milliseconds pause_threshold{2000};  ///< A longer gap between ticks is a pause.
  /// Answers of the table that are older than this are ignored. More than the table's deadline, so
  /// that only a pause of the process exceeds it.
  std::chrono::milliseconds max_answer_age{3000};
  /// The assigned owner must be the same for this long before a live owner hands a partition over,
  /// so that a short false suspicion moves nothing.
  std::chrono::milliseconds rebalance_delay{3000};
  /// A partition without a live owner may be claimed by any instance when its assigned owner has
  /// not claimed it for this long, because the assigned owner may not reach the table.
  std::chrono::milliseconds orphan_delay{10000};
  /// Time after the start without claims, so that gossip can find the other members first.
  std::chrono::milliseconds startup_delay{2000};
  /// An instance row that is unchanged for this long and not used any more is erased.
  std::chrono::milliseconds erase_instance_after{600000};
};

/// An instance that gossip considers live.
struct LiveMember {
  std::string id;
  std::uint64_t incarnation = 0;
  std::chrono::milliseconds silence{0};  ///< Time since its heartbeat counter last changed.
  bool leaving = false;                  ///< Hands its partitions over and gets no new ones.
};

/// Content of a partition's row. Version 0 means that the row does not exist.
struct PartitionRecord {
  std::uint64_t version = 0;
  std::string owner;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  std::vector<std::string> streams;
};

/// The parts of an instance's row that ownership uses. Version 0 means that the row does not exist.
struct InstanceRecord {
  std::uint64_t version = 0;
  std::uint64_t incarnation = 0;
};

/// An access to the table that `Ownership` has to make. Every command but kErase is answered by one
/// call of an `On...` function.
struct OwnershipCommand {
  enum class Kind {
    kHeartbeat,      ///< Write the own instance row if its version is `instance_version`.
    kScan,           ///< Read all instance rows, then all partition rows.
    kReadInstance,   ///< Read the row of `instance`.
    kReadPartition,  ///< Read the row of `partition`.
    kWrite,          ///< Write `row` if the partition's version is `row.version`.
    kErase,          ///< Erase the row of `instance` if its version is `instance_version`.
  };
  Kind kind = Kind::kScan;
  SteadyTime sent;  ///< Time of the tick that issued the command.
  std::uint32_t partition = 0;
  std::string instance;
  /// Required version of the row of `instance`; kWrite has this condition only if it is present.
  std::optional<std::uint64_t> instance_version;
  std::uint64_t heartbeat = 0;  ///< Counter to be written by kHeartbeat.
  PartitionRecord row;
};

/// Outcome of a transaction.
enum class CommitOutcome {
  kCommitted,
  kConflict,  ///< A condition did not hold; the transaction had no effect.
  kRefused,   ///< The table was unavailable; the transaction certainly had no effect.
  kUnknown    ///< The answer was lost; the transaction may take effect, even later.
};

/// A change of ownership that `Ownership` reports through its hooks.
struct OwnershipEvent {
  enum class Kind { kGained, kLost, kConfirmed, kSuperseded };
  Kind kind = Kind::kLost;
  std::uint32_t partition = 0;
  std::uint64_t epoch = 0;
  std::vector<std::string> streams;
};

/// Owner of a partition as far as known from rows and gossip.
struct KnownOwner {
  std::string id;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
};

/// Ownership as one instance sees it. Not thread-safe; copyable.
class OwnershipCore {
 public:
  OwnershipCore(std::string id, std::uint64_t incarnation, const OwnershipOptions& options);

  /// @returns the commands that are due.
  std::vector<OwnershipCommand> Tick(SteadyTime now, const std::vector<LiveMember>& members);

  void OnFailed(const OwnershipCommand& command);
  void OnScan(const OwnershipCommand& command,
              const std::map<std::string, InstanceRecord>& instances,
              const std::map<std::uint32_t, PartitionRecord>& partitions, SteadyTime now);
  void OnInstance(const OwnershipCommand& command, const InstanceRecord& record, SteadyTime now);
  void OnPartition(const OwnershipCommand& command, const PartitionRecord& record, SteadyTime now);

  /// @param record the own row as written, or as found when the condition failed.
  void OnHeartbeat(const OwnershipCommand& command, CommitOutcome outcome,
                   const std::optional<InstanceRecord>& record, SteadyTime now);

  /// @param record the partition's row as written, or as found when its condition failed.
  /// @param observed the row of `command.instance` as found when its condition failed.
  void OnWrite(const OwnershipCommand& command, CommitOutcome outcome,
               const std::optional<PartitionRecord>& record,
               const std::optional<InstanceRecord>& observed, SteadyTime now);

  void OnFenced(std::uint32_t partition, SteadyTime now);
  void MergeOwner(std::uint32_t partition, const KnownOwner& owner, SteadyTime now);
  void RetireStreams(std::uint32_t partition, const std::vector<std::string>& streams);
  void Leave() { m_leaving = true; }

  [[nodiscard]] std::optional<std::uint64_t> OwnedEpoch(std::uint32_t p, SteadyTime now) const;
  [[nodiscard]] std::optional<std::uint64_t> OwnedVersion(std::uint32_t p, SteadyTime now) const;
  [[nodiscard]] const KnownOwner& KnownOwnerOf(std::uint32_t p) const {
    return m_partitions[p].known;
  }
  [[nodiscard]] bool IsOwned(std::uint32_t p) const { return m_partitions[p].owned; }
  [[nodiscard]] bool IsCertain(SteadyTime now) const;
  [[nodiscard]] bool IsTableUp() const { return m_table_up; }
  [[nodiscard]] bool IsSuperseded() const { return m_superseded; }

  /// @returns the events since the last call.
  std::vector<OwnershipEvent> TakeEvents();

  /// @returns a text that is equal for states that will behave the same; for tests.
  [[nodiscard]] std::string Fingerprint(SteadyTime now) const;

 private:
  struct Partition {
    PartitionRecord row;
    KnownOwner known;
    bool owned = false;
    bool ever_owned = false;       // The own stream may hold entries of this partition.
    bool writing = false;          // A write of the row is in progress.
    bool reading = false;          // A read of the row is in progress.
    bool suspended = false;        // Owned, but not to be used until the row has been read again.
    bool version_unknown = false;  // Owned, but the row's version may have changed.
    std::optional<SteadyTime> reread_requested;  // When a new read of the row was requested.
    std::uint64_t fenced_version = 0;      // Row versions up to this one do not count as owned.
    std::optional<SteadyTime> retired_at;  // When streams were last removed from the row.
    std::vector<std::string> streams_to_retire;
    std::optional<SteadyTime> orphan_since;
    std::string assigned_owner;
    SteadyTime assigned_since;
  };

  struct ObservedInstance {
    InstanceRecord record;
    bool seen = false;           // `record` was observed since the last outage of the table.
    bool reading = false;        // A read of the row is in progress.
    SteadyTime unchanged_since;  // When the version of `record` was first observed.
    std::optional<SteadyTime> renewed_at;  // When the version was last observed to change.
    std::optional<SteadyTime> last_read;
  };

  using Commands = std::vector<OwnershipCommand>;

  [[nodiscard]] bool IsPauseDetected(SteadyTime now) const;
  bool IsUsable(const OwnershipCommand& command, SteadyTime now);
  void OnAnswer(SteadyTime now);
  void SetUncertain(SteadyTime now);
  void Supersede();
  void RequestReread(Partition& partition, SteadyTime now);

  void HeartbeatIfDue(SteadyTime now, Commands& commands);
  void ScanIfDue(SteadyTime now, Commands& commands);
  void ReadSilentOwners(SteadyTime now, const std::vector<LiveMember>& members, Commands& commands);
  void ReadInstance(const std::string& id, SteadyTime now, Commands& commands);
  void RereadPartitions(SteadyTime now, Commands& commands);
  void EraseUnused(SteadyTime now, const std::vector<LiveMember>& members, Commands& commands);
  void Balance(SteadyTime now, const std::vector<LiveMember>& members, Commands& commands);
  void UpdateAssignment(SteadyTime now, const std::vector<LiveMember>& members);
  void BalancePartition(std::uint32_t p, SteadyTime now, const std::vector<LiveMember>& members,
                        Commands& commands);
  void HandOver(std::uint32_t p, SteadyTime now, const std::vector<LiveMember>& members,
                Commands& commands);
  [[nodiscard]] bool IsOrphan(Partition& partition, SteadyTime now,
                              const std::vector<LiveMember>& members);
  [[nodiscard]] bool MayClaim(const Partition& partition, SteadyTime now,
                              const std::vector<LiveMember>& members) const;
  void Write(std::uint32_t p, PartitionRecord row, SteadyTime now, Commands& commands);
  [[nodiscard]] PartitionRecord NextRow(const Partition& partition, const std::string& owner,
                                        std::uint64_t incarnation) const;

  void Observe(const std::string& id, const InstanceRecord& record, SteadyTime now);
  void ApplyRow(std::uint32_t p, const PartitionRecord& record, SteadyTime sent);
  void Gain(std::uint32_t p);
  void Lose(std::uint32_t p);
  [[nodiscard]] bool NamesThisInstance(const PartitionRecord& row) const;

  std::string m_id;
  std::uint64_t m_incarnation;
  OwnershipOptions m_options;
  std::vector<Partition> m_partitions;
  std::map<std::string, ObservedInstance> m_instances;
  std::vector<OwnershipEvent> m_events;
  std::vector<std::string> m_assigned_members;
  std::uint64_t m_own_version = 0;
  std::uint64_t m_heartbeat = 0;
  std::optional<SteadyTime> m_first_tick;
  std::optional<SteadyTime> m_last_tick;
  std::optional<SteadyTime> m_last_heartbeat;
  std::optional<SteadyTime> m_last_scan;
  std::optional<SteadyTime> m_last_answer;
  SteadyTime m_uncertain_since;
  bool m_heartbeat_pending = false;
  bool m_scan_pending = false;
  bool m_scan_failed = false;
  bool m_scanned = false;
  bool m_registered = false;  // The own row was seen in the table with the own incarnation.
  bool m_uncertain = false;
  bool m_leaving = false;
  bool m_superseded = false;
  bool m_table_up = false;
};

/// @returns the name of the journal stream of one incarnation of an instance.
std::string StreamName(const std::string& instance, std::uint64_t incarnation);

}  // namespace citronsill
