/// Rows of a shard in the store, and which of them are still needed.
///
/// A job has a row of its own, one for its progress, and in their place one for its final state.
/// When more jobs have changed than one transaction can hold rows, as after a few hundred
/// milliseconds of a slow store, the changes of many jobs go into one row, a pack. Of several
/// records about a job the one in the row of the highest version counts.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/store.h"
#include "cell/types.h"
#include "schema/cell.pb.h"

namespace citronsill {

/// Tables of a shard. The shard's name is the `part` of the row keys.
inline constexpr const char* kJobTable = "job";
inline constexpr const char* kProgressTable = "progress";
inline constexpr const char* kFinishedTable = "finished";
inline constexpr const char* kPackTable = "pack";
inline constexpr const char* kLeaseTable = "lease";

/// Row changes for one transaction.
struct WriteBatch {
  std::vector<Row> writes;
  std::vector<RowKey> removals;
  std::uint64_t position = 0;  ///< Passed to `OnStored` once the transaction is committed.

  [[nodiscard]] std::size_t Entries() const { return writes.size() + removals.size(); }
};

/// Where the current records of a job are.
struct RowPlaces {
  std::uint64_t job_pack = 0;       ///< Number of the pack that holds the job; 0 for none.
  std::uint64_t progress_pack = 0;  ///< The same for its progress.
  bool has_job_row = false;         ///< There is a row of its own, whether current or not.
  bool has_progress_row = false;
  std::uint32_t progress_parts = 0;  ///< Number of the last further row of its progress.
};

/// Rows of a shard as they were read.
struct ShardRows {
  std::vector<Row> jobs;
  std::vector<Row> progress;
  std::vector<Row> finished;
  std::vector<Row> packs;
  std::vector<Row> leases = {};
};

/// What was found of the rows of a job's progress. A row that is missing does not mean that nothing
/// was started, also for the next scheduler: `ProgressRow::runs_unknown` tells it.
enum class Completeness {
  kComplete,
  kRunsUnknown,  ///< Which tasks are done is known, but not which others were started.
  kLost,         ///< Tasks may have been done that do not count as done in what was found.
};

struct StoredJob {
  schema::JobRow job;
  std::optional<schema::ProgressRow> progress;
  RowPlaces places;
  Completeness completeness = Completeness::kComplete;
};

/// A job that has ended and whose state can still be queried.
struct FinishedJob {
  schema::JobState state{};
  std::int64_t finished_unix_ms = 0;
  std::uint64_t pack = 0;  ///< Pack that holds this record; 0 for a row of its own.
  RowPlaces earlier;       ///< Records from before its end, which may still be in the store.
  std::string customer;    ///< Customer that submitted it; empty for none.
};

struct StoredShard {
  std::vector<StoredJob> jobs;
  std::map<std::string, FinishedJob> finished;  ///< By job id.
  std::vector<std::uint64_t> packs;             ///< Numbers of all packs.
  /// Remaining time of the leases on a worker when it was recorded, by `LeaseKey`; only of those
  /// over `kLease`.
  std::unordered_map<std::uint32_t, milliseconds> long_leases = {};
  bool has_lease_row = false;
};

/// @returns the current record of each job. Rows that cannot be read are logged and skipped.
StoredShard ResolveRows(const ShardRows& rows);

/// @returns the key of a row of the progress of a job; part 0 is the first one.
RowKey ProgressKey(const std::string& shard, const std::string& job, std::uint32_t part);

/// @returns the key of the row of a pack.
RowKey PackKey(const std::string& shard, std::uint64_t pack);

/// Counts the current records in each pack and collects rows that are no longer needed.
class PackRegister {
 public:
  PackRegister(std::string shard, Clock now) : m_shard(std::move(shard)), m_now(std::move(now)) {}

  /// A pack is in the store, or becomes part of the transaction that is being built.
  void Add(std::uint64_t pack) { m_packs[pack].since = m_now(); }
  /// A record of the pack is current. @param pack 0 for none.
  void Hold(std::uint64_t pack);
  /// A record of the pack was replaced. A pack without current records is removed.
  void Release(std::uint64_t pack);
  /// Removes the packs that have no current record; to be called once after loading a shard.
  void ReleaseEmpty();
  /// @returns whether the pack is, or may be, still in the store.
  [[nodiscard]] bool IsStored(std::uint64_t pack) const { return m_packs.contains(pack); }
  /// @returns whether the pack has existed for `kMaxPackAge`.
  [[nodiscard]] bool IsOld(std::uint64_t pack) const;

  /// Removes a row with one of the next transactions, unless it is written before.
  void RemoveLater(RowKey key);
  /// Keeps the rows of a job that wait for their removal.
  void KeepRowsOf(const std::string& job);
  /// @returns whether rows wait for their removal.
  [[nodiscard]] bool HasRemovals() const { return !m_removals.empty(); }
  /// @returns number of rows that wait for their removal.
  [[nodiscard]] std::size_t Removals() const { return m_removals.size(); }
  /// @returns for how long the first of them has waited; 0 for none.
  [[nodiscard]] milliseconds OldestRemoval() const;
  /// To be called for each transaction when all of its writes are known: the rows that it writes or
  /// removes wait for their removal no longer.
  void CancelRemovals(const WriteBatch& batch);
  /// Adds removals to a transaction that is being built, up to a number of entries.
  void AppendRemovals(std::size_t max_entries, WriteBatch* batch);

  [[nodiscard]] std::size_t Packs() const { return m_packs.size(); }

 private:
  struct Pack {
    std::uint32_t current = 0;  // Number of current records.
    SteadyTime since;
  };

  struct Removal {
    RowKey key;
    SteadyTime since;
  };
  using RemovalNumbers = std::map<RowKey, std::uint64_t>;

  void CancelRemoval(RemovalNumbers::iterator entry);

  std::string m_shard;
  Clock m_now;
  std::unordered_map<std::uint64_t, Pack> m_packs;  // Until their removal is part of a transaction.
  std::map<std::uint64_t, Removal> m_removals;      // In their order.
  RemovalNumbers m_removal_numbers;                 // Keys of `m_removals`.
  std::uint64_t m_last_removal = 0;
};

/// Fills the packs of one transaction.
class PackWriter {
 public:
  /// @param next_number called for the number of each new pack.
  PackWriter(std::string shard, PackRegister* packs, std::function<std::uint64_t()> next_number,
             WriteBatch* batch);

  /// Adds a record and holds its pack. @returns the number of the pack.
  std::uint64_t Add(schema::PackedJob record);
  /// Writes the last pack.
  void Finish();
  /// @returns bytes in all packs so far.
  [[nodiscard]] std::size_t Bytes() const { return m_bytes; }

 private:
  std::string m_shard;
  PackRegister* m_packs;
  std::function<std::uint64_t()> m_next_number;
  WriteBatch* m_batch;
  schema::PackRow m_row;
  std::uint64_t m_number = 0;
  std::size_t m_row_bytes = 0;
  std::size_t m_bytes = 0;
};

}  // namespace citronsill
