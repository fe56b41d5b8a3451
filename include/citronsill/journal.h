/// Durable record of accepted work. Entries are written in batches (group commit), one batch to a
/// row of the table.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "citronsill/result.h"
#include "citronsill/table.h"
#include "citronsill/types.h"

namespace citronsill {

class ObjectStore;

/// Calls a function once after a delay: `TimerService::After` in the process, model time in tests.
using DelayFunction = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

struct JournalOptions {
  std::string stream;                      ///< Name of the own stream, unique to the incarnation.
  std::chrono::milliseconds interval{10};  ///< Time in which entries are collected for a batch.
  std::size_t max_batch_entries = 256;     ///< Only a single larger `Append` may exceed this.
  std::size_t max_pending_entries = 8192;  ///< Entries that wait; further ones are refused.
};

/// Epoch and row version under which an instance owns a partition.
struct OwnedPartition {
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;  ///< Version of the partition's row.
};

struct JournalHooks {
  /// @returns the partition's epoch and row version; none when this instance does not own it.
  std::function<std::optional<OwnedPartition>(PartitionId)> owned;
  /// A batch failed because the partition has another owner or epoch.
  std::function<void(PartitionId)> on_fenced;
  DelayFunction after;
};

/// Complete state of some partitions, which replaces older rows of the stream.
struct JournalSnapshot {
  std::map<PartitionId, std::uint64_t> epochs;  ///< Epoch under which each partition was served.
  std::vector<schema::JournalEntry> entries;
};

/// Thread-safe.
class Journal {
 public:
  /// @param objects store for snapshots that are too large for a row; null when there is none.
  /// @returns CODE_INVALID_FIELD when the stream has no name.
  static Result<std::unique_ptr<Journal>> Create(Table& table, ObjectStore* objects,
                                                 const JournalOptions& options, JournalHooks hooks);
  ~Journal();

  /// Adds entries to the next batch.
  /// @param done gets success once they are in the table; CODE_NOT_OWNER when a partition was lost
  /// since this call, even if it was gained again; CODE_TABLE_UNAVAILABLE or CODE_OVERLOADED when
  /// the entries are certainly not in the table.
  /// @remarks Entries of one call are in one batch, batches are written in order, and calls of
  /// `done` follow that order. A lost answer is resolved by reading the row of the batch, so `done`
  /// never gets CODE_COMMIT_UNKNOWN; while that row cannot be read, further calls are refused.
  /// Without entries nothing is written, and `done` is called in its turn.
  void Append(std::vector<schema::JournalEntry> entries, std::function<void(Result<void>)> done);

  /// Reads all entries of `partition` from `streams`, stream by stream, each in the order in which
  /// its entries were written.
  /// @param done gets CODE_INTERNAL when a row or object cannot be parsed as a batch,
  /// CODE_NOT_FOUND when an object is missing because its stream was compacted meanwhile, or the
  /// error of the table or object store when it cannot be read.
  void Load(PartitionId partition, const std::vector<std::string>& streams,
            std::function<void(Result<std::vector<schema::JournalEntry>>)> done);

  /// Writes a snapshot and erases the rows it replaces in one transaction.
  /// @param take_snapshot is called between two batches, after the `done` of every batch that is in
  /// the table was called.
  /// @param done gets CODE_OVERLOADED while another compaction is pending or the table cannot be
  /// reached, CODE_NOT_OWNER when a partition of the snapshot was lost, or the error of the table
  /// or object store.
  /// @remarks Entries of lost partitions are carried over as long as the partition's row names the
  /// own stream, because the new owner may not have read them yet.
  void Compact(std::function<JournalSnapshot()> take_snapshot,
               std::function<void(Result<void>)> done);

  /// Erases all rows of those `streams` that no partition's row names.
  /// @param done gets the streams that were not erased.
  void EraseUnused(const std::set<std::string>& streams,
                   std::function<void(std::set<std::string>)> done);

  /// @returns the name of the own stream.
  [[nodiscard]] const std::string& Stream() const;

  /// @returns the number of rows that this object has written to the own stream and not erased.
  [[nodiscard]] std::size_t Rows() const;

 private:
  struct Impl;
  explicit Journal(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
