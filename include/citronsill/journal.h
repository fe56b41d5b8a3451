/// Durable record of accepted work: batches of entries in rows of the table, written by group
/// commit.
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
using Delay = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

struct JournalOptions {
  std::string stream;                      ///< Name of the own stream, unique for an incarnation.
  std::chrono::milliseconds interval{10};  ///< Longest time an entry waits for its batch.
  std::size_t max_batch_entries = 256;
  std::size_t max_pending_entries = 8192;  ///< Entries that wait for a batch; more are refused.
};

/// A partition as its owner sees it.
struct OwnedPartition {
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;  ///< Of the partition's row.
};

struct JournalHooks {
  /// @returns the partition's epoch and row version while this instance owns it.
  std::function<std::optional<OwnedPartition>(PartitionId)> owned;
  /// A batch failed because the partition has another owner or epoch.
  std::function<void(PartitionId)> on_fenced;
  Delay after;
};

/// The whole state of some partitions, written to replace older rows.
struct JournalSnapshot {
  std::map<PartitionId, std::uint64_t> epochs;  ///< Epoch under which each partition was served.
  std::vector<schema::JournalEntry> entries;
};

/// Thread-safe.
class Journal {
 public:
  /// @param objects store for snapshots that are too large for a row; null when there is none.
  static Result<std::unique_ptr<Journal>> Create(Table& table, ObjectStore* objects,
                                                 const JournalOptions& options, JournalHooks hooks);
  ~Journal();

  /// Adds entries to the next batch.
  /// @param done gets success once they are in the table; CODE_NOT_OWNER when a partition was lost
  /// since this call, even if it was gained again; CODE_TABLE_UNAVAILABLE or CODE_OVERLOADED when
  /// the entries certainly are not in the table.
  /// @remarks Entries of one call are in one batch, batches are written in order, and calls of
  /// `done` follow that order. A lost answer is resolved by reading the own row again, so that
  /// CODE_COMMIT_UNKNOWN is not passed on; calls that come meanwhile are refused when the table
  /// cannot be read. Without entries `done` is called in its turn and nothing is written.
  void Append(std::vector<schema::JournalEntry> entries, std::function<void(Result<void>)> done);

  /// Reads all entries of `partition` from `streams`, in the order they were written.
  /// @param done gets CODE_INTERNAL when a row cannot be read as a batch.
  void Load(PartitionId partition, const std::vector<std::string>& streams,
            std::function<void(Result<std::vector<schema::JournalEntry>>)> done);

  /// Writes a snapshot and erases the rows it replaces in one transaction.
  /// @param take is called between two batches, when every batch that is in the table was reported.
  /// @remarks Entries of partitions that were lost are carried over as long as the partition's row
  /// names the own stream, because the new owner may have yet to read them.
  void Compact(std::function<JournalSnapshot()> take, std::function<void(Result<void>)> done);

  /// Erases all rows of those `streams` that no partition names.
  /// @param done gets the streams that are left.
  void EraseUnused(const std::set<std::string>& streams,
                   std::function<void(std::set<std::string>)> done);

  /// @returns the name of the own stream.
  [[nodiscard]] const std::string& Stream() const;

  /// @returns how many rows the own stream has.
  [[nodiscard]] std::size_t Rows() const;

 private:
  struct Impl;
  explicit Journal(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
