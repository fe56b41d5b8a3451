/// Durable record of accepted work: batches of entries in rows of the table, written by group
/// commit.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronsill/result.h"
#include "citronsill/table.h"
#include "citronsill/timer.h"
#include "citronsill/types.h"

namespace citronsill {

struct JournalOptions {
  std::string stream;                      ///< Name of the own stream, unique for an incarnation.
  std::chrono::milliseconds interval{10};  ///< Longest time an entry waits for its batch.
  std::size_t max_batch_entries = 256;
};

struct JournalHooks {
  /// @returns key and version of the partition's row while this instance owns the partition.
  std::function<std::optional<std::uint64_t>(PartitionId)> owned_version;
  /// A batch failed because the partition's row had changed.
  std::function<void(PartitionId)> on_fenced;
};

/// Thread-safe.
class Journal {
 public:
  static Result<std::unique_ptr<Journal>> Create(Table& table, TimerService& timers,
                                                 const JournalOptions& options, JournalHooks hooks);
  ~Journal();

  /// Adds entries to the next batch.
  /// @param done gets success once they are in the table; CODE_NOT_OWNER when a partition was lost;
  /// CODE_TABLE_UNAVAILABLE when they certainly are not in the table.
  /// @remarks Entries of one call are in one batch. A lost answer is resolved by reading the own
  /// row again, so that CODE_COMMIT_UNKNOWN is not passed on.
  void Append(std::vector<schema::JournalEntry> entries, std::function<void(Result<void>)> done);

  /// Reads all entries of `partition` from `streams`, in the order they were written.
  void Load(PartitionId partition, const std::vector<std::string>& streams,
            std::function<void(Result<std::vector<schema::JournalEntry>>)> done);

  /// @returns the name of the own stream.
  [[nodiscard]] const std::string& Stream() const;

 private:
  struct Impl;
  explicit Journal(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
